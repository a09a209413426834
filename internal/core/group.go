package core

import (
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// Group is the state of one database group as one entry host knows it. The exported
// fields must be set before the first Step. A Group is not safe for concurrent use.
type Group struct {
	Name     session.Group
	Self     HostID
	Members  []Member
	Timing   Timing
	NewNonce func() Nonce

	// AckRule returns the highest position of term t that no promotion can lose,
	// given the members' last entries; nil means the highest that a majority has.
	AckRule func(last []session.Point, t session.Term, majority int) session.Position
	// LessPreferred reports whether a member with status a is a worse candidate for
	// promotion than one with status b; nil compares their last entries.
	LessPreferred func(a, b MemberStatus) bool
	// FenceQuorum is the number of fenced members that a promotion needs; 0 means
	// a majority.
	FenceQuorum int
	// FreshnessRule replaces the check in FreshEnough if it is not nil.
	FreshnessRule func(now time.Time, s MemberStatus, maxAge time.Duration) bool

	views          []memberView
	term           session.Term
	primary        int
	highestTerm    session.Term // highest term of any report or attempt
	acked          session.Point
	termStarts     []termStart
	confirmations  []confirmation
	peers          []peerObservation
	attempt        *attempt
	retryAt        time.Time
	attemptCount   int
	noPrimarySince time.Time
	leavingSince   time.Time
	isolatedSince  time.Time
	suspectedSince time.Time
	lastStep       time.Time
	actions        []Action
}

// peerObservation is the last view received from a peer host and its arrival time.
type peerObservation struct {
	host HostID
	at   time.Time
	view PeerView
}

// Step processes one event and returns the resulting actions.
func (g *Group) Step(now time.Time, e Event) []Action {
	g.actions = nil
	g.prepareStep(now)
	switch e := e.(type) {
	case StatusReceived:
		g.handleStatusReceived(now, e)
	case MemberLost:
		g.handleMemberLost(now, e.Member)
	case PeerViewReceived:
		g.handlePeerObserved(now, e)
	case FenceAnswered:
		g.handleFenceAnswered(now, e)
	case PromoteAnswered:
		g.handlePromoteAnswered(now, e)
	case PointReported:
		g.handlePointSeen(e)
	case Tick:
		g.handleTick(now)
	}
	return g.actions
}

// prepareStep sets defaults on the first step and detects pauses of this host.
func (g *Group) prepareStep(now time.Time) {
	if g.views == nil {
		g.views = make([]memberView, len(g.Members))
		g.primary = -1
		g.noPrimarySince = now
		g.lastStep = now
	}
	if g.AckRule == nil {
		g.AckRule = ackedPosition
	}
	if g.LessPreferred == nil {
		g.LessPreferred = func(a, b MemberStatus) bool { return a.Last.Less(b.Last) }
	}
	if now.Sub(g.lastStep) > g.Timing.PauseThreshold {
		g.resetTimers(now)
	}
	if now.After(g.lastStep) {
		g.lastStep = now
	}
}

// resetTimers restarts all failure-detection timers after a pause of this host's
// own process: messages missed meanwhile say nothing about the members.
func (g *Group) resetTimers(now time.Time) {
	for i := range g.views {
		g.views[i].heardAt = now
		g.views[i].lostAt = time.Time{}
	}
	g.peers = nil
	g.attempt = nil
	g.noPrimarySince = now
	g.isolatedSince = time.Time{}
	g.suspectedSince = time.Time{}
	g.leavingSince = time.Time{}
}

func (g *Group) majority() int { return len(g.Members)/2 + 1 }

func (g *Group) memberIndex(id MemberID) int {
	for i := range g.Members {
		if g.Members[i].ID == id {
			return i
		}
	}
	return -1
}

func (g *Group) emit(a Action) { g.actions = append(g.actions, a) }

func (g *Group) handleStatusReceived(now time.Time, e StatusReceived) {
	i := g.memberIndex(e.Member)
	if i < 0 {
		return
	}
	v := &g.views[i]
	if v.hasStatus && isOutdated(e.Status, v.status) {
		return
	}
	v.status = e.Status
	v.hasStatus = true
	v.heardAt = now
	v.lostAt = time.Time{}
	v.measureApplyLag(now)
	if e.SentAt.After(v.requestSentAt) {
		v.requestSentAt = e.SentAt
	}
	g.highestTerm = max(g.highestTerm, e.Status.Fenced)
	g.adoptPrimary(now, i)
	g.advanceAcked(e.Status)
	if !e.SentAt.IsZero() {
		g.updateConfirmations(e.Status.Fenced)
	}
	g.ensureFollows(now, i)
}

// handlePointSeen advances the last known entry of the member and of the primary
// of the same term, which has every entry of its term.
func (g *Group) handlePointSeen(e PointReported) {
	for i := range g.views {
		s := &g.views[i].status
		hasEntry := g.Members[i].ID == e.Member || i == g.primary && g.term == e.Point.Term
		if !hasEntry || !g.views[i].hasStatus || s.Last.Term != e.Point.Term || s.Last.Position >= e.Point.Position {
			continue
		}
		s.Last.Position = e.Point.Position
		g.advanceAcked(*s)
	}
}

// isOutdated reports whether s is older than the endpoint's known status current.
func isOutdated(s, current MemberStatus) bool {
	if s.Fenced != current.Fenced {
		return s.Fenced < current.Fenced
	}
	return s.Last.Less(current.Last) && s.Last.Term == current.Last.Term
}

// adoptPrimary makes member i the primary if it leads a higher term than the known
// one.
func (g *Group) adoptPrimary(now time.Time, i int) {
	s := g.views[i].status
	if !s.isUnfencedPrimary() || s.Last.Term <= g.term {
		return
	}
	g.term = s.Last.Term
	g.primary = i
	g.isolatedSince = time.Time{}
	g.leavingSince = time.Time{}
	g.suspectedSince = time.Time{}
	var cause Cause
	if g.attempt != nil {
		cause = g.attempt.cause
		if g.attempt.term != g.term {
			cause = ""
		}
	}
	if g.attempt != nil && g.attempt.term <= g.term {
		g.attempt = nil
	}
	g.attemptCount = 0
	g.noPrimarySince = time.Time{}
	g.emit(Announce{Term: g.term, Primary: g.Members[i].ID, Cause: cause})
	for j := range g.views {
		g.ensureFollows(now, j)
	}
}

// ensureFollows tells member i to follow the primary if it does not, at most once
// per FollowInterval. A member that is fenced at a later term is left alone.
func (g *Group) ensureFollows(now time.Time, i int) {
	v := &g.views[i]
	if !g.hasPrimary() || i == g.primary || !v.hasStatus || v.status.Fenced > g.term {
		return
	}
	if v.status.Follows == g.term && v.status.Role == Replica {
		return
	}
	if now.Sub(v.followSentAt) < g.Timing.FollowInterval {
		return
	}
	v.followSentAt = now
	g.emit(SendFollow{Member: g.Members[i].ID, Term: g.term, Primary: g.Members[g.primary].ID})
}

func (g *Group) handleMemberLost(now time.Time, id MemberID) {
	i := g.memberIndex(id)
	if i < 0 || !g.views[i].lostAt.IsZero() {
		return
	}
	g.views[i].lostAt = now
}

func (g *Group) handlePeerObserved(now time.Time, e PeerViewReceived) {
	for i := range g.peers {
		if g.peers[i].host == e.Host {
			g.peers[i].at = now
			g.peers[i].view = e.View
			return
		}
	}
	g.peers = append(g.peers, peerObservation{host: e.Host, at: now, view: e.View})
}

// View returns the view of the group that this host sends to its peers. Without a
// known primary, PrimarySilence is an hour, which no peer takes for reachable.
func (g *Group) View(now time.Time) PeerView {
	v := PeerView{Term: g.term, ReachesMajority: g.reachableMembers(now) >= g.majority(), PrimarySilence: time.Hour}
	if g.hasPrimary() {
		v.PrimarySilence = now.Sub(g.views[g.primary].heardAt)
	}
	return v
}

// hasPrimary reports whether any primary is known, reachable or not.
func (g *Group) hasPrimary() bool { return g.views != nil && g.primary >= 0 }

// reachableMembers counts the members heard from within the SuspectTimeout.
func (g *Group) reachableMembers(now time.Time) int {
	n := 0
	for i := range g.views {
		if g.views[i].heardWithin(now, g.Timing.SuspectTimeout) {
			n++
		}
	}
	return n
}
