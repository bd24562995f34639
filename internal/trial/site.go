// Package trial plays small deployments on the platform's protocol in one process, with
// real connections, and counts what becomes of requests under a fault and with
// mechanisms switched off.
package trial

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/internal/standin/kv"
	"acaciakeel/internal/standin/runner"
	"acaciakeel/node"
	"acaciakeel/platform"
	"acaciakeel/policy"
	"acaciakeel/store"
)

const (
	model = "m"
	host  = "trial.example"
	key   = "key-1"
)

// site is a deployment: a store, runners of one model, entries.
type site struct {
	store   *kv.Store
	server  *httptest.Server
	runners []*runner.Runner
	nodes   []*node.Node
	stop    chan struct{}
}

// readyWithin bounds the waiting for entries, readyEvery is how often they are asked.
const (
	readyWithin = 10 * time.Second
	readyEvery  = 20 * time.Millisecond
)

func newSite(entries, runners int, pace time.Duration, without policy.Disabled) (*site, error) {
	s := &site{store: kv.NewStore(0), stop: make(chan struct{})}
	s.server = httptest.NewServer(kv.NewServer(s.store).Handler())
	for i := range runners {
		r := runner.Start(fmt.Sprintf("r%d", i), "lm", map[string]int64{model: 1})
		r.SetPace(pace)
		s.runners = append(s.runners, r)
	}
	if err := s.configure(); err != nil {
		return nil, err
	}
	go runner.KeepListed(s.runners, func(e store.Entry) { s.store.Set(e.Key, e.Value) }, s.stop)
	for i := range entries {
		n, err := s.startNode(i, without)
		if err != nil {
			return nil, err
		}
		s.nodes = append(s.nodes, n)
	}
	return s, nil
}

func (s *site) configure() error {
	value, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "match", "host": host, "path_prefix": "/match/", "kind": "streaming", "service": "lm", "timeout_ms": 6000,
			"target_latency_ms": 1500, "attempts": 1, "sticky": true,
		}},
		"services": []any{map[string]any{"name": "lm", "max_conns": 500, "engine": map[string]any{
			"slots": 32, "kv_capacity_tokens": 100000, "kv_token_bytes": 1000, "models": []any{map[string]any{"name": model}},
		}}},
		"limits":  map[string]any{"max_header_bytes": 8192, "max_body_bytes": 4096, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "c1", "api_keys": []string{key}}},
	})
	if err != nil {
		return fmt.Errorf("write the configuration: %w", err)
	}
	s.store.Set("op/config", value)
	return nil
}

func (s *site) startNode(i int, without policy.Disabled) (*node.Node, error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := node.New(platform.NodeSettings{
		Name: fmt.Sprintf("n%d", i), IP: "127.0.0.1", Zone: "z1", Ports: []int{0},
		Listen: platform.Listen{Front: "127.0.0.1:0", Ready: "127.0.0.1:0"},
		Bounds: platform.Bounds{GraceS: 1, RevokeMS: 5000, VersionMS: 8000, LeaseMS: 3000, RetryRatio: 0.2, RetryExtra: 50, RetryWindowS: 10},
		Store:  platform.StoreConfig{Address: strings.TrimPrefix(s.server.URL, "http://"), MinLeaseMS: 1000},
	}, node.Options{Disabled: without}, log)
	if err := n.Start(); err != nil {
		return nil, err
	}
	for end := time.Now().Add(readyWithin); time.Now().Before(end); time.Sleep(readyEvery) {
		resp, err := http.Get("http://" + n.ReadyAddress() + "/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return n, nil
		}
	}
	return nil, fmt.Errorf("entry n%d is not ready after %s; see its log", i, readyWithin)
}

// close ends the site; its entries go first.
func (s *site) close() {
	var wg sync.WaitGroup
	for _, n := range s.nodes {
		wg.Go(n.Stop)
	}
	wg.Wait()
	close(s.stop)
	for _, r := range s.runners {
		r.Close()
	}
	s.server.CloseClientConnections()
	s.server.Close()
}
