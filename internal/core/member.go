package core

import (
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// HostID names one run of an entry host.
type HostID string

// Zone names an availability zone.
type Zone string

// MemberID names an endpoint that is a member of a database group.
type MemberID string

// Nonce tells two promotion attempts for the same term apart.
type Nonce string

// Role is what an endpoint takes itself to be.
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

// MemberStatus is what an endpoint reports of itself.
type MemberStatus struct {
	// Fenced is the highest term that the endpoint was fenced at or follows.
	Fenced session.Term `json:"fenced"`
	// Last is the last entry in the endpoint's log.
	Last session.Point `json:"last"`
	// Prev is the last entry before the first entry of Last.Term.
	Prev session.Point `json:"prev"`
	// Applied is the position that reads on this endpoint see.
	Applied session.Position `json:"applied"`
	Role    Role             `json:"role"`
	// Follows is the term whose primary the endpoint takes entries from.
	Follows session.Term `json:"follows"`
	// SilenceMS is the time since a replica last heard its primary, in ms.
	SilenceMS int64 `json:"silence_ms"`
	Leaving   bool  `json:"leaving"`
}

// leads reports whether the endpoint still takes itself for the primary of
// the term that it was last fenced at.
func (s MemberStatus) leads() bool {
	return s.Role == Primary && s.Last.Term == s.Fenced
}

// Satisfies reports whether reads on an endpoint with status s see the log up
// to need. Positions of an earlier term that lie above the start of the
// endpoint's term no longer exist and are not waited for.
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

// memberView is what this entry host knows of one endpoint.
type memberView struct {
	status MemberStatus
	known  bool
	// heardAt is when any report of the endpoint last arrived.
	heardAt time.Time
	// askedAt is when the question was sent whose answer came last. The
	// status was true at some moment after it.
	askedAt time.Time
	// lostAt is when the connection was lost, or zero.
	lostAt time.Time
	// behind is an entry that the endpoint held and had not applied at
	// behindAt; lag is the time that it last took to apply such an entry.
	behind   session.Position
	behindAt time.Time
	lag      time.Duration
	// followSentAt limits how often the endpoint is told whom to follow.
	followSentAt time.Time
}

// noteLag measures how long the endpoint takes to apply what it holds.
func (v *memberView) noteLag(now time.Time) {
	s := v.status
	if v.behind > 0 && s.Applied >= v.behind {
		v.lag = now.Sub(v.behindAt)
		v.behind = 0
	}
	if v.behind == 0 && s.Applied < s.Last.Position {
		v.behind, v.behindAt = s.Last.Position, now
	}
}

// applyLag estimates how long an entry takes to be applied now.
func (v *memberView) applyLag(now time.Time) time.Duration {
	if v.behind > 0 {
		return max(v.lag, now.Sub(v.behindAt))
	}
	return v.lag
}

func (v *memberView) heardWithin(now time.Time, d time.Duration) bool {
	return v.known && v.lostAt.IsZero() && now.Sub(v.heardAt) < d
}
