package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/origin"
	"acaciakeel/peering"
	"acaciakeel/pulses"
)

// Timing and size of questions.
const (
	// askAgainAfter is when nodes are asked again, and further ones: a datagram was lost, a node
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
)

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
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	again := time.NewTimer(askAgainAfter)
	defer again.Stop()
	latest := map[string]origin.Answer{}
	o.send(question, plan.first)
	outstanding, repeated := len(plan.first), len(plan.again) == 0
	for ctx.Err() == nil && (outstanding > 0 || !repeated && !allSole(latest)) {
		select {
		case a := <-answers:
			outstanding--
			if latest[a.sender] = a.Answer; a.Known {
				return origin.Answers{Received: []origin.Answer{a.Answer}}
			}
		case <-again.C:
			o.send(question, plan.again)
			outstanding, repeated = outstanding+len(plan.again), true
		case <-ctx.Done():
		}
	}
	return origin.Answers{Received: slices.Collect(maps.Values(latest)), Everyone: plan.everyone && len(latest) >= len(plan.first)}
}

// allSole reports whether there are answers and all say that one version has served alone: there
// is no reason to ask again.
func allSole(answers map[string]origin.Answer) bool {
	for _, a := range answers {
		if !a.Versions.Sole {
			return false
		}
	}
	return len(answers) > 0
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

// answer returns what this node knows of a stream and of the versions of its service. A disputed
// stream may be of any version.
func (o *streamOrigins) answer(ctx context.Context, s origin.Stream, named bool, service string, now time.Time) origin.Answer {
	if r, ok := o.lookup(s, named, now); ok {
		return origin.Answer{Known: true, Origin: r.Origin}
	}
	if named && o.table.IsDisputed(s, now) {
		return origin.Answer{}
	}
	return origin.Answer{Versions: o.versions(ctx, service)}
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
	// The store may have to be asked, which must not hold up other messages.
	go o.reply(message.OriginQuestion, from, now)
}

// reply answers a question of another node.
func (o *streamOrigins) reply(question *keelv1.OriginQuestion, from netip.AddrPort, now time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	answer := o.answer(ctx, origin.Stream(question.Stream), question.Stream != 0, question.Service, now)
	datagram, err := pulses.Encode(&keelv1.Pulse{Sender: o.exchange.name, OriginAnswer: pulses.EncodeOriginAnswer(question.Number, answer)})
	if err != nil {
		o.exchange.log.WithError(err).WithField("event", "pulse_failed").Error("could not encode the origin of a stream; another node counts it as unknown")
		return
	}
	o.exchange.write(datagram, from)
}
