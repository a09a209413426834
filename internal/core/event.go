package core

import (
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// Event is something that happened outside the core.
type Event interface{ event() }

// StatusReceived carries an endpoint's report. SentAt is when the question
// was sent that it answers, or zero for a report that was not asked for.
type StatusReceived struct {
	Member MemberID
	Status MemberStatus
	SentAt time.Time
}

// MemberLost says that the connection to an endpoint broke or was refused.
type MemberLost struct{ Member MemberID }

// PeerObserved carries what another entry host sees of the group.
type PeerObserved struct {
	Host HostID
	View PeerView
}

// PeerView is one entry host's view of a database group's primary.
type PeerView struct {
	Term session.Term
	// HeardAge is the time since the host last heard that primary.
	HeardAge time.Duration
	// Reaches is true when the host hears a majority of the members.
	Reaches bool
}

// FenceAnswered is an endpoint's answer to SendFence.
type FenceAnswered struct {
	Member MemberID
	Term   session.Term
	Nonce  Nonce
	OK     bool
	Status MemberStatus
}

// PromoteAnswered is an endpoint's answer to SendPromote.
type PromoteAnswered struct {
	Member MemberID
	Term   session.Term
	Nonce  Nonce
	OK     bool
	Status MemberStatus
}

// PointSeen says that an answer of a member showed its log up to a point.
type PointSeen struct {
	Member MemberID
	Point  session.Point
}

// Tick passes time.
type Tick struct{}

func (StatusReceived) event()  {}
func (MemberLost) event()      {}
func (PeerObserved) event()    {}
func (FenceAnswered) event()   {}
func (PromoteAnswered) event() {}
func (PointSeen) event()       {}
func (Tick) event()            {}

// Action is something that the entry host is to do.
type Action interface{ action() }

// SendFence asks an endpoint to take no more writes and no more log of terms
// below Term. An endpoint accepts one nonce a term.
type SendFence struct {
	Member MemberID
	Term   session.Term
	Nonce  Nonce
}

// SendPromote asks an endpoint that is fenced at Term to lead it.
type SendPromote struct {
	Member MemberID
	Term   session.Term
	Nonce  Nonce
}

// SendFollow tells an endpoint which primary to take entries from.
type SendFollow struct {
	Member  MemberID
	Term    session.Term
	Primary MemberID
}

// Announce says that Primary leads Term. Cause is set by the host that
// promoted it and empty on the others.
type Announce struct {
	Term    session.Term
	Primary MemberID
	Cause   Cause
}

func (SendFence) action()   {}
func (SendPromote) action() {}
func (SendFollow) action()  {}
func (Announce) action()    {}
