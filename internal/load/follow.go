package load

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"acaciakeel/api/keel/v1/keelv1connect"
	"acaciakeel/configsync"
	"acaciakeel/link"
	"acaciakeel/platform"
	"acaciakeel/store"
	"acaciakeel/telemetry"
	"acaciakeel/vm"
)

// Applied is when each revision came into force at one process, and how often
// a lower one followed a higher.
type Applied struct {
	// At is the time in nanoseconds since 1970, by revision.
	At      map[int64]int64 `json:"at"`
	Reverts int             `json:"reverts"`
}

// Member is a process that does nothing but follow the configuration, as
// entries and agents do, for measuring the following alone.
type Member struct {
	Follower *configsync.Follower
	registry *prometheus.Registry
	mu       sync.Mutex
	applied  Applied
	last     int64
}

// NewMember returns a member that has not begun to follow.
func NewMember(self vm.VM, platformURL string, neighbours []string) *Member {
	links := link.NewPool(link.Options{})
	client := platform.NewStore(platformURL)
	m := &Member{
		registry: telemetry.NewRegistry(),
		applied:  Applied{At: map[int64]int64{}},
		Follower: configsync.NewFollower(configsync.Config{
			Self:       self,
			Neighbours: neighbours,
			Store:      client,
			Directory:  store.NewVMList(platformURL),
			Links:      links,
		}),
	}
	telemetry.NewGaugeFunc(m.registry, "keel_member_link_bytes", "Bytes to and from other processes.", func() float64 {
		sent, received := links.Bytes()
		return float64(sent + received)
	})
	return m
}

// Watch notes each change as it comes into force; it does not return.
func (m *Member) Watch() {
	for {
		changed := m.Follower.Changed()
		m.note(m.Follower.Revision(), time.Now())
		<-changed
	}
}

func (m *Member) note(revision int64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision < m.last {
		m.applied.Reverts++
	}
	m.last = revision
	if _, known := m.applied.At[revision]; !known {
		m.applied.At[revision] = now.UnixNano()
	}
}

// Handler serves the member's part of the distribution, and what it noted.
func (m *Member) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(keelv1connect.NewConfigServiceHandler(configsync.NewServer(m.Follower)))
	mux.Handle("GET /metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /applied", func(w http.ResponseWriter, _ *http.Request) {
		m.mu.Lock()
		defer m.mu.Unlock()
		_ = json.NewEncoder(w).Encode(m.applied)
	})
	return mux
}
