package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"acaciakeel/prefix"
)

// Profile is one organisation's traffic: customers of unequal size, prompts
// of three nested levels, a few of them very hot.
type Profile struct {
	Name string
	// Shares are the customers' parts of the traffic.
	Shares []float64
	// Groups is catalogues (or firm policies) for each customer, and Files
	// the dumps (or case files) for each of those.
	Groups int
	Files  int
	// Tokens of each level, as ranges.
	Instruction, Group, File, Question [2]int
	// Answer is the range of tokens generated.
	Answer [2]int
	// Zipf is the skew of popularity; above 1.
	Zipf float64
	// CallShare is the part of requests that are holds at the plain service.
	CallShare float64
}

// Profiles are the workloads of the two users.
func Profiles() map[string]Profile {
	shares := []float64{0.3, 0.25, 0.2, 0.05, 0.05, 0.05, 0.05, 0.05}
	return map[string]Profile{
		"lanzani": {
			Name: "lanzani", Shares: shares, Groups: 4, Files: 12,
			Instruction: [2]int{600, 1000}, Group: [2]int{3000, 5000}, File: [2]int{4000, 14000},
			Question: [2]int{40, 160}, Answer: [2]int{24, 64}, Zipf: 1.2, CallShare: 0.1,
		},
		"kodukapital": {
			Name: "kodukapital", Shares: shares, Groups: 3, Files: 16,
			Instruction: [2]int{400, 800}, Group: [2]int{2000, 4000}, File: [2]int{3000, 9000},
			Question: [2]int{40, 200}, Answer: [2]int{16, 48}, Zipf: 1.1, CallShare: 0.15,
		},
	}
}

// Request is one request of a workload.
type Request struct {
	// At is when it is sent, from the beginning of the run.
	At       time.Duration
	Customer int
	Entry    int
	Chat     *Chat
	Hold     string
}

// Workload makes a profile's requests from a seed: the same seed gives the
// same requests.
type Workload struct {
	profile Profile
	rng     *rand.Rand
	texts   map[string]string
	// shift moves the popularity to other files.
	shift int
	seed  uint64
}

// NewWorkload returns a workload of a seed.
func NewWorkload(p Profile, seed uint64) *Workload {
	return &Workload{profile: p, rng: rand.New(rand.NewPCG(seed, 1)), texts: map[string]string{}, seed: seed}
}

// Shift makes other files the hot ones from now on.
func (w *Workload) Shift() {
	w.shift += w.profile.Files/2 + 1
}

// text returns a text of a name: always the same, of a length that the name decides.
func (w *Workload) text(name string, tokens [2]int) string {
	if have, ok := w.texts[name]; ok {
		return have
	}
	rng := rand.New(rand.NewPCG(prefix.NameHash(name), w.seed))
	n := between(rng, tokens) * prefix.BytesPerToken
	var b strings.Builder
	b.Grow(n)
	for b.Len() < n {
		fmt.Fprintf(&b, "%07x ", rng.Uint32()&0xfffffff)
	}
	made := b.String()[:n]
	w.texts[name] = made
	return made
}

func between(rng *rand.Rand, r [2]int) int {
	return r[0] + rng.IntN(r[1]-r[0]+1)
}

// zipf returns a rank below n with the profile's skew.
func (w *Workload) zipf(n int) int {
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -w.profile.Zipf)
	}
	at := w.rng.Float64() * sum
	for i := range n {
		at -= math.Pow(float64(i+1), -w.profile.Zipf)
		if at < 0 {
			return i
		}
	}
	return n - 1
}

func (w *Workload) customer(shares []float64) int {
	at := w.rng.Float64()
	for i, share := range shares {
		at -= share
		if at < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// Next returns the next request for the model, sent at a time.
func (w *Workload) Next(model string, at time.Duration, entries int) Request {
	return w.next(model, at, entries, w.customer(w.profile.Shares))
}

func (w *Workload) next(model string, at time.Duration, entries, customer int) Request {
	r := Request{At: at, Customer: customer, Entry: w.rng.IntN(entries)}
	if w.rng.Float64() < w.profile.CallShare {
		r.Hold = fmt.Sprintf("box-%d", w.rng.Uint64())
		return r
	}
	group := w.zipf(w.profile.Groups)
	file := (w.zipf(w.profile.Files) + w.shift) % w.profile.Files
	groupName := fmt.Sprintf("%d/%d", customer, group)
	question := w.text(fmt.Sprintf("q/%d", w.rng.Uint64()), w.profile.Question)
	r.Chat = &Chat{
		Model:     model,
		MaxTokens: between(w.rng, w.profile.Answer),
		Messages: []Message{
			{Role: "system", Content: w.text(fmt.Sprintf("i/%d", customer), w.profile.Instruction)},
			{Role: "system", Content: w.text("g/"+groupName, w.profile.Group)},
			{Role: "user", Content: w.text(fmt.Sprintf("f/%s/%d", groupName, file), w.profile.File)},
			{Role: "user", Content: question},
		},
	}
	return r
}

// Arrivals returns the requests of a run: Poisson arrivals at a rate a second.
func (w *Workload) Arrivals(model string, from, to time.Duration, rate float64, entries int) []Request {
	var out []Request
	at := from
	for {
		at += time.Duration(w.rng.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return out
		}
		out = append(out, w.Next(model, at, entries))
	}
}
