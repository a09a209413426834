package replicaset

import (
	"fmt"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/revision"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// EndpointID identifies one endpoint. It stays the same across restarts, which
// Member.Started tells apart.
type EndpointID string

// Instant is the time since the host booted, including the time for which it was suspended.
type Instant time.Duration

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration i-j.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Role is the role that an endpoint reports.
type Role uint8

// The roles of endpoints.
const (
	Unknown Role = iota
	Primary
	Replica
)

// String returns the name of the role.
func (r Role) String() string {
	if !r.Valid() {
		return "invalid"
	}
	return [...]string{"unknown", "primary", "replica"}[r]
}

// Valid reports whether the role is one of the defined roles.
func (r Role) Valid() bool { return r <= Replica }

// Member is one registered endpoint of a group.
type Member struct {
	ID      EndpointID
	Group   session.Group
	Address string
	Zone    string
	Role    Role
	// Draining is set before the endpoint shuts down. It gets no new work if another member
	// can do it.
	Draining bool
	// Slots is the number of statements that the endpoint runs concurrently.
	Slots int
	// Started is when the endpoint started, in Unix ms. It changes with each restart.
	Started int64
}

// Status is an endpoint's report about itself.
type Status struct {
	Role     Role
	Term     session.Term
	Received session.Point
	// PausedTerm is the term for which the replica was paused, or 0. While it is above
	// Term, the replica receives no log.
	PausedTerm session.Term
	// Lag is the replication lag: how far the data that the replica serves is behind its
	// primary.
	Lag         time.Duration
	Busy        int
	Connections int
	Started     int64
}

// Paused reports whether the replica receives no log because a switch has paused it.
func (s Status) Paused() bool { return s.PausedTerm > s.Term }

// Follows reports whether it is the status of a replica that follows the primary of a term and is
// not paused.
func (s Status) Follows(term session.Term) bool {
	return s.Role == Replica && !s.Paused() && s.Term == term
}

// Lead is the primary of a group as recorded in the store or, while nothing is recorded, as
// the members report it.
type Lead struct {
	ID   EndpointID
	Term session.Term
	// Switching is set from the start of a promotion to its end. Meanwhile nothing that the
	// old primary does is acknowledged.
	Switching bool
	// Token is the fencing token of the last promotion.
	Token uint64
	// Holder is the host that runs the promotion. Another host may take over once Until, on
	// the store's clock, has passed.
	Holder string
	Until  time.Duration
	// TakenOver is set if the promotion was started while an earlier one had not ended. A
	// member that was promoted may then be the result of either.
	TakenOver bool
	// PauseTerm is the lowest term that no switch of the group has paused replicas for. A pause
	// that arrives late is told from that of a later switch by its term.
	PauseTerm session.Term
	// StopPoint is an upper bound of the commits that were acknowledged before the switch: the
	// highest position of a replica when no host could acknowledge any more. It is zero until one
	// is known.
	StopPoint session.Point
	// Era and Version are the revision of the record in the store, zero if there is none.
	Era     revision.Era
	Version revision.Version
}

// Revision returns the revision of the record in the store.
func (l Lead) Revision() revision.Revision {
	return revision.Revision{Era: l.Era, Version: l.Version}
}

// outlasts reports whether l, known from an earlier era of the store, is later than a
// record of a new era, which may come from a copy: a promotion has followed the record,
// or has at least begun.
func (l Lead) outlasts(record Lead) bool {
	return l.Term > record.Term || l.Term == record.Term && l.Switching && !record.Switching
}

// String formats the fields that matter to failover and proofs.
func (s Status) String() string {
	return fmt.Sprintf("%s, term %d, paused for term %d, at %s, lag %s", s.Role, s.Term, s.PausedTerm, s.Received, s.Lag)
}
