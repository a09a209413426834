package core

import (
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// Event is an input to Group.Step.
type Event interface{ event() }

// StatusReceived carries an endpoint's status report. SentAt is when the request
// that it answers was sent, or zero for an unsolicited report.
type StatusReceived struct {
	Member MemberID
	Status MemberStatus
	SentAt time.Time
}

// MemberLost reports that the connection to an endpoint broke or was refused.
type MemberLost struct{ Member MemberID }

// PeerViewReceived carries another entry host's view of the group.
type PeerViewReceived struct {
	Host HostID
	View PeerView
}

// PeerView is one entry host's view of a database group's primary.
type PeerView struct {
	Term session.Term
	// PrimarySilence is the time since the host last heard from that primary.
	PrimarySilence time.Duration
	// ReachesMajority is true if the host hears from a majority of the members.
	ReachesMajority bool
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

// PointReported means that a response from a member showed that its log reaches
// Point.
type PointReported struct {
	Member MemberID
	Point  session.Point
}

// Tick triggers the checks that depend on elapsed time.
type Tick struct{}

func (StatusReceived) event()   {}
func (MemberLost) event()       {}
func (PeerViewReceived) event() {}
func (FenceAnswered) event()    {}
func (PromoteAnswered) event()  {}
func (PointReported) event()    {}
func (Tick) event()             {}

// Action is an output of Group.Step that the entry host has to execute.
type Action interface{ action() }

// SendFence asks an endpoint to reject writes and replicated log entries of terms
// below Term. An endpoint accepts only one nonce per term, so that only one of
// several competing promotion attempts can fence it.
type SendFence struct {
	Member MemberID
	Term   session.Term
	Nonce  Nonce
}

// SendPromote asks an endpoint that is fenced at Term to become its primary.
type SendPromote struct {
	Member MemberID
	Term   session.Term
	Nonce  Nonce
}

// SendFollow tells an endpoint which primary to replicate from.
type SendFollow struct {
	Member  MemberID
	Term    session.Term
	Primary MemberID
}

// Announce reports that Primary is the primary of Term. Cause is set only on the
// host that promoted it.
type Announce struct {
	Term    session.Term
	Primary MemberID
	Cause   Cause
}

func (SendFence) action()   {}
func (SendPromote) action() {}
func (SendFollow) action()  {}
func (Announce) action()    {}
