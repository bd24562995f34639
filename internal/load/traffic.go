package load

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"connectrpc.com/connect"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/api/keel/v1/keelv1connect"
	"acaciakeel/link"
)

// TrafficSlopes measures entry and agents at several rates of requests.
func TrafficSlopes(ctx context.Context, f Fleet, agents []string, p Profile, seed uint64, rates []float64, each time.Duration) ([]*Slope, error) {
	entryCPU := &Slope{Name: "entry_cpu", Size: "requests a second at the entry", Cost: "percent of a core"}
	agentCPU := &Slope{Name: "agent_cpu", Size: "requests a second at the agent", Cost: "percent of a core"}
	bytes := &Slope{Name: "entry_link_bytes", Size: "requests a second at the entry", Cost: "bytes a second to and from agents"}
	w := NewWorkload(p, seed)
	for _, rate := range rates {
		before := f.costs(ctx, agents)
		began := time.Now()
		if rate == 0 {
			time.Sleep(each)
		} else {
			f.Send(ctx, began, w.Arrivals(f.Model, 0, each, rate, len(f.Entries)))
		}
		after := f.costs(ctx, agents)
		seconds := time.Since(began).Seconds()
		served := (after.requests - before.requests) / seconds
		entryCPU.Add(served, 100*(after.entryCPU-before.entryCPU)/seconds)
		bytes.Add(served, (after.linkBytes-before.linkBytes)/seconds)
		n := float64(len(agents))
		agentCPU.Add(served/n, 100*(after.agentCPU-before.agentCPU)/seconds/n)
	}
	return []*Slope{entryCPU, agentCPU, bytes}, ctx.Err()
}

// costs is what the processes of a fleet have used up to now.
type costs struct {
	requests, entryCPU, agentCPU, linkBytes float64
}

func (f *Fleet) costs(ctx context.Context, agents []string) costs {
	c := costs{
		requests:  f.Metric(ctx, "keel_entry_requests_total"),
		entryCPU:  f.Metric(ctx, "process_cpu_seconds_total"),
		linkBytes: f.Metric(ctx, "keel_entry_link_bytes"),
	}
	for _, url := range agents {
		c.agentCPU += scrape(ctx, url, "process_cpu_seconds_total")
	}
	return c
}

// asksMeasured is how many questions a point of QuestionBytes takes.
const asksMeasured = 500

// QuestionBytes measures the bytes on the wire of one question to an agent
// and its answer, headers included, by the number of boundaries in it.
func QuestionBytes(ctx context.Context, agent string) (*Slope, error) {
	s := &Slope{Name: "question_bytes", Size: "boundaries in the question", Cost: "bytes there and back"}
	for _, boundaries := range []int{1, 3, 6, 10} {
		links := link.NewPool(link.Options{})
		req := &keelv1.AskRequest{
			PromptTokens: 15000, Priority: 1, Reservation: 1 << 60, ConfigRevision: 100000,
			Weights: 1 << 61, Root: 1 << 62, Customer: "customer-with-a-name", Asked: 3,
		}
		for i := range boundaries {
			req.BoundaryHash = append(req.BoundaryHash, uint64(i)<<50)
			req.BoundaryTokens = append(req.BoundaryTokens, uint32(i*1500))
		}
		client := links.Peer(agent).Clients().Agent
		before := int64(0)
		for i := range asksMeasured + 1 {
			if _, err := client.Ask(ctx, connect.NewRequest(req)); err != nil {
				return nil, fmt.Errorf("ask %s: %w", agent, err)
			}
			if i == 0 {
				// The first question also makes the connection.
				sent, got := links.Bytes()
				before = sent + got
			}
		}
		sent, got := links.Bytes()
		s.Add(float64(boundaries), float64(sent+got-before)/asksMeasured)
	}
	return s, nil
}

// QuestionCost is the processor time of one question, in microseconds.
type QuestionCost struct {
	// Asker is the entry's side, Agent the agent's.
	Asker, Agent float64
}

// costMeasured is how many questions QuestionCPU asks, askers at a time.
const (
	costMeasured = 6000
	askers       = 3
)

// QuestionCPU measures the processor time of a question of six boundaries on
// both sides, by the processes' own clocks.
func QuestionCPU(ctx context.Context, agent string) (QuestionCost, error) {
	client := link.NewPool(link.Options{}).Peer(agent).Clients().Agent
	req := &keelv1.AskRequest{
		PromptTokens: 15000, Root: 1 << 62, Customer: "customer-with-a-name", Asked: askers,
		BoundaryHash: []uint64{1, 2, 3, 4, 5, 6}, BoundaryTokens: []uint32{1, 2, 3, 4, 5, 6},
	}
	agentBefore, ownBefore := scrape(ctx, agent, "process_cpu_seconds_total"), ownCPU()
	errs := make(chan error, askers)
	for range askers {
		go func() { errs <- askMany(ctx, client, req, costMeasured/askers) }()
	}
	for range askers {
		if err := <-errs; err != nil {
			return QuestionCost{}, err
		}
	}
	const micros = 1e6
	return QuestionCost{
		Asker: (ownCPU() - ownBefore) * micros / costMeasured,
		Agent: (scrape(ctx, agent, "process_cpu_seconds_total") - agentBefore) * micros / costMeasured,
	}, nil
}

func askMany(ctx context.Context, client keelv1connect.AgentServiceClient, req *keelv1.AskRequest, times int) error {
	for range times {
		if _, err := client.Ask(ctx, connect.NewRequest(req)); err != nil {
			return err
		}
	}
	return nil
}

// ownCPU returns the processor seconds that this process has used.
func ownCPU() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}
