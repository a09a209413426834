package core

import (
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// HostID identifies one run of an entry host's process.
type HostID string

// Zone is the name of an availability zone.
type Zone string

// MemberID identifies an endpoint within its database group.
type MemberID string

// Nonce distinguishes promotion attempts for the same term.
type Nonce string

// Role is the replication role that an endpoint reports.
type Role string

// The roles of an endpoint.
const (
	Replica Role = "replica"
	Primary Role = "primary"
)

// Member is one endpoint of a database group.
type Member struct {
	ID      MemberID `json:"id" cbor:"1,keyasint"`
	Zone    Zone     `json:"zone" cbor:"2,keyasint"`
	Address string   `json:"address" cbor:"3,keyasint"`
}

// MemberStatus is an endpoint's report of its replication state.
type MemberStatus struct {
	// Fenced is the highest term that the endpoint was fenced at or has followed.
	Fenced session.Term `json:"fenced"`
	// Last is the last entry in the endpoint's log.
	Last session.Point `json:"last"`
	// Prev is the last entry before the first entry of Last.Term.
	Prev session.Point `json:"prev"`
	// Applied is the position up to which reads on this endpoint see the log.
	Applied session.Position `json:"applied"`
	Role    Role             `json:"role"`
	// Follows is the term whose primary the endpoint replicates from.
	Follows session.Term `json:"follows"`
	// SilenceMS is the time since a replica last heard from its primary, in ms.
	SilenceMS int64 `json:"silence_ms"`
	// Leaving is true if the platform is about to take the endpoint away.
	Leaving bool `json:"leaving"`
}

// isUnfencedPrimary reports whether the endpoint is a primary that has not been
// fenced at a later term than its own.
func (s MemberStatus) isUnfencedPrimary() bool {
	return s.Role == Primary && s.Last.Term == s.Fenced
}

// Satisfies reports whether reads on an endpoint with status s see the log up to
// need. If the endpoint's term is later than need's, entries of need's term after
// the start of the endpoint's term were discarded and are not required.
func (s MemberStatus) Satisfies(need session.Point) bool {
	if s.Last.Term < need.Term {
		return false
	}
	p := need.Position
	if s.Last.Term > need.Term {
		p = min(p, s.Prev.Position)
	}
	return s.Applied >= p
}

// memberView is what this entry host knows about one endpoint.
type memberView struct {
	status    MemberStatus
	hasStatus bool
	// heardAt is when a report from the endpoint last arrived, or the time of a later
	// resetTimers.
	heardAt time.Time
	// requestSentAt is the send time of the latest status request that was
	// answered. The status was current at some moment after it.
	requestSentAt time.Time
	// lostAt is when the connection was lost, or zero while it is up.
	lostAt time.Time
	// lagTarget is the position of an entry that the endpoint had received but not
	// applied at lagSince, or 0. lastLag is how long the previous such entry took
	// to be applied.
	lagTarget session.Position
	lagSince  time.Time
	lastLag   time.Duration
	// followSentAt is when SendFollow was last emitted for the endpoint.
	followSentAt time.Time
}

// measureApplyLag updates the measured time that the endpoint takes to apply the
// entries it has received.
func (v *memberView) measureApplyLag(now time.Time) {
	s := v.status
	if v.lagTarget > 0 && s.Applied >= v.lagTarget {
		v.lastLag = now.Sub(v.lagSince)
		v.lagTarget = 0
	}
	if v.lagTarget == 0 && s.Applied < s.Last.Position {
		v.lagTarget, v.lagSince = s.Last.Position, now
	}
}

// estimateApplyLag returns the last measured apply lag, or the time that the
// current measurement has taken so far if that is longer.
func (v *memberView) estimateApplyLag(now time.Time) time.Duration {
	if v.lagTarget > 0 {
		return max(v.lastLag, now.Sub(v.lagSince))
	}
	return v.lastLag
}

// heardWithin reports whether the endpoint is connected and sent a report within d.
func (v *memberView) heardWithin(now time.Time, d time.Duration) bool {
	return v.hasStatus && v.lostAt.IsZero() && now.Sub(v.heardAt) < d
}
