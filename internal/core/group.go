package core

import (
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// Group is what one entry host knows and decides of one database group.
// The exported fields are set before the first Step. It is not safe for use
// by several goroutines.
type Group struct {
	Name     session.Group
	Self     HostID
	Members  []Member
	Timing   Timing
	NewNonce func() Nonce

	// AckRule finds the position that can't be lost; nil is the majority rule.
	AckRule func(last []session.Point, t session.Term, majority int) session.Position
	// Prefer reports whether a member with status b is a better primary than
	// one with status a; nil compares their last entries.
	Prefer func(a, b MemberStatus) bool
	// FenceQuorum is the number of fenced members that a promotion needs;
	// 0 is a majority.
	FenceQuorum int
	// AgeRule replaces the freshness check of reads; nil is the check itself.
	AgeRule func(now time.Time, s MemberStatus, maxAge time.Duration) bool

	view          []memberView
	term          session.Term
	primary       int
	highest       session.Term
	acked         session.Point
	history       []termStart
	confirmations []confirmation
	peers         []peerObservation
	attempt       *attempt
	retryAt       time.Time
	attempts      int
	noPrimaryAt   time.Time
	leavingAt     time.Time
	isolatedAt    time.Time
	suspectedAt   time.Time
	lastStep      time.Time
	out           []Action
}

type peerObservation struct {
	host HostID
	at   time.Time
	view PeerView
}

// Step takes in one event and returns the actions that follow from it.
func (g *Group) Step(now time.Time, e Event) []Action {
	g.out = nil
	g.prepare(now)
	switch e := e.(type) {
	case StatusReceived:
		g.status(now, e)
	case MemberLost:
		g.lost(now, e.Member)
	case PeerObserved:
		g.observed(now, e)
	case FenceAnswered:
		g.fenceAnswered(now, e)
	case PromoteAnswered:
		g.promoteAnswered(now, e)
	case PointSeen:
		g.pointSeen(e)
	case Tick:
		g.tick(now)
	}
	return g.out
}

func (g *Group) prepare(now time.Time) {
	if g.view == nil {
		g.view = make([]memberView, len(g.Members))
		g.primary = -1
		g.noPrimaryAt = now
		g.lastStep = now
	}
	if g.AckRule == nil {
		g.AckRule = ackedBy
	}
	if g.Prefer == nil {
		g.Prefer = func(a, b MemberStatus) bool { return a.Last.Less(b.Last) }
	}
	if now.Sub(g.lastStep) > g.Timing.Pause {
		g.forgetSilence(now)
	}
	if now.After(g.lastStep) {
		g.lastStep = now
	}
}

// forgetSilence starts all waits anew after this host itself was paused: what
// it did not hear in that time proves nothing.
func (g *Group) forgetSilence(now time.Time) {
	for i := range g.view {
		g.view[i].heardAt = now
		g.view[i].lostAt = time.Time{}
	}
	g.peers = nil
	g.attempt = nil
	g.noPrimaryAt = now
	g.isolatedAt = time.Time{}
	g.suspectedAt = time.Time{}
	g.leavingAt = time.Time{}
}

func (g *Group) majority() int { return len(g.Members)/2 + 1 }

func (g *Group) index(id MemberID) int {
	for i := range g.Members {
		if g.Members[i].ID == id {
			return i
		}
	}
	return -1
}

func (g *Group) emit(a Action) { g.out = append(g.out, a) }

func (g *Group) status(now time.Time, e StatusReceived) {
	i := g.index(e.Member)
	if i < 0 {
		return
	}
	v := &g.view[i]
	if v.known && older(e.Status, v.status) {
		return
	}
	v.status = e.Status
	v.known = true
	v.heardAt = now
	v.lostAt = time.Time{}
	v.noteLag(now)
	if e.SentAt.After(v.askedAt) {
		v.askedAt = e.SentAt
	}
	g.highest = max(g.highest, e.Status.Fenced)
	g.adopt(now, i)
	g.raiseAcked(e.Status)
	if !e.SentAt.IsZero() {
		g.confirm(e.Status.Fenced)
	}
	g.repair(now, i)
}

// pointSeen raises what is known of a member's log, and of its primary's, for
// the primary of a term holds every entry of it.
func (g *Group) pointSeen(e PointSeen) {
	for i := range g.view {
		s := &g.view[i].status
		holds := g.Members[i].ID == e.Member || i == g.primary && g.term == e.Point.Term
		if !holds || !g.view[i].known || s.Last.Term != e.Point.Term || s.Last.Position >= e.Point.Position {
			continue
		}
		s.Last.Position = e.Point.Position
		g.raiseAcked(*s)
	}
}

// older reports whether a report was overtaken by a later one of the endpoint.
func older(s, than MemberStatus) bool {
	if s.Fenced != than.Fenced {
		return s.Fenced < than.Fenced
	}
	return s.Last.Less(than.Last) && s.Last.Term == than.Last.Term
}

// adopt takes a member that leads a higher term for the primary.
func (g *Group) adopt(now time.Time, i int) {
	s := g.view[i].status
	if !s.leads() || s.Last.Term <= g.term {
		return
	}
	g.term = s.Last.Term
	g.primary = i
	g.isolatedAt = time.Time{}
	g.leavingAt = time.Time{}
	g.suspectedAt = time.Time{}
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
	g.attempts = 0
	g.noPrimaryAt = time.Time{}
	g.emit(Announce{Term: g.term, Primary: g.Members[i].ID, Cause: cause})
	for j := range g.view {
		g.repair(now, j)
	}
}

// repair tells an endpoint that does not follow the primary to do so.
func (g *Group) repair(now time.Time, i int) {
	v := &g.view[i]
	if !g.hasPrimary() || i == g.primary || !v.known || v.status.Fenced > g.term {
		return
	}
	if v.status.Follows == g.term && v.status.Role == Replica {
		return
	}
	if now.Sub(v.followSentAt) < g.Timing.Repair {
		return
	}
	v.followSentAt = now
	g.emit(SendFollow{Member: g.Members[i].ID, Term: g.term, Primary: g.Members[g.primary].ID})
}

func (g *Group) lost(now time.Time, id MemberID) {
	i := g.index(id)
	if i < 0 || !g.view[i].lostAt.IsZero() {
		return
	}
	g.view[i].lostAt = now
}

func (g *Group) observed(now time.Time, e PeerObserved) {
	for i := range g.peers {
		if g.peers[i].host == e.Host {
			g.peers[i].at = now
			g.peers[i].view = e.View
			return
		}
	}
	g.peers = append(g.peers, peerObservation{host: e.Host, at: now, view: e.View})
}

// View returns what this host tells its peers of the group.
func (g *Group) View(now time.Time) PeerView {
	v := PeerView{Term: g.term, Reaches: g.reaches(now) >= g.majority(), HeardAge: time.Hour}
	if g.hasPrimary() {
		v.HeardAge = now.Sub(g.view[g.primary].heardAt)
	}
	return v
}

// hasPrimary reports whether a primary was ever seen.
func (g *Group) hasPrimary() bool { return g.view != nil && g.primary >= 0 }

// reaches counts the members heard lately.
func (g *Group) reaches(now time.Time) int {
	n := 0
	for i := range g.view {
		if g.view[i].heardWithin(now, g.Timing.Suspect) {
			n++
		}
	}
	return n
}
