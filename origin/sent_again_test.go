package origin

import (
	"testing"
	"time"
)

// Guards against a stream that is joined from two versions after all entries were killed: a client sent
// it again from its beginning under its ID, which replaced what was saved of the stream that it has.
func TestStreamSentAgainKeepsNoWrongRecord(t *testing.T) {
	now := time.Now()
	a, b := Origin{Service: "s", Build: "a"}, Origin{Service: "s", Build: "b"}
	stream := NewStream("customer", "attempt")
	for name, test := range map[string]struct {
		// began is what the first send began with, if it did; next the target of the second one, which
		// begins if begins is set.
		began, next Origin
		begins      bool
		want        Origin
	}{
		"first did not begin":             {Origin{}, b, true, b},
		"the same version":                {a, a, true, a},
		"another version, not begun":      {a, b, false, Disputed},
		"another version, begun":          {a, b, true, Disputed},
		"first did not begin, nor second": {Origin{}, b, false, b},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable(now)
			table.SaveServices([]string{"s"})
			table.Save(stream, a)
			if test.began != (Origin{}) {
				table.Record(stream, test.began, a, now)
			}
			table.Save(stream, test.next)
			if test.begins {
				table.Record(stream, test.next, test.next, now)
			}
			if saved := table.TakeUnsaved()[stream]; saved != test.want {
				t.Errorf("saved as %+v, want %+v", saved, test.want)
			}
		})
	}
}
