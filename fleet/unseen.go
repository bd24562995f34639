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

// note takes a word of a sender's.
func (n *newsAge) note(sender string, now time.Time) {
	if n.heard == nil {
		n.heard = map[string]time.Time{}
	}
	if last, ok := n.heard[sender]; ok && now.Sub(last) < occupancyValid {
		n.every += time.Duration(newsStep * float64(now.Sub(last)-n.every))
	}
	n.heard[sender] = now
	for other, at := range n.heard {
		if now.Sub(at) >= occupancyValid {
			delete(n.heard, other)
		}
	}
}

// compared returns how many of n runners a prompt's choice is among. What the
// others decided since their last word is unseen; were each to compare all runners,
// all would send to the same idle ones meanwhile. Twice so many that as many
// decisions as are unseen spread over all of them: then each meets one of the
// others about twice, and the order, which differs with each prompt, does the rest.
func (f *Fleet) compared(q Query, n int, now time.Time) int {
	if f.off[policy.FewCompared] {
		return askedMost
	}
	unseen := f.engine(q.Service).Mix(now).Heavies * f.news.every.Seconds()
	if unseen <= 0 {
		return askedMost
	}
	return max(askedLeast, min(askedMost, int(2*float64(n)/unseen)))
}
