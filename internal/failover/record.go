package failover

import (
	"context"
	"errors"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/internal/revision"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// ErrConflict is returned by Store.Write if a record has changed since it was read.
var ErrConflict = errors.New("record has changed since it was read")

// Lease is the promotion lease: only its holder may promote, in any group.
type Lease struct {
	Holder string
	// Token is the fencing token, which increases with each new holder.
	Token uint64
	// Until is the end of the lease on the store's clock.
	Until time.Duration
	// Era and Version are the revision of the record.
	Era     revision.Era
	Version revision.Version
}

// UnreadableLease returns a lease whose record could not be read, first at the time since on
// the store's clock. Nothing tells who holds it, so it counts as held for the longest time that
// any holder could have it from then on.
func UnreadableLease(at revision.Revision, since time.Duration) Lease {
	return Lease{Holder: "unreadable", Until: since + leaseTime, Era: at.Era, Version: at.Version}
}

func (l Lease) revision() revision.Revision {
	return revision.Revision{Era: l.Era, Version: l.Version}
}

// nextToken returns the fencing token for the next holder of the lease, above the last one.
// It does not rely on the last token alone, which the store may have lost: the state that
// the lease was read in is newer than that of each earlier claim, which wrote to the store.
func nextToken(last uint64, read revision.Revision) uint64 {
	return max(last+1, read.Pack())
}

// EraOpening records that no lease from before an era is in force any more, and which
// primaries led then.
type EraOpening struct {
	// Version is the version of the record, 0 if the era is not open.
	Version revision.Version
	// Unreadable is set if the record cannot be read; the era is not open then.
	Unreadable bool
	// Terms has the term of each group whose members all reported it, and Primaries which of them
	// led. A row of an earlier release has no primaries.
	Terms     map[session.Group]session.Term
	Primaries map[session.Group]replicaset.EndpointID
}

// State is the lease and the leads as recorded in the store.
type State struct {
	Lease Lease
	Leads map[session.Group]replicaset.Lead
	// Unreadable has the groups whose lead cannot be read. Leads has only its revision then.
	Unreadable map[session.Group]bool
	// Memberships has the membership record of each group.
	Memberships map[session.Group]replicaset.Membership
	// Whole is set if the state has all records, not only those that have changed.
	Whole bool
	// Revision is the state of the store that was read.
	Revision revision.Revision
	// Openings has the recorded opening of each era. Earlier eras than that of Revision
	// come from a copy.
	Openings map[revision.Era]EraOpening
	// Now is the store's clock at the time of the read.
	Now time.Duration
}

// opening returns the opening of the era that was read.
func (s State) opening() EraOpening {
	if o := s.Openings[s.Revision.Era]; !o.Unreadable {
		return o
	}
	return EraOpening{}
}

// Confirmed returns the lead of a group, provided that the record proves who leads: no
// promotion from before the store came back from a copy can be missing in it. The lead of a
// group without a record has only the term.
func (s State) Confirmed(g session.Group) (replicaset.Lead, bool) {
	opening, lead := s.opening(), s.Leads[g]
	if opening.Version == 0 {
		return lead, false
	}
	if lead.Version > opening.Version {
		return lead, true
	}
	term, ok := opening.Terms[g]
	if lead.Version == 0 {
		lead.Term = term
	}
	return lead, ok && lead.Term == term
}

// Change replaces a group's lead and, unless KeepLease is set, the lease. It applies only if
// the records that it replaces still have the versions given in it, in the era that they
// were read in.
type Change struct {
	// Read is the state that the change is based on.
	Read      State
	Lease     Lease
	KeepLease bool
	// SameMembership makes it a condition that the group's membership record is as read.
	SameMembership bool
	Group          session.Group
	Lead           replicaset.Lead
}

// Store holds the operations of a Manager on the platform's store. They are safe for
// concurrent use.
type Store struct {
	// Read also updates the members of all groups.
	Read func(ctx context.Context) (State, error)
	// Write returns the revision of what it wrote, or ErrConflict. It fails if the opening
	// of the era is not as read, or if the store is in another era by then.
	Write func(ctx context.Context, c Change) (revision.Revision, error)
	// OpenEra records the opening of the era of a state, unless it is recorded already,
	// and deletes the openings of earlier eras.
	OpenEra func(ctx context.Context, read State, opening EraOpening) error
	// WriteMembership returns the revision of the record, or ErrConflict. It fails as Write
	// does.
	WriteMembership func(ctx context.Context, c MembershipChange) (revision.Revision, error)
}
