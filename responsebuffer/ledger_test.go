package responsebuffer

import (
	"testing"

	"pgregory.net/rapid"
)

// An entry over its VM's memory is killed with all its requests. For any sequence of bytes
// held and taken, the total stays within its limit, no response exceeds its own, the one that
// holds most is aborted first, and no more are aborted than necessary.
func TestLedgerKeepsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			Response: rapid.Int64Range(1, 60).Draw(t, "response limit"),
			Total:    rapid.Int64Range(1, 100).Draw(t, "total limit"),
		}
		l := newLedger(limits)
		accounts := make([]account, 6)
		want := make([]int64, len(accounts))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(accounts)-1).Draw(t, "account")
			a := &accounts[i]
			if rapid.Bool().Draw(t, "remove") {
				n := rapid.Int64Range(0, want[i]).Draw(t, "taken")
				l.remove(a, n)
				want[i] -= n
				continue
			}
			n := rapid.Int64Range(1, 50).Draw(t, "held")
			wasAborted := a.aborted
			aborted := l.add(a, n)
			if wasAborted != "" {
				if len(aborted) > 0 || a.aborted != wasAborted || a.bytes != 0 {
					t.Fatalf("an aborted response holds %d bytes and aborted %v", a.bytes, aborted)
				}
				continue
			}
			want[i] += n
			checkAbortions(t, l, accounts, want, i, aborted)
		}
	})
}

// checkAbortions replays the abortions after an addition to account i on want.
func checkAbortions(t *rapid.T, l *ledger, accounts []account, want []int64, i int, aborted []abortion) {
	sum := func() (total int64) {
		for _, n := range want {
			total += n
		}
		return total
	}
	index := func(a *account) int {
		for j := range accounts {
			if &accounts[j] == a {
				return j
			}
		}
		return -1
	}
	for _, x := range aborted {
		j := index(x.account)
		if x.bytes != want[j] || x.account.aborted != x.reason {
			t.Fatalf("aborted %d as holding %d bytes for %q, held %d", j, x.bytes, x.reason, want[j])
		}
		switch x.reason {
		case ResponseLimit:
			if j != i || want[j] <= l.limits.Response {
				t.Fatalf("aborted %d with %d bytes for its own limit", j, want[j])
			}
		case TotalLimit:
			if sum() <= l.limits.Total {
				t.Fatalf("aborted %d although the total is %d", j, sum())
			}
			for _, n := range want {
				if n > want[j] {
					t.Fatalf("aborted a response with %d bytes before one with %d", want[j], n)
				}
			}
		default:
			t.Fatalf("aborted for %q", x.reason)
		}
		want[j] = 0
	}
	if l.total != sum() || l.total > l.limits.Total || l.usage().Bytes != l.total {
		t.Fatalf("total %d, held %d, limit %d", l.total, sum(), l.limits.Total)
	}
	for j := range accounts {
		if accounts[j].bytes != want[j] || want[j] > l.limits.Response {
			t.Fatalf("account %d has %d bytes, held %d, limit %d", j, accounts[j].bytes, want[j], l.limits.Response)
		}
		if _, held := l.held[&accounts[j]]; held != (want[j] > 0) {
			t.Fatalf("account %d with %d bytes is listed: %v", j, want[j], held)
		}
	}
}
