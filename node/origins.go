package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/fleet"
	"acaciakeel/origin"
	"acaciakeel/peering"
	"acaciakeel/pulses"
	"acaciakeel/telemetry"
)

// streamOrigins tells which software version began a stream. Each node reports the streams that
// begin at it to its group with its updates; for a stream without a record the others are asked.
// It implements router.Origins.
type streamOrigins struct {
	table    *origin.Table
	exchange *peerExchange

	mu sync.Mutex
	// pending are the questions that wait for answers, by number.
	pending map[uint64]chan receivedAnswer
	// recent are the streams that were recorded within maxListingLag.
	recent []recentBegin
	// questions counts questions by result; nil disables counting.
	questions *prometheus.CounterVec
}

// recentBegin is a stream that was recorded with the software version of a target.
type recentBegin struct {
	stream origin.Stream
	target string
	at     time.Time
}

const (
	// listingLag is how long after a target's restart its new entry may arrive while the store
	// can be reached: several watches, and the way through the member that watches for its
	// group.
	listingLag = 2 * time.Second
	// maxListingLag bounds the same for a node that was cut off: later, a stream that began at
	// a target which was not heard from has no known origin anyway.
	maxListingLag = 10 * time.Second
)

func newStreamOrigins(p *peerExchange) *streamOrigins {
	return &streamOrigins{table: origin.NewTable(time.Now()), exchange: p, pending: map[uint64]chan receivedAnswer{}}
}

func (o *streamOrigins) register(r *prometheus.Registry) {
	o.questions = telemetry.NewCounter(r, "keel_node_origin_questions_total", "Streams for which other entries were asked what began them, by result.", "result")
	telemetry.NewGaugeFunc(r, "keel_node_stream_origins", "Streams of which this entry knows what began them.", func() float64 { return float64(o.table.Len()) })
	telemetry.NewGaugeFunc(r, "keel_node_stream_origins_dropped_early", "Times that records of streams were dropped early because there were too many.", func() float64 { return float64(o.table.DroppedEarly()) })
}

// Timing and size of questions.
const (
	// askAgainAfter is when they are asked again, and further ones: a datagram was lost, a node
	// has ended, or the record was on its way.
	askAgainAfter = 40 * time.Millisecond
	// askTimeout bounds the time that a resumption waits for answers: a few round trips
	// between data centres.
	askTimeout = 150 * time.Millisecond
	// askedPeers is how many members of the node's own group are asked at once, where there
	// are more.
	askedPeers = 3
	// maxAskedAlone is the size of a single group up to which all members are asked.
	maxAskedAlone = 8
	// viewFreshFor is how old a view of the targets may be to count as fresh: two watches and
	// the way through the member that watches for its group.
	viewFreshFor = 1500 * time.Millisecond
)

// Record implements router.Origins.
func (o *streamOrigins) Record(s origin.Stream, from origin.Origin, target fleet.Instance) {
	now := time.Now()
	o.table.Record(s, from, now)
	o.mu.Lock()
	defer o.mu.Unlock()
	// Records are in the order of time.
	expired := slices.IndexFunc(o.recent, func(b recentBegin) bool { return now.Sub(b.at) <= maxListingLag })
	if expired < 0 {
		expired = len(o.recent)
	}
	o.recent = append(slices.Delete(o.recent, 0, expired), recentBegin{stream: s, target: target.ID, at: now})
}

// Disputed implements router.Origins.
func (o *streamOrigins) Disputed(s origin.Stream) bool {
	_, _, ok := o.table.Lookup(s, time.Now())
	return !ok
}

// targetChanged is called when a target is first known to have restarted, or is listed with
// another software version than before. It may have had that version since its restart, so
// either one may have begun the latest streams there.
func (o *streamOrigins) targetChanged(id string) {
	now := time.Now()
	age, _ := o.exchange.view.follower.Age()
	lag := max(listingLag, age+listingLag/2)
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, b := range o.recent {
		if b.target == id && now.Sub(b.at) <= lag {
			o.table.Record(b.stream, origin.Disputed, now)
		}
	}
}

// Resolve implements router.Origins.
func (o *streamOrigins) Resolve(ctx context.Context, s origin.Stream, named bool, service string) origin.Resolution {
	now := time.Now()
	if r, ok := o.lookup(s, named, now); ok {
		return r
	}
	versions := o.versions(service, now)
	if r, ok := origin.ResolveLocally(service, versions); ok {
		return r
	}
	if !named && !versions.Sole {
		return origin.Resolution{Source: origin.Unknown}
	}
	return o.ask(ctx, s, named, service, versions)
}

func (o *streamOrigins) lookup(s origin.Stream, named bool, now time.Time) (origin.Resolution, bool) {
	if !named {
		return origin.Resolution{}, false
	}
	from, own, ok := o.table.Lookup(s, now)
	r := origin.Resolution{Origin: from, Source: origin.OtherEntry}
	if own {
		r.Source = origin.ThisEntry
	}
	return r, ok
}

// versions returns what this node knows of the software versions of a service.
func (o *streamOrigins) versions(service string, now time.Time) origin.Versions {
	v := o.exchange.view
	builds := v.fleet.Builds(service, now)
	if len(builds) != 1 || v.hasOtherVersion(service, builds[0]) {
		return origin.Versions{}
	}
	return origin.Versions{Sole: true, Build: builds[0], Fresh: o.ListFresh()}
}

// ListFresh implements router.Origins.
func (o *streamOrigins) ListFresh() bool {
	age, ok := o.exchange.view.follower.Age()
	return ok && age < viewFreshFor
}

// askPlan is whom to ask for a stream: first at once, and again if nobody has a record of it.
type askPlan struct {
	first, again []string
	// everyone is set if first holds all other nodes.
	everyone bool
}

// newAskPlan returns whom to ask: members of this node's own group and relays of each other
// group, since all members of the group in which a stream began get a record of it.
func newAskPlan(plan peering.Plan) askPlan {
	group := plan.Peers
	if !plan.Joined {
		group = plan.Guests
	}
	peers := addressesOf(group)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	if len(plan.Links) == 0 && plan.GroupCount <= 1 && len(peers) <= maxAskedAlone {
		return askPlan{first: peers, again: peers, everyone: plan.Joined}
	}
	out := askPlan{first: peers[:min(len(peers), askedPeers)], again: peers[:min(len(peers), 2*askedPeers)]}
	for _, l := range plan.Links {
		out.first = append(out.first, l.RemoteAddresses[:min(len(l.RemoteAddresses), 1)]...)
		out.again = append(out.again, l.RemoteAddresses[:min(len(l.RemoteAddresses), 2)]...)
	}
	return out
}

// receivedAnswer is an answer and the node that sent it.
type receivedAnswer struct {
	sender string
	origin.Answer
}

// ask asks other nodes for a stream until one has a record of it, all have answered twice, or
// time is up.
func (o *streamOrigins) ask(ctx context.Context, s origin.Stream, named bool, service string, versions origin.Versions) origin.Resolution {
	plan := newAskPlan(o.exchange.view.plan())
	question := &keelv1.OriginQuestion{Number: rand.Uint64(), Service: service}
	if named {
		question.Stream = uint32(s)
	}
	answers := make(chan receivedAnswer, len(plan.first)+len(plan.again))
	o.setPending(question.Number, answers)
	defer o.setPending(question.Number, nil)
	r := origin.ResolveAnswers(service, versions, o.collect(ctx, plan, question, answers))
	o.count(string(r.Source))
	if r.Source == origin.Asked {
		o.table.Apply([]origin.Report{{Origin: r.Origin, Streams: []origin.Stream{s}}}, time.Now())
	}
	return r
}

// collect sends a question and collects the answers. The record of a stream that has just begun
// may still be on its way to those who are asked, so they are asked again.
func (o *streamOrigins) collect(ctx context.Context, plan askPlan, question *keelv1.OriginQuestion, answers <-chan receivedAnswer) origin.Answers {
	again, timeout := time.NewTimer(askAgainAfter), time.NewTimer(askTimeout)
	defer again.Stop()
	defer timeout.Stop()
	latest := map[string]origin.Answer{}
	o.send(question, plan.first)
	for outstanding, repeated := len(plan.first), false; outstanding > 0 || !repeated && !allSole(latest); {
		select {
		case a := <-answers:
			latest[a.sender] = a.Answer
			outstanding--
		case <-again.C:
			o.send(question, plan.again)
			outstanding, repeated = outstanding+len(plan.again), true
			continue
		case <-timeout.C:
			outstanding, repeated = 0, true
		case <-ctx.Done():
			outstanding, repeated = 0, true
		}
		if slices.ContainsFunc(slices.Collect(maps.Values(latest)), func(a origin.Answer) bool { return a.Known }) {
			break
		}
	}
	return origin.Answers{Received: slices.Collect(maps.Values(latest)), Everyone: plan.everyone && len(latest) >= len(plan.first)}
}

// allSole reports whether all answers say that one version has served alone: there is no reason
// to ask again.
func allSole(answers map[string]origin.Answer) bool {
	for _, a := range answers {
		if !a.Known && !a.Versions.Sole {
			return false
		}
	}
	return len(answers) > 0
}

// Flush implements router.Origins.
func (o *streamOrigins) Flush() {
	if o.table.HasUnsent() {
		o.exchange.sendSoon()
	}
}

func (o *streamOrigins) send(question *keelv1.OriginQuestion, to []string) {
	datagram, err := pulses.Encode(&keelv1.Pulse{Sender: o.exchange.name, OriginQuestion: question})
	if err != nil {
		o.exchange.log.WithError(err).WithField("event", "pulse_failed").Error("could not encode a question for the origin of a stream; the stream counts as unknown")
		return
	}
	o.exchange.sendTo(to, datagram)
}

func (o *streamOrigins) setPending(number uint64, answers chan receivedAnswer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if answers == nil {
		delete(o.pending, number)
		return
	}
	o.pending[number] = answers
}

func (o *streamOrigins) count(result string) {
	if o.questions != nil {
		o.questions.WithLabelValues(result).Inc()
	}
}

// receive answers a question, or passes an answer on to the request that waits for it.
func (o *streamOrigins) receive(message *keelv1.Pulse, from netip.AddrPort, now time.Time) {
	if w := message.OriginAnswer; w != nil {
		o.mu.Lock()
		defer o.mu.Unlock()
		select {
		case o.pending[w.Number] <- receivedAnswer{message.Sender, pulses.DecodeOriginAnswer(w)}:
		default:
			// Nobody waits for it any more, or it has arrived before.
		}
		return
	}
	question := message.OriginQuestion
	answer := origin.Answer{Versions: o.versions(question.Service, now)}
	if r, ok := o.lookup(origin.Stream(question.Stream), question.Stream != 0, now); ok {
		answer = origin.Answer{Known: true, Origin: r.Origin}
	}
	datagram, err := pulses.Encode(&keelv1.Pulse{Sender: o.exchange.name, OriginAnswer: pulses.EncodeOriginAnswer(question.Number, answer)})
	if err != nil {
		o.exchange.log.WithError(err).WithField("event", "pulse_failed").Error("could not encode the origin of a stream; another node counts it as unknown")
		return
	}
	o.exchange.write(datagram, from)
}
