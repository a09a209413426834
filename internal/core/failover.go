package core

import (
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// attempt is a promotion attempt of this host.
type attempt struct {
	term     session.Term
	nonce    Nonce
	cause    Cause
	deadline time.Time
	fenced   []bool // by member index
	promoted int    // index of the member that SendPromote was sent to, or -1
}

func (g *Group) handleTick(now time.Time) {
	for i := range g.views {
		g.ensureFollows(now, i)
	}
	if g.attempt != nil {
		if now.Before(g.attempt.deadline) {
			return
		}
		g.abandonAttempt(now)
	}
	cause, due := g.failoverCause(now)
	if cause == "" || now.Before(due) || g.reachableMembers(now) < g.quorum() {
		g.suspectedSince = time.Time{}
		return
	}
	// The stagger starts when all conditions are met, not when the primary was
	// last heard from: the last condition may be met on all hosts at once.
	if g.suspectedSince.IsZero() {
		g.suspectedSince = now
	}
	turn := g.suspectedSince.Add(time.Duration(g.promotionRank(now)) * g.Timing.Stagger)
	if now.Before(turn) || now.Before(g.retryAt) {
		return
	}
	g.beginAttempt(now, cause)
}

// quorum returns the number of fenced members that a promotion needs.
func (g *Group) quorum() int {
	if g.FenceQuorum > 0 {
		return g.FenceQuorum
	}
	return g.majority()
}

// beginAttempt starts fencing all members at a term above every known one.
func (g *Group) beginAttempt(now time.Time, cause Cause) {
	g.highestTerm++
	g.attemptCount++
	g.attempt = &attempt{
		term:     g.highestTerm,
		nonce:    g.NewNonce(),
		cause:    cause,
		deadline: now.Add(g.Timing.AttemptTimeout),
		fenced:   make([]bool, len(g.Members)),
		promoted: -1,
	}
	for i := range g.Members {
		g.emit(SendFence{Member: g.Members[i].ID, Term: g.attempt.term, Nonce: g.attempt.nonce})
	}
}

// abandonAttempt ends the attempt. The backoff before the next one grows with the
// number of attempts, up to a limit, and differs between hosts so that they
// don't collide again.
func (g *Group) abandonAttempt(now time.Time) {
	g.attempt = nil
	wait := g.Timing.Stagger * time.Duration(1+g.promotionRank(now)+min(g.attemptCount, 4))
	g.retryAt = now.Add(wait)
}

func (g *Group) handleFenceAnswered(now time.Time, e FenceAnswered) {
	i := g.memberIndex(e.Member)
	if i < 0 {
		return
	}
	if e.OK {
		g.handleStatusReceived(now, StatusReceived{Member: e.Member, Status: e.Status})
	}
	g.highestTerm = max(g.highestTerm, e.Status.Fenced)
	a := g.attempt
	if a == nil || a.term != e.Term || a.nonce != e.Nonce || a.promoted >= 0 {
		return
	}
	if !e.OK {
		g.abandonAttempt(now)
		return
	}
	a.fenced[i] = true
	g.views[i].status = e.Status
	g.promoteBest(a)
}

// promoteBest promotes the fenced member with the latest last entry once a quorum
// is fenced.
func (g *Group) promoteBest(a *attempt) {
	n := 0
	best := -1
	for i, ok := range a.fenced {
		if !ok {
			continue
		}
		n++
		if best < 0 || g.isBetterPrimary(i, best) {
			best = i
		}
	}
	if n < g.quorum() {
		return
	}
	a.promoted = best
	g.emit(SendPromote{Member: g.Members[best].ID, Term: a.term, Nonce: a.nonce})
}

// isBetterPrimary reports whether member i should be promoted rather than member
// j: a later last entry wins, then a member that is not leaving.
func (g *Group) isBetterPrimary(i, j int) bool {
	a, b := g.views[j].status, g.views[i].status
	if g.LessPreferred(a, b) {
		return true
	}
	return !g.LessPreferred(b, a) && a.Leaving && !b.Leaving
}

func (g *Group) handlePromoteAnswered(now time.Time, e PromoteAnswered) {
	if e.OK {
		g.handleStatusReceived(now, StatusReceived{Member: e.Member, Status: e.Status})
		return
	}
	g.highestTerm = max(g.highestTerm, e.Status.Fenced)
	if g.attempt != nil && g.attempt.term == e.Term && g.attempt.nonce == e.Nonce {
		g.abandonAttempt(now)
	}
}
