package exchange

import (
	"hash/maphash"

	"github.com/cumintrestle/cumintrestle/internal/engine"
)

// maxDigests is how many digests of a connection are remembered. A connection that has delivered as
// many serves its present user to the end.
const maxDigests = 2048

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

// digests is a set of digests, by their hash.
type digests map[uint64]struct{}

// full reports whether the connection has delivered as many digests as are remembered.
func (d digests) full() bool { return len(d) >= maxDigests }

func (d digests) has(digest string) bool {
	_, ok := d[maphash.String(digestSeed, digest)]
	return ok
}

// add remembers a digest. A transaction that is open when the set is full may have some more.
func (d *digests) add(digest string) {
	if *d == nil {
		*d = make(digests)
	}
	if len(*d) < 2*maxDigests {
		(*d)[maphash.String(digestSeed, digest)] = struct{}{}
	}
}
