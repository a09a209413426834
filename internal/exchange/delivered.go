package exchange

import (
	"hash/maphash"

	"github.com/cumintrestle/cumintrestle/internal/engine"
)

// maxDigests is how many digests of a connection are remembered. A connection that has delivered as
// many serves its present user to the end.
const maxDigests = 4096

// delivered is what a connection has delivered so far.
type delivered struct {
	digests digests
	codes   [256]bool
	// plain and status tell whether a success without rows, and one with rows, came without a
	// digest.
	plain, status bool
}

// note records an answer.
func (d *delivered) note(a Answer) {
	switch {
	case a.Greeting:
	case a.Code != engine.Done:
		d.codes[a.Code] = true
	case a.Digest != "":
		d.digests.add(a.Digest)
	case len(a.Rows) > 0:
		d.status = true
	default:
		d.plain = true
	}
}

// couldBeCopy reports whether an answer may be a copy of one that came before.
func (d *delivered) couldBeCopy(a Answer) bool {
	switch {
	case a.Greeting:
		return true
	case a.Code != engine.Done:
		return d.codes[a.Code]
	case a.Digest != "":
		return d.digests.has(a.Digest)
	case len(a.Rows) > 0:
		return d.status
	}
	return d.plain
}

var digestSeed = maphash.MakeSeed()

// digests is the set of the last digests, by their hash.
type digests struct {
	known map[uint64]struct{}
	// order is a ring of the same hashes, next the index of the oldest once it is full.
	order []uint64
	next  int
}

// full reports whether the next digest takes the place of the oldest.
func (d *digests) full() bool { return len(d.order) == maxDigests }

func (d *digests) has(digest string) bool {
	_, ok := d.known[maphash.String(digestSeed, digest)]
	return ok
}

func (d *digests) add(digest string) {
	h := maphash.String(digestSeed, digest)
	if _, ok := d.known[h]; ok {
		return
	}
	if d.known == nil {
		d.known = make(map[uint64]struct{})
	}
	d.known[h] = struct{}{}
	if len(d.order) < maxDigests {
		d.order = append(d.order, h)
		return
	}
	delete(d.known, d.order[d.next])
	d.order[d.next] = h
	d.next = (d.next + 1) % maxDigests
}
