package fleet

import (
	"time"

	"acaciakeel/policy"
)

// newsAge measures how old the word of others about their load gets.
type newsAge struct {
	heard map[string]time.Time
	// every is about how long the others' words are apart.
	every time.Duration
}

// newsStep is the part of the difference by which one word moves that time.
const newsStep = 0.05

// sameTelling is within what time words of one sender are of one telling, spread
// over several datagrams.
const sameTelling = 20 * time.Millisecond

// note takes a word of a sender's.
func (n *newsAge) note(sender string, now time.Time) {
	if n.heard == nil {
		n.heard = map[string]time.Time{}
	}
	last, ok := n.heard[sender]
	if ok && now.Sub(last) < sameTelling {
		return
	}
	if ok && now.Sub(last) < occupancyValid {
		n.every += time.Duration(newsStep * float64(now.Sub(last)-n.every))
	}
	n.heard[sender] = now
	for other, at := range n.heard {
		if now.Sub(at) >= occupancyValid {
			delete(n.heard, other)
		}
	}
}

// unseenFor returns for how long what another process decides stays unseen: that of
// the own group until its next word, that of the others until the next digest and
// the words before and after it.
func (f *Fleet) unseenFor() time.Duration {
	groups := len(f.groupNews.heard)
	if f.members.count() > 1 && len(f.news.heard) == 0 {
		return occupancyValid
	}
	far := 2*f.news.every + f.groupNews.every
	return (f.news.every + time.Duration(groups)*far) / time.Duration(groups+1)
}

// compared returns how many of n runners a prompt's choice is among. What the
// others decided since their last word is unseen; were each to compare all runners,
// all would send to the same idle ones meanwhile. Twice so many that as many
// decisions as are unseen spread over all of them: then each meets one of the
// others about twice, and the order, which differs with each prompt, does the rest.
func (f *Fleet) compared(q Query, n int, now time.Time) int {
	if f.off[policy.CandidateSampling] {
		return askedMost
	}
	unseen := f.engine(q.Service).OfferedLoad(now).HeavyRate * f.unseenFor().Seconds()
	if unseen <= 0 {
		return askedMost
	}
	return max(askedLeast, min(askedMost, int(2*float64(n)/unseen)))
}
