package router

import (
	"context"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"acaciakeel/catalog"
	"acaciakeel/fleet"
	"acaciakeel/origin"
)

// recordingOrigins saves announcements after a time, or none, and notes what it is told.
type recordingOrigins struct {
	// refuses is set if no announcement is saved.
	refuses bool
	// savedAfter is how long it takes to save one.
	savedAfter time.Duration
	calls      []string
}

func (o *recordingOrigins) Announce(_ origin.Stream, from origin.Origin, _ bool) (<-chan struct{}, bool) {
	o.calls = append(o.calls, "announce "+from.Build)
	if o.refuses {
		return nil, false
	}
	saved := make(chan struct{})
	time.AfterFunc(o.savedAfter, func() { close(saved) })
	return saved, true
}

func (o *recordingOrigins) Record(_ origin.Stream, from, announced origin.Origin, _ fleet.Instance) {
	call := "record " + from.Build
	if announced == from {
		call += " as announced"
	}
	o.calls = append(o.calls, call)
}

func (o *recordingOrigins) Flush()                      {}
func (o *recordingOrigins) ListFresh() bool             { return true }
func (o *recordingOrigins) Disputed(origin.Stream) bool { return false }
func (o *recordingOrigins) BeginAt(string) []string     { return nil }
func (o *recordingOrigins) Recorded(origin.Stream) (origin.Origin, bool) {
	return origin.Origin{}, false
}
func (o *recordingOrigins) Resolve(context.Context, origin.Stream, bool, string) origin.Resolution {
	return origin.Resolution{Source: origin.Unknown}
}

// firstWrite notes when the client got the first event.
type firstWrite struct {
	toldClient
	at time.Time
}

func (w *firstWrite) Write(p []byte) error {
	if w.at.IsZero() {
		w.at = time.Now()
	}
	return w.toldClient.Write(p)
}

// Guards against a stream that its client can name before its origin is saved.
func TestFirstEventWaitsUntilItsOriginIsSaved(t *testing.T) {
	served := answering("served", true, 200, both(sealed, func(r *Response) { r.Body = io.NopCloser(strings.NewReader(allEvents)) }))
	refused := answering("refused", false, 503, notRun)
	for _, test := range []struct {
		name      string
		resumable bool
		origins   recordingOrigins
		steps     []step
		calls     []string
		waits     time.Duration
	}{
		{"saved at once", true, recordingOrigins{}, []step{served}, []string{"announce ", "record  as announced"}, 0},
		{"saved later", true, recordingOrigins{savedAfter: 30 * time.Millisecond}, []step{served}, []string{"announce ", "record  as announced"}, 30 * time.Millisecond},
		{"a slow store", true, recordingOrigins{savedAfter: time.Minute}, []step{served}, []string{"announce ", "record  as announced"}, maxSaveWait},
		{"not saved", true, recordingOrigins{refuses: true}, []step{served}, []string{"announce ", "record "}, 0},
		{"at the second target", true, recordingOrigins{}, []step{refused, served}, []string{"announce ", "announce ", "record  as announced"}, 0},
		{"a stream that can't be resumed", false, recordingOrigins{savedAfter: time.Minute}, []step{served}, []string{"record "}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := promiseCase{"", catalog.Route{Kind: catalog.Stream, Resumable: test.resumable, Attempts: 2}, "m", ampleRetries, NewMetrics(prometheus.NewRegistry()), &test.origins}
				p := &play{steps: test.steps, silent: map[string]bool{}}
				w := &firstWrite{}
				begun := time.Now()
				if refused := c.serve(t.Context(), p, w); refused != nil {
					t.Fatal(refused)
				}
				if waited := w.at.Sub(begun); waited != test.waits {
					t.Errorf("the first event came after %v, want %v", waited, test.waits)
				}
				if !slices.Equal(test.origins.calls, test.calls) {
					t.Errorf("calls %q, want %q", test.origins.calls, test.calls)
				}
			})
		})
	}
}
