package kv

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"acaciakeel/platform"
	"acaciakeel/store"
)

// newServed returns a server at an address.
func newServed(t *testing.T) (*Server, string) {
	t.Helper()
	s := NewServer(NewStore(0))
	s.SendsEra = true
	served := httptest.NewUnstartedServer(s.Handler())
	served.Listener = s.Listen(served.Listener)
	served.Start()
	t.Cleanup(served.Close)
	return s, served.URL
}

// Guards against a stand-in that keeps something of what was acknowledged after the copy: revisions,
// keys, leases, events.
func TestRestoreForgetsWhatCameAfterTheCopy(t *testing.T) {
	s, url := newServed(t)
	client, ctx := platform.NewStore(url), t.Context()
	s.store.Set("a", []byte("first"))
	c := s.store.Copy()
	lease, err := client.Grant(ctx, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	lost, err := client.Put(ctx, "b", []byte("lost"), 0, lease)
	if err != nil {
		t.Fatal(err)
	}
	s.Restore(c)
	// A client of its own has no former history to refuse the same numbers in.
	client = platform.NewStore(url)
	if _, err := client.Get(ctx, "b"); !errors.Is(err, store.ErrNotFound) {
		t.Errorf("a key that came after the copy: %v", err)
	}
	if err := client.Renew(ctx, lease); !errors.Is(err, store.ErrNotFound) {
		t.Errorf("renewal of a lease that came after the copy: %v", err)
	}
	if events, err := client.Watch(ctx, "", lost, time.Second); err != nil || !events.Compacted {
		t.Errorf("watch after a revision that the store doesn't have: %+v, %v", events, err)
	}
	if again, err := client.Grant(ctx, time.Minute); err != nil || again != lease {
		t.Errorf("lease %s (%v), want %s again", again, err, lease)
	}
	if again, err := client.Put(ctx, "c", []byte("new"), 0, lease); err != nil || again != lost {
		t.Errorf("revision %d (%v), want %d again", again, err, lost)
	}
	if events, err := client.Watch(ctx, "", lost-1, time.Second); err != nil || len(events.Events) != 1 || events.Events[0].Key != "c" {
		t.Errorf("events after the copy: %+v, %v", events, err)
	}
}

// Guards against a stand-in whose waiting watches and open connections outlive a restore.
func TestRestoreEndsWaitingWatches(t *testing.T) {
	s, url := newServed(t)
	c := s.store.Copy()
	ended := make(chan error, 1)
	go func() {
		_, err := platform.NewStore(url).Watch(t.Context(), "", s.store.Revision(), 20*time.Second)
		ended <- err
	}()
	for calls, _ := s.Stats(); calls == 0; calls, _ = s.Stats() {
		time.Sleep(time.Millisecond)
	}
	s.Restore(c)
	if err := <-ended; err == nil {
		t.Error("a watch was answered over a restore")
	}
}

// Guards against a stand-in that is away and answers, or stays away.
func TestAwayServerCutsConnections(t *testing.T) {
	s, url := newServed(t)
	s.SetAway(true)
	if resp, err := http.Get(url + "/kv-range"); err == nil {
		t.Errorf("answered %d", resp.StatusCode)
		resp.Body.Close()
	}
	s.SetAway(false)
	resp, err := http.Get(url + "/kv-range")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
}

// Guards against items without the revision of their creation, and answers without the era.
func TestItemsHaveTheirCreation(t *testing.T) {
	s, url := newServed(t)
	s.store.Set("a", []byte("first"))
	created := s.store.Revision()
	s.store.Set("a", []byte("second"))
	s.Restore(s.store.Copy())
	resp, err := http.Get(url + "/kv-key?key=a")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	var got single
	if err := json.Unmarshal(body, &got); err != nil || got.Created != created || got.Revision != created+1 || got.Current != created+1 {
		t.Errorf("got %s (%v), want the creation at %d", body, err, created)
	}
	if era := resp.Header.Get("Store-Era"); era != strconv.Itoa(s.store.Era()) || era != "1" {
		t.Errorf("era %q after one restore", era)
	}
}
