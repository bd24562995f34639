package ctl

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"

	"acaciakeel/operator"
	"acaciakeel/resource"
	"acaciakeel/store"
)

// runCommand runs keelctl at an entry and returns what it prints.
func runCommand(t *testing.T, entry http.Handler, args ...string) (string, error) {
	t.Helper()
	server := httptest.NewServer(entry)
	t.Cleanup(server.Close)
	var out bytes.Buffer
	err := Command(&out).Run(t.Context(), append([]string{"keelctl", "--entry", server.URL, "--key", "k"}, args...))
	return out.String(), err
}

func statusEntry(s operator.Status) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(s) })
}

// Guards against an operator who takes a change for in force everywhere that was lost with the copy
// from which the service came back: any later revision is higher.
func TestWaitTellsThatTheRevisionMayBeLost(t *testing.T) {
	revision := int64(store.At(1, 40))
	status := operator.Status{Entry: "e", Revision: revision, History: 1, InForce: map[string]int64{"e": revision}}
	if out, err := runCommand(t, statusEntry(status), "wait", "--revision", "55"); err == nil || !strings.Contains(err.Error(), "restored") {
		t.Errorf("%s %v", out, err)
	}
	for _, args := range [][]string{{"wait"}, {"wait", "--revision", strconv.FormatInt(revision, 10)}} {
		if out, err := runCommand(t, statusEntry(status), args...); err != nil {
			t.Errorf("%v: %s %v", args, out, err)
		}
	}
}

// Guards against an operator who is not told which resources the service has lost, and whose apply of
// one counts as unchanged because it is in force.
func TestLostResourceIsAppliedAgain(t *testing.T) {
	out, err := runCommand(t, statusEntry(operator.Status{History: 1, Unsaved: []string{"lost-key"}, Withheld: []string{"deleted-key"}}), "status")
	if err != nil || !strings.Contains(out, "lost-key; apply it again") || !strings.Contains(out, "deleted-key; delete it again") {
		t.Errorf("status: %s %v", out, err)
	}
	for unsaved, want := range map[bool]string{false: "unchanged", true: "applied"} {
		r := resource.Resource{Kind: resource.KindModel, Name: "m", Unsaved: unsaved, Spec: json.RawMessage(`{"weights_version":"v1"}`)}
		entry := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(r) })
		path := t.TempDir() + "/m.toml"
		if err := os.WriteFile(path, []byte("[[model]]\nname = \"m\"\nweights_version = \"v1\"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		if out, err := runCommand(t, entry, "apply", "-f", path); err != nil || !strings.Contains(out, want) {
			t.Errorf("unsaved %t: %s %v, want %q", unsaved, out, err, want)
		}
	}
}
