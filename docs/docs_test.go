// Package docs checks that the pages and the code name the same things.
package docs

import (
	"bytes"
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"acaciakeel/agent"
	"acaciakeel/ctl"
	"acaciakeel/entry"
	"acaciakeel/refusal"
	"acaciakeel/retry"
	"acaciakeel/settings"
)

func read(t *testing.T, file string) string {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// first returns what stands in code quotes in the first column of a page's tables.
func first(page string) map[string]bool {
	found := map[string]bool{}
	for _, m := range regexp.MustCompile("(?m)^\\| `([^`]+)`").FindAllStringSubmatch(page, -1) {
		found[m[1]] = true
	}
	return found
}

// same fails for names that stand on one side only.
func same(t *testing.T, page string, documented, real map[string]bool) {
	t.Helper()
	for name := range real {
		if !documented[name] {
			t.Errorf("%s does not name %s", page, name)
		}
	}
	for name := range documented {
		if !real[name] {
			t.Errorf("%s names %s, which is not in the code", page, name)
		}
	}
}

func TestMetricsPage(t *testing.T) {
	real := map[string]bool{}
	name := regexp.MustCompile(`"(keel_(?:entry|agent|router|node)_[a-z_]+)"`)
	for _, dir := range []string{"entry", "agent", "router", "node", "rollout", "verdicts"} {
		files, _ := filepath.Glob("../" + dir + "/*.go")
		for _, file := range files {
			for _, m := range name.FindAllStringSubmatch(read(t, file), -1) {
				real[m[1]] = true
			}
		}
	}
	same(t, "metrics.md", first(read(t, "operating/metrics.md")), real)
}

// TestDashboard: a panel whose metric was renamed shows nothing, which on-call
// engineers take for quiet. Each metric of the dashboard is one that the page,
// and so the code, names.
func TestDashboard(t *testing.T) {
	page := read(t, "operating/metrics.md")
	dashboard := read(t, "../examples/dashboard.json")
	if !json.Valid([]byte(dashboard)) {
		t.Error("the dashboard is no JSON")
	}
	names := regexp.MustCompile(`keel_[a-z_]+`).FindAllString(dashboard, -1)
	if len(names) == 0 {
		t.Error("the dashboard shows no metric")
	}
	for _, name := range names {
		base := strings.TrimSuffix(strings.TrimSuffix(name, "_bucket"), "_count")
		if !strings.Contains(page, "`"+base+"`") {
			t.Errorf("the dashboard shows %s, which the page does not name", name)
		}
	}
}

func TestRefusalsPage(t *testing.T) {
	real := map[string]bool{}
	for _, kind := range refusal.Kinds() {
		real[string(kind)] = true
	}
	for _, reason := range retry.Reasons() {
		real[string(reason)] = true
	}
	same(t, "refusals.md", first(read(t, "operating/refusals.md")), real)
}

// keys returns the TOML keys of a settings type, with their tables.
func keys(v reflect.Type, table string, into map[string]bool) {
	for field := range v.Fields() {
		key := field.Tag.Get("toml")
		kind := field.Type
		if kind.Kind() == reflect.Slice {
			kind = kind.Elem()
		}
		if kind.Kind() == reflect.Struct {
			keys(kind, key+".", into)
			continue
		}
		into[table+key] = true
	}
}

func TestSettingsPage(t *testing.T) {
	real := map[string]bool{}
	keys(reflect.TypeFor[entry.Settings](), "", real)
	keys(reflect.TypeFor[agent.Settings](), "", real)
	same(t, "settings.md", first(read(t, "operating/settings.md")), real)
}

func TestExamples(t *testing.T) {
	e, a := entry.DefaultSettings(), agent.DefaultSettings()
	if err := settings.Load("../examples/entry.toml", &e); err != nil {
		t.Error(err)
	}
	if err := settings.Load("../examples/agent.toml", &a); err != nil {
		t.Error(err)
	}
	if manifests, err := ctl.ReadManifests("../examples/fleet.toml"); err != nil || len(manifests) != 6 {
		t.Errorf("%d resources, error %v", len(manifests), err)
	}
}

func TestCommandsPage(t *testing.T) {
	documented := map[string]bool{}
	for line := range first(read(t, "operating/keelctl.md")) {
		documented[strings.Fields(line)[1]] = true
	}
	real := map[string]bool{}
	for _, command := range ctl.Command(&bytes.Buffer{}).Commands {
		real[command.Name] = true
	}
	same(t, "keelctl.md", documented, real)
}

// TestProofsPage checks that every test and session that PROOFS.md names exists.
func TestProofsPage(t *testing.T) {
	page := read(t, "PROOFS.md")
	code := ""
	files, _ := filepath.Glob("../*/*_test.go")
	deeper, _ := filepath.Glob("../integration/*/*_test.go")
	for _, file := range append(files, deeper...) {
		code += read(t, file)
	}
	named := map[string]bool{}
	for _, m := range regexp.MustCompile("`((?:Test|Fuzz)[A-Za-z]+|(?:streams|calls|config)/[a-z-]+)`").FindAllStringSubmatch(page, -1) {
		named[m[1]] = true
	}
	if len(named) < 20 {
		t.Errorf("PROOFS.md names only %v", slices.Sorted(maps.Keys(named)))
	}
	for name := range named {
		if strings.HasPrefix(name, "Test") || strings.HasPrefix(name, "Fuzz") {
			if !strings.Contains(code, "func "+name+"(") {
				t.Errorf("PROOFS.md names %s, which does not exist", name)
			}
			continue
		}
		if _, err := os.Stat("../integration/testdata/" + name); err != nil {
			t.Errorf("PROOFS.md names %s: %v", name, err)
		}
	}
	sessions, _ := filepath.Glob("../integration/testdata/*/*")
	for _, file := range sessions {
		name, _ := filepath.Rel("../integration/testdata", file)
		if !named[name] {
			t.Errorf("PROOFS.md does not name session %s", name)
		}
	}
}
