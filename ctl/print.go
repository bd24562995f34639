package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"reflect"
	"slices"
	"text/tabwriter"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"acaciakeel/operator"
	"acaciakeel/resource"
)

const outputJSON = "json"

func newChangeID() string {
	return uuid.NewString()
}

// sameSpec reports whether two specs are equal after decoding.
func sameSpec(kind resource.Kind, a, b json.RawMessage) bool {
	left, err := resource.DecodeSpec(kind, a)
	if err != nil {
		return false
	}
	right, err := resource.DecodeSpec(kind, b)
	if err != nil {
		return false
	}
	if have, ok := left.(resource.Model); ok && right.(resource.Model).PreviousVersion == "" {
		// Entries set this field; a manifest may omit it.
		have.PreviousVersion = ""
		left = have
	}
	return reflect.DeepEqual(left, right)
}

func (a *app) printJSON(v any) error {
	encoder := json.NewEncoder(a.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

func (a *app) table(rows func(w *tabwriter.Writer)) error {
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	rows(w)
	return w.Flush()
}

func (a *app) printResources(c *cli.Command, items []resource.Resource) error {
	if c.String("output") == outputJSON {
		return a.printJSON(items)
	}
	return a.table(func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "KIND\tNAME\tVERSION\tCHANGED\tAUTHOR\tSPEC")
		for _, r := range items {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\n",
				r.Kind, r.Name, r.Version, r.Changed.Format("2006-01-02 15:04:05"), r.Author, compact(r.Spec))
		}
	})
}

func compact(raw json.RawMessage) string {
	var b bytes.Buffer
	if json.Compact(&b, raw) != nil {
		return string(raw)
	}
	return b.String()
}

func (a *app) printDelta(d resource.Delta) {
	for _, r := range d.Changed {
		fmt.Fprintf(a.out, "revision=%d set %s %s version=%d author=%s\n", d.Revision, r.Kind, r.Name, r.Version, r.Author)
	}
	for _, deletion := range d.Deleted {
		fmt.Fprintf(a.out, "revision=%d deleted %s\n", d.Revision, deletion.Key)
	}
}

func (a *app) printStatus(c *cli.Command, s operator.Status) error {
	if c.String("output") == outputJSON {
		return a.printJSON(s)
	}
	return a.table(func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "entry %s, revision %d, in force at %d of %d processes\n",
			s.Entry, s.Revision, len(s.InForce)-len(behind(s, s.Revision)), len(s.InForce))
		for _, name := range behind(s, s.Revision) {
			fmt.Fprintf(w, "behind: %s at %d\n", name, s.InForce[name])
		}
		printRestored(w, s)
		fmt.Fprintln(w, "\nTARGET\tSERVES\tDATA CENTRE\tSTATE\tLEAVING\tINFLIGHT")
		for _, t := range s.Targets {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%d\n", t.Name, t.Serves, t.DataCentre, t.State, t.Leaving, t.Inflight)
		}
	})
}

// behind returns the sorted names of the processes that have not reached the revision.
func behind(s operator.Status, revision int64) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(s.InForce)) {
		if s.InForce[name] < revision {
			names = append(names, name)
		}
	}
	return names
}

// printRestored says what an operator has to do after the platform's service was restored.
func printRestored(w io.Writer, s operator.Status) {
	if s.History == 0 {
		return
	}
	fmt.Fprintf(w, "the platform's service was restored from an older copy (history %d), noticed %s\n",
		s.History, s.ReplacedAt.Format("2006-01-02 15:04:05"))
	for _, key := range s.Unsaved {
		fmt.Fprintf(w, "in force, lost by the service: %s; apply it again, or delete it\n", key)
	}
	for _, key := range s.Withheld {
		fmt.Fprintf(w, "deleted, back in the service and withheld: %s; delete it again, or apply it\n", key)
	}
}
