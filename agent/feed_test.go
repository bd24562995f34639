package agent

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/internal/standin/endless"
	"acaciakeel/refusal"
	"acaciakeel/target"
)

// newTestRunner returns a runner whose engine may be silent for 100 ms.
func newTestRunner(url string) *runner {
	s := DefaultSettings()
	s.Stream.EngineSilenceMS = 100
	return newRunner(s, target.NewEngine(url), newMetrics(prometheus.NewRegistry()))
}

// maxHeldBytes is how many bytes of tokens an agent may hold of one stream.
const maxHeldBytes = 4 << 20

// runTestJob runs a job at the runner's engine and returns it once it has ended. The job fails the
// test if it holds more than a stream may, or goes on for 5 s without a new token.
func runTestJob(t *testing.T, r *runner) *job {
	t.Helper()
	j := newJob(&keelv1.GenerateRequest{RequestId: "r", Customer: "c"}, 0, time.Now())
	t.Cleanup(j.cancel)
	r.startJob(j, time.Now())
	awaitUnknownEnd(t, j)
	return j
}

// awaitUnknownEnd waits until a job has ended, with an unknown outcome.
func awaitUnknownEnd(t *testing.T, j *job) {
	t.Helper()
	const stallTimeout = 5 * time.Second
	stalled := time.NewTimer(stallTimeout)
	end := 0
	for {
		_, finish, changed := j.buffer.TokensFrom(j.buffer.EndOffset())
		if finish != nil {
			if finish.Err == nil || refusal.From(finish.Err).Outcome != refusal.Unknown {
				t.Errorf("ended with %+v, want an error with an unknown outcome", finish)
			}
			return
		}
		if held := j.buffer.Bytes(); held > maxHeldBytes+1024+16 {
			t.Fatalf("the job still runs with %d bytes", held)
		}
		if offset := j.buffer.EndOffset(); offset > end {
			end = offset
			stalled.Reset(stallTimeout)
		}
		select {
		case <-changed:
		case <-stalled.C:
			t.Fatalf("the job still runs after %d tokens", end)
		}
	}
}

// Guards against a job that never ends since its engine sends no complete header.
func TestEngineWithoutHeaderEndsTheJob(t *testing.T) {
	for _, response := range []endless.Response{
		{Name: "nothing"},
		{Name: "slow_header", First: "HTTP/1.1 200 OK\r\nX: ", Repeated: "a", Slow: true},
		{Name: "slow_informational_responses", Repeated: "HTTP/1.1 103 Early Hints\r\n\r\n", Slow: true},
	} {
		t.Run(response.Name, func(t *testing.T) {
			url := "http://" + silentEngine(t)
			if response.Repeated != "" {
				url = "http://" + endless.Start(t, response).Address
			}
			runTestJob(t, newTestRunner(url))
			resumed := make(chan *refusal.Error, 1)
			go func() {
				_, refused := newTestRunner(url).findOrAdopt(t.Context(), &keelv1.GenerateRequest{RequestId: "r", Customer: "c", AttachOnly: true})
				resumed <- refused
			}()
			select {
			case refused := <-resumed:
				if refused == nil || refused.Outcome != refusal.Unknown {
					t.Errorf("resumed: %+v, want an unknown outcome", refused)
				}
			case <-time.After(5 * time.Second):
				t.Error("the resumption still waits")
			}
		})
	}
}

// silentEngine returns the address of an engine that accepts connections and sends nothing.
func silentEngine(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.Addr().String()
}

// Guards against a stream that the engine has canceled, as it had no reader for some time, and that
// ends like a complete one.
func TestCanceledStreamIsNotComplete(t *testing.T) {
	const chunks = "data: {\"offset\":0,\"text\":\"a\"}\n\ndata: {\"offset\":1,\"finish_reason\":\"canceled\"}\n\ndata: [DONE]\n\n"
	var opened atomic.Int64
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodDelete {
			opened.Add(1)
			_, _ = io.WriteString(w, chunks)
		}
	}))
	t.Cleanup(engine.Close)
	if j := runTestJob(t, newTestRunner(engine.URL)); j.buffer.EndOffset() != 1 {
		t.Errorf("%d tokens are passed on, want 1", j.buffer.EndOffset())
	}
	if n := opened.Load(); n != 1 {
		t.Errorf("the stream was opened %d times, want once", n)
	}
	j, refused := newTestRunner(engine.URL).findOrAdopt(t.Context(), &keelv1.GenerateRequest{RequestId: "r", Customer: "c", AttachOnly: true})
	if refused != nil {
		t.Fatal(refused)
	}
	awaitUnknownEnd(t, j)
}

// Guards against an engine whose stream never ends: it takes the agent's memory, or keeps the
// request for good.
func TestEndlessStreamEndsTheJob(t *testing.T) {
	text := strings.Repeat("a", 1024)
	for name, test := range map[string]struct {
		chunk func(i int) string
		// count is the number of chunks, after which the engine sends nothing more, and pause
		// separates them.
		count int
		pause time.Duration
	}{
		"tokens":       {chunk: func(i int) string { return fmt.Sprintf(`{"offset":%d,"text":%q}`, i, text) }, count: 16 << 10},
		"empty_tokens": {chunk: func(i int) string { return fmt.Sprintf(`{"offset":%d}`, i) }, count: 1 << 19},
		"duplicates":   {chunk: func(int) string { return `{"offset":0,"text":"a"}` }, count: 1 << 19, pause: 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method != http.MethodPost {
					w.WriteHeader(http.StatusNotFound)
					return
				}
				// The end of the connection is noticed once the request has been read.
				_, _ = io.Copy(io.Discard, r.Body)
				for i := 0; i < test.count && r.Context().Err() == nil; i++ {
					if _, err := io.WriteString(w, "data: "+test.chunk(i)+"\n\n"); err != nil {
						return
					}
					if test.pause > 0 {
						_ = http.NewResponseController(w).Flush()
						time.Sleep(test.pause)
					}
				}
				<-r.Context().Done()
			}))
			t.Cleanup(engine.Close)
			j := runTestJob(t, newTestRunner(engine.URL))
			if held := j.buffer.Bytes(); held > maxHeldBytes+len(text)+16 {
				t.Errorf("%d bytes are held, want at most %d", held, maxHeldBytes)
			}
		})
	}
}

// Guards against a stream that goes on at another engine while the first one works on it: engines keep
// streams without readers, so the request must be canceled there first.
func TestBrokenStreamIsCanceledFirst(t *testing.T) {
	text := strings.Repeat("a", 1024)
	for name, start := range map[string]func(w http.ResponseWriter, r *http.Request){
		"breaks off and can't be resumed": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "data: {\"offset\":0,\"text\":\"a\"}\n\n")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
		"is too large": func(w http.ResponseWriter, r *http.Request) {
			for i := 0; r.Context().Err() == nil; i++ {
				if _, err := fmt.Fprintf(w, "data: {\"offset\":%d,\"text\":%q}\n\n", i, text); err != nil {
					return
				}
			}
		},
		"has no header": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	} {
		t.Run(name, func(t *testing.T) {
			var canceled atomic.Bool
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				switch r.Method {
				case http.MethodPost:
					start(w, r)
				case http.MethodDelete:
					canceled.Store(true)
				default:
					w.WriteHeader(http.StatusInternalServerError)
				}
			}))
			t.Cleanup(engine.Close)
			runTestJob(t, newTestRunner(engine.URL))
			if !canceled.Load() {
				t.Error("the job ended before its request was canceled at the engine")
			}
		})
	}
}
