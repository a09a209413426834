package replicaset

import (
	"fmt"
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// EndpointID identifies one endpoint for as long as it keeps its log.
type EndpointID string

// Instant is a time since the host booted, suspended time included.
type Instant time.Duration

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time between two instants.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Role is what an endpoint says that it is.
type Role uint8

// The roles of endpoints.
const (
	Unknown Role = iota
	Primary
	Replica
)

// String names the role.
func (r Role) String() string {
	if !r.Valid() {
		return "invalid"
	}
	return [...]string{"unknown", "primary", "replica"}[r]
}

// Valid reports whether the role is one of those above.
func (r Role) Valid() bool { return r <= Replica }

// Member is one registered endpoint of a group.
type Member struct {
	ID      EndpointID
	Group   session.Group
	Address string
	Zone    string
	Role    Role
	// Draining members get no new work and leave soon.
	Draining bool
	// Slots is how many statements the endpoint runs at once.
	Slots int
	// Started is the start of the endpoint in Unix ms; a restart changes it.
	Started int64
}

// Status is an endpoint's own report.
type Status struct {
	Role     Role
	Term     session.Term
	Received session.Point
	// Held is the term for which the replica stopped receiving, or 0.
	Held session.Term
	// Lag is how long ago the replica's log was that of its primary.
	Lag         time.Duration
	Busy        int
	Connections int
	Started     int64
}

// Lead is the recorded leadership of a group.
type Lead struct {
	ID   EndpointID
	Term session.Term
	// Switching is set from the start of a promotion to its end: nothing that
	// the old primary does is acknowledged.
	Switching bool
	// Token is the fencing token of the last promotion.
	Token uint64
	// Holder is the host that switches, and Until when it is given up on, on the
	// store's clock.
	Holder string
	Until  time.Duration
	// Version is the version of the record, 0 without one.
	Version uint64
}

// String shows what decisions look at.
func (s Status) String() string {
	return fmt.Sprintf("%s term %d held %d at %s lag %s", s.Role, s.Term, s.Held, s.Received, s.Lag)
}
