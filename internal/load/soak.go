package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"acaciakeel/internal/standin/engine"
)

// Soak sends chats and holds while something else breaks the deployment, and
// checks on the callers' side what must always hold.
type Soak struct {
	Fleet    Fleet
	Services []string
	Seed     uint64
	Duration time.Duration
	// Rate is requests a second; one in HoldEvery is a hold.
	Rate    float64
	Version string
	Out     io.Writer

	mu     sync.Mutex
	counts SoakCounts
	holds  map[string]string
}

// SoakCounts is what the checker counted.
type SoakCounts struct {
	Requests int
	// Lost: answered as done, but never ran. Doubled: ran more than once.
	Lost, Doubled int
	// Crossed: a text that is not the request's own. Cut: a stream that did
	// not come to its end, whatever its caller did.
	Crossed, Cut int
	// FalseNotRun: the last word was "not run", but it ran.
	FalseNotRun int
	// Unknown: holds whose last word was "unknown". Refused: requests refused
	// to the end, truthfully. Resumed: streams that went on by Last-Event-ID.
	Unknown, Refused, Resumed int
}

// Patience of the soak's callers.
const (
	soakTries   = 40
	soakPause   = 250 * time.Millisecond
	holdTries   = 12
	holdEvery   = 3
	soakAnswer  = 40
	soakRequest = 20 * time.Second
)

// Run sends for the duration, waits for all to end, and prints one line. It
// returns an error if anything that must always hold did not.
func (s *Soak) Run(ctx context.Context) error {
	s.holds = map[string]string{}
	rng := rand.New(rand.NewPCG(s.Seed, 7))
	end := time.Now().Add(s.Duration)
	var wg sync.WaitGroup
	for i := 0; time.Now().Before(end); i++ {
		seed := rng.Uint64()
		wg.Go(func() { s.one(ctx, i, rand.New(rand.NewPCG(seed, 1))) })
		time.Sleep(time.Duration(rng.ExpFloat64() / s.Rate * float64(time.Second)))
	}
	wg.Wait()
	if err := s.checkHolds(ctx); err != nil {
		return err
	}
	c := s.counts
	fmt.Fprintf(s.Out, "soak seed=%d requests=%d lost=%d doubled=%d crossed=%d cut=%d false_not_run=%d unknown=%d refused=%d resumed=%d\n",
		s.Seed, c.Requests, c.Lost, c.Doubled, c.Crossed, c.Cut, c.FalseNotRun, c.Unknown, c.Refused, c.Resumed)
	if c.Lost+c.Doubled+c.Crossed+c.Cut+c.FalseNotRun > 0 {
		return fmt.Errorf("something that must always hold did not")
	}
	return nil
}

func (s *Soak) count(add func(c *SoakCounts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add(&s.counts)
}

func (s *Soak) one(ctx context.Context, i int, rng *rand.Rand) {
	s.count(func(c *SoakCounts) { c.Requests++ })
	if i%holdEvery == 0 {
		s.hold(ctx, rng)
		return
	}
	s.chat(ctx, rng)
}

func (s *Soak) client(rng *rand.Rand, customer int) *Client {
	return NewClient(s.Fleet.Entries[rng.IntN(len(s.Fleet.Entries))], s.Fleet.Keys[customer])
}

// chat reads one stream to its end as a patient caller does: it sends a
// refused request again, and resumes a broken stream through any entry.
func (s *Soak) chat(ctx context.Context, rng *rand.Rand) {
	customer := rng.IntN(len(s.Fleet.Keys))
	file := strings.Repeat(fmt.Sprintf("file %d of %d. ", rng.IntN(6), customer), 400)
	chat := Chat{Model: s.Fleet.Model, MaxTokens: soakAnswer, Messages: []Message{
		{Role: "system", Content: file},
		{Role: "user", Content: fmt.Sprintf("question %d", rng.Uint64())},
	}}
	text, lastID, resumed := "", "", false
	for range soakTries {
		r := s.sendChat(ctx, rng, customer, chat, lastID)
		text += r.Text
		if r.LastEventID != "" {
			resumed = resumed || lastID != ""
			lastID = r.LastEventID
		}
		if r.Whole {
			s.checkText(chat, text, resumed)
			return
		}
		if r.Code == "resume_unavailable" || (r.Code != "" && text != "" && r.Code != "canceled" && r.Status == http.StatusOK) {
			s.count(func(c *SoakCounts) { c.Cut++ })
			fmt.Fprintf(s.Out, "cut id=%s status=%d code=%s tokens=%d\n", lastID, r.Status, r.Code, len(text)/4)
			return
		}
		time.Sleep(soakPause)
	}
	if text != "" {
		s.count(func(c *SoakCounts) { c.Cut++ })
		fmt.Fprintf(s.Out, "cut id=%s out of tries\n", lastID)
		return
	}
	s.count(func(c *SoakCounts) { c.Refused++ })
}

func (s *Soak) sendChat(ctx context.Context, rng *rand.Rand, customer int, chat Chat, lastID string) Result {
	ctx, cancel := context.WithTimeout(ctx, soakRequest)
	defer cancel()
	return s.client(rng, customer).Chat(ctx, chat, lastID)
}

func (s *Soak) checkText(chat Chat, text string, resumed bool) {
	prompt := ""
	for _, m := range chat.Messages {
		prompt += fmt.Sprintf("<|%s|>\n%s\n", m.Role, m.Content)
	}
	want := engine.Text(s.Version, "", prompt+"<|assistant|>\n", chat.MaxTokens)
	s.count(func(c *SoakCounts) {
		if text != want {
			c.Crossed++
		}
		if resumed {
			c.Resumed++
		}
	})
}

// hold places one hold and repeats it, with the same key through any entry,
// until its outcome is known or patience ends.
func (s *Soak) hold(ctx context.Context, rng *rand.Rand) {
	body := "box-" + uuid.NewString()
	key := uuid.NewString()
	if rng.IntN(2) == 0 {
		key = uuid.Must(uuid.NewV7()).String()
	}
	last := ""
	for range holdTries {
		last = s.sendHold(ctx, rng, body, key)
		if last == "done" {
			break
		}
		time.Sleep(soakPause)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holds[body] = last
}

func (s *Soak) sendHold(ctx context.Context, rng *rand.Rand, body, key string) string {
	ctx, cancel := context.WithTimeout(ctx, soakRequest)
	defer cancel()
	r := s.client(rng, 0).Call(ctx, s.Fleet.Service, "/holds", body, key)
	switch {
	case r.Err != nil:
		return "unknown"
	case r.Status == http.StatusOK:
		return "done"
	}
	return r.Outcome
}

// checkHolds compares what callers were told with how often each call ran.
func (s *Soak) checkHolds(ctx context.Context) error {
	runs := map[string]int{}
	for _, url := range s.Services {
		var truth map[string]int
		if err := getJSON(ctx, url+"/truth", &truth); err != nil {
			return err
		}
		for call, n := range truth {
			runs[call[strings.LastIndex(call, " ")+1:]] += n
		}
	}
	for body, last := range s.holds {
		n := runs[body]
		switch {
		case n > 1:
			s.counts.Doubled++
		case last == "done" && n == 0:
			s.counts.Lost++
		case last == "not_run" && n > 0:
			s.counts.FalseNotRun++
		case last == "not_run":
			s.counts.Refused++
		case last == "unknown":
			s.counts.Unknown++
		}
	}
	return nil
}
