package origin

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// Guards against streams taken for another version's: a record is found as long as clients may
// resume its stream, and never with another origin than the one recorded.
func TestTableProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := NewTable(start), start
		// recorded is when each stream was last recorded with each origin.
		recorded := map[Stream]map[Origin]time.Time{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause")) * time.Millisecond)
			s := Stream(rapid.IntRange(0, 20).Draw(t, "stream"))
			o := Origin{Service: "s", Build: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "build"))}
			switch rapid.IntRange(0, 2).Draw(t, "call") {
			case 0:
				table.Record(s, o, Origin{}, now)
			case 1:
				table.Apply([]Report{{Origin: o, Streams: []Stream{s}}}, now)
			default:
				checkLookup(t, table, s, recorded[s], now)
				continue
			}
			if recorded[s] == nil {
				recorded[s] = map[Origin]time.Time{}
			}
			recorded[s][o] = now
		}
	})
}

// checkLookup holds a lookup against when the stream was recorded with each origin.
func checkLookup(t *rapid.T, table *Table, s Stream, recorded map[Origin]time.Time, now time.Time) {
	r, ok := table.Lookup(s, now)
	got := r.Origin
	latest := time.Time{}
	for _, at := range recorded {
		if at.After(latest) {
			latest = at
		}
	}
	near := 0
	for _, at := range recorded {
		if latest.Sub(at) < Retention {
			near++
		}
	}
	age := now.Sub(latest)
	switch {
	case ok && (recorded[got].IsZero() || age > 2*Retention):
		t.Fatalf("stream %d has origin %v, recorded %v", s, got, recorded)
	case ok && near > 1:
		t.Fatalf("stream %d has origin %v of several: %v", s, got, recorded)
	case !ok && len(recorded) == 1 && age < Retention:
		t.Fatalf("stream %d is not known %v after it was recorded: %v", s, age, recorded)
	}
}

// Guards against memory that grows with the number of streams or of versions.
func TestTableIsBounded(t *testing.T) {
	table := NewTable(start)
	for i := range 4 * maxRecords {
		table.Record(Stream(i), Origin{Service: "s", Build: "v1"}, Origin{}, start)
	}
	if n := table.Len(); n > 2*maxRecords {
		t.Errorf("%d records, at most %d are allowed", n, 2*maxRecords)
	}
	if table.DroppedEarly() == 0 {
		t.Error("records were dropped early, and none is counted")
	}
	if r, ok := table.Lookup(4*maxRecords-1, start); !ok || r.Origin.Build != "v1" {
		t.Errorf("the newest stream has origin %+v, known %v", r, ok)
	}
	for i := range 4 * maxOrigins {
		table.Record(Stream(i), Origin{Service: "s", Build: fmt.Sprint(i)}, Origin{}, start)
	}
	reported := 0
	for _, r := range table.TakeReports() {
		reported += len(r.Streams)
	}
	if reported > maxRecords+maxOrigins {
		t.Errorf("%d records wait to be sent", reported)
	}
}

// Guards against a dispute that leaves a stream known here or at another process, whether it was
// recorded there before or not.
func TestDisputedStreamIsNotKnown(t *testing.T) {
	own, other := NewTable(start), NewTable(start)
	own.Record(1, Origin{Service: "s", Build: "v1"}, Origin{}, start)
	other.Apply(own.TakeReports(), start)
	own.Record(1, Disputed, Origin{}, start)
	own.Record(2, Disputed, Origin{}, start)
	other.Apply(own.TakeReports(), start)
	for name, table := range map[string]*Table{"own": own, "other": other} {
		for s := Stream(1); s <= 2; s++ {
			if r, ok := table.Lookup(s, start); ok {
				t.Errorf("%s: stream %d has origin %v", name, s, r.Origin)
			}
			if !table.IsDisputed(s, start) || table.IsDisputed(9, start) {
				t.Errorf("%s: stream %d is not disputed, or an unknown one is", name, s)
			}
		}
	}
}

// Guards against one customer's streams found under another customer's name.
func TestStreamsOfCustomersDiffer(t *testing.T) {
	if NewStream("a", "id") == NewStream("b", "id") || NewStream("a", "bid") == NewStream("ab", "id") {
		t.Error("streams of two customers are one")
	}
}

// Guards against a stream without a record that is taken for the version that serves alone, as
// seen in a view that may be old.
func TestResolveWithoutRecord(t *testing.T) {
	v1, v2 := Versions{Sole: true, Build: "v1"}, Versions{Sole: true, Build: "v2"}
	confirmed := Versions{Sole: true, Build: "v1", Confirmed: true}
	known := Answer{Known: true, Origin: Origin{Service: "s", Build: "v9"}}
	for _, test := range []struct {
		name    string
		own     Versions
		answers Answers
		want    Source
		build   string
	}{
		{"several versions here", Versions{}, Answers{}, Unknown, ""},
		{"one version, confirmed", confirmed, Answers{}, SoleVersion, "v1"},
		{"one version, old view, nobody answers", v1, Answers{}, Unknown, ""},
		{"one version, old view, one old answer", v1, Answers{Received: []Answer{{Versions: v1}}}, Unknown, ""},
		{"one version, old view, one confirmed answer", v1, Answers{Received: []Answer{{Versions: v1}, {Versions: confirmed}}}, SoleVersion, "v1"},
		{"one version, old views everywhere", v1, Answers{Received: []Answer{{Versions: v1}, {Versions: v1}}, Everyone: true}, SoleVersion, "v1"},
		{"another version at another entry", v1, Answers{Received: []Answer{{Versions: v2}}, Everyone: true}, Unknown, ""},
		{"several versions at another entry", v1, Answers{Received: []Answer{{Versions: confirmed}, {}}, Everyone: true}, Unknown, ""},
		{"several versions here, known elsewhere", Versions{}, Answers{Received: []Answer{{}, known}}, Asked, "v9"},
		{"several versions here, one elsewhere", Versions{}, Answers{Received: []Answer{{Versions: confirmed}}, Everyone: true}, Unknown, ""},
	} {
		r, ok := ResolveLocally("s", test.own)
		if !ok {
			r = ResolveAnswers("s", test.own, test.answers)
		}
		if r.Source != test.want || r.Origin.Build != test.build {
			t.Errorf("%s: %+v, want %s %q", test.name, r, test.want, test.build)
		}
	}
}

// Guards against saved records that tell another origin than the table did, or none.
func TestSavedRecordsTellWhatTheTableDid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(start)
		saved := map[Stream]Origin{}
		save := func() {
			records := table.TakeUnsaved()
			if rapid.IntRange(0, 3).Draw(t, "write fails") == 0 {
				table.PutBackUnsaved(records)
				return
			}
			for s, o := range records {
				saved[s] = o
			}
		}
		announced := map[Stream]Origin{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			s := Stream(rapid.IntRange(0, 8).Draw(t, "stream"))
			o := Origin{Service: "s", Build: fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "build"))}
			switch rapid.IntRange(0, 4).Draw(t, "call") {
			case 0:
				if _, begun := table.Lookup(s, start); !begun && !table.IsDisputed(s, start) && table.Save(s, o) {
					announced[s] = o
				}
			case 1:
				table.Record(s, o, announced[s], start)
				delete(announced, s)
			case 2:
				table.Record(s, Disputed, announced[s], start)
				delete(announced, s)
			case 3:
				save()
			default:
				table.SaveServices([]string{"s"})
			}
		}
		table.SaveServices([]string{"s"})
		for records := table.TakeUnsaved(); len(records) > 0; records = table.TakeUnsaved() {
			for s, o := range records {
				saved[s] = o
			}
		}
		checkRestored(t, table, saved)
	})
}

// checkRestored holds a table that has read the saved records against the one that saved them.
func checkRestored(t *rapid.T, table *Table, saved map[Stream]Origin) {
	restored := NewTable(start)
	for s, o := range saved {
		restored.ApplyStored([]Report{{Origin: o, Streams: []Stream{s}}}, start)
	}
	for s := Stream(0); s <= 8; s++ {
		before, known := table.Lookup(s, start)
		after, ok := restored.Lookup(s, start)
		if known && (!ok || after.Origin != before.Origin || after.Source != Stored) {
			t.Fatalf("stream %d has origin %+v, and %+v of the records", s, before, after)
		}
		if table.IsDisputed(s, start) && ok {
			t.Fatalf("stream %d is disputed, and has origin %+v of the records", s, after)
		}
	}
}
