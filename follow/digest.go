package follow

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"

	"acaciakeel/store"
)

// maxDigestPoints is for how many of the latest changes the digest of the view is kept. A peer's
// position is compared with the view if it is that close: peers are a second apart at most.
const maxDigestPoints = 1024

// viewDigest is a hash over all keys of a view with their revisions and values. Two processes with
// the same digest at one revision have the same keys of the same history, which a revision alone
// does not show: the store gives revisions out again when it comes back from an older copy.
type viewDigest struct {
	entries map[string]entryDigest
	// sum is the sum of the entries' hashes, so that it does not depend on their order.
	sum uint64
	// points are the digests after the latest changes, and after the listing, by revision.
	points []digestPoint
	// from is the first revision with a digest: a listing of several pages is complete only
	// with the changes that were made meanwhile.
	from int64
}

type entryDigest struct {
	revision int64
	hash     uint64
}

type digestPoint struct {
	revision int64
	sum      uint64
}

func hashEntry(e store.Entry) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(e.Key)
	var revision [1 + 8]byte // the first byte ends the key
	binary.LittleEndian.PutUint64(revision[1:], uint64(e.Revision.Revision()))
	_, _ = h.Write(revision[:])
	_, _ = h.Write(e.Value)
	return h.Sum64()
}

// reset replaces the view by a listing.
func (d *viewDigest) reset(l store.Listing, included func(key string) bool) {
	d.entries, d.sum = map[string]entryDigest{}, 0
	for _, e := range l.Entries {
		if e.Key != "" && included(e.Key) {
			d.put(e)
		}
	}
	d.points = []digestPoint{{revision: l.Revision.Revision(), sum: d.sum}}
	d.from = max(l.Revision, l.Through).Revision()
}

func (d *viewDigest) put(e store.Entry) {
	next := entryDigest{revision: e.Revision.Revision(), hash: hashEntry(e)}
	d.sum += next.hash - d.entries[e.Key].hash
	d.entries[e.Key] = next
}

// apply applies a change. One that the view has already changes nothing.
func (d *viewDigest) apply(e store.Event, included func(key string) bool) {
	revision := e.Revision.Revision()
	if known, ok := d.entries[e.Key]; e.Key != "" && included(e.Key) && (!ok || known.revision < revision) {
		if e.Deleted {
			d.sum -= known.hash
			delete(d.entries, e.Key)
		} else {
			d.put(e.Entry)
		}
	}
	switch last := &d.points[len(d.points)-1]; {
	case last.revision == revision:
		last.sum = d.sum
	case last.revision < revision:
		d.points = append(d.points, digestPoint{revision: revision, sum: d.sum})
	}
	if len(d.points) > 2*maxDigestPoints {
		d.points = append([]digestPoint{}, d.points[maxDigestPoints:]...)
	}
}

// latest returns the revision of the latest change that the digest has.
func (d *viewDigest) latest() int64 { return d.points[len(d.points)-1].revision }

// at returns the digest of the view at a revision up to which it has all changes, never 0; ok is false if it
// is not known any more, or not yet.
func (d *viewDigest) at(revision int64) (sum uint64, ok bool) {
	next := sort.Search(len(d.points), func(i int) bool { return d.points[i].revision > revision })
	if next == 0 || revision < d.from {
		return 0, false
	}
	return max(d.points[next-1].sum, 1), true
}

// contradicts reports whether a listing can't be a later state of the same history: a key has an
// older revision than the view, or another content at the same one.
func (d *viewDigest) contradicts(l store.Listing) bool {
	for _, e := range l.Entries {
		known, ok := d.entries[e.Key]
		if !ok {
			continue
		}
		if revision := e.Revision.Revision(); revision < known.revision || revision == known.revision && hashEntry(e) != known.hash {
			return true
		}
	}
	return false
}
