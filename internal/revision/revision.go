// Package revision orders the states of the platform's store.
//
// The store numbers its transactions with versions. When it comes back from a copy, what
// it acknowledged after the copy was made is gone, versions continue from that of the copy
// and are given out again, and a new era begins. A version therefore says which of two
// states is newer only within one era. Everything that is kept from the store, or written
// to it under a condition, is ordered by Revision instead.
//
// A row of the first state seen in a new era may be older than a row known from an
// earlier era, because it comes from the copy. Whoever keeps such rows compares them by
// the order of their writer as well: the operators' number of a configuration, the start
// and sequence number of an endpoint, the term of a primary.
//
// # Usage
//
//	known := revision.Revision{Era: 1, Version: 40}
//	read := revision.Revision{Era: 2, Version: 17}
//	newer := known.Less(read) // true
package revision

import (
	"fmt"
	"strconv"
)

// EraHeader is the header of the store's responses that tells the era.
const EraHeader = "Store-Era"

// Era counts how often the store has come back from a copy.
type Era uint64

// ParseEra returns the era of a header's value. A store that has never come back from a copy
// may leave the header out.
func ParseEra(value string) (Era, error) {
	if value == "" {
		return 0, nil
	}
	era, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("header %s: %w", EraHeader, err)
	}
	return Era(era), nil
}

// Version numbers the transactions of one era. It increases with each of them.
type Version uint64

// Revision is a state of the store, or the state in which a row was last written. The zero
// Revision is before all others.
type Revision struct {
	_       struct{} `cbor:",toarray"`
	Era     Era
	Version Version
}

// Less reports whether r is before o.
func (r Revision) Less(o Revision) bool {
	if r.Era != o.Era {
		return r.Era < o.Era
	}
	return r.Version < o.Version
}

// versionBits is the number of bits of a packed revision below the era. A store that runs
// 400 transactions a second needs 87 years to fill them.
const versionBits = 40

// Pack returns a number that orders revisions as Less does, for messages and records that
// hold a single number. Without an era it is the version.
func (r Revision) Pack() uint64 { return uint64(r.Era)<<versionBits + uint64(r.Version) }

// Unpack returns the revision of a packed number.
func Unpack(n uint64) Revision {
	return Revision{Era: Era(n >> versionBits), Version: Version(n & (1<<versionBits - 1))}
}

// IsZero reports whether r is the zero Revision.
func (r Revision) IsZero() bool { return r == Revision{} }
