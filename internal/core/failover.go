package core

import (
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// attempt is one try of this host to replace the primary.
type attempt struct {
	term     session.Term
	nonce    Nonce
	cause    Cause
	deadline time.Time
	fenced   []bool
	chosen   int
}

func (g *Group) tick(now time.Time) {
	for i := range g.view {
		g.repair(now, i)
	}
	if g.attempt != nil {
		if now.Before(g.attempt.deadline) {
			return
		}
		g.abandon(now)
	}
	cause, due := g.suspicion(now)
	if cause == "" || now.Before(due) || g.reaches(now) < g.quorum() {
		g.suspectedAt = time.Time{}
		return
	}
	// The wait for the hosts that go first starts when all grounds are there:
	// the last of them may come to all hosts at the same moment.
	if g.suspectedAt.IsZero() {
		g.suspectedAt = now
	}
	turn := g.suspectedAt.Add(time.Duration(g.rank(now)) * g.Timing.Stagger)
	if now.Before(turn) || now.Before(g.retryAt) {
		return
	}
	g.begin(now, cause)
}

func (g *Group) quorum() int {
	if g.FenceQuorum > 0 {
		return g.FenceQuorum
	}
	return g.majority()
}

// begin fences the members at a term above every known one.
func (g *Group) begin(now time.Time, cause Cause) {
	g.highest++
	g.attempts++
	g.attempt = &attempt{
		term:     g.highest,
		nonce:    g.NewNonce(),
		cause:    cause,
		deadline: now.Add(g.Timing.Attempt),
		fenced:   make([]bool, len(g.Members)),
		chosen:   -1,
	}
	for i := range g.Members {
		g.emit(SendFence{Member: g.Members[i].ID, Term: g.attempt.term, Nonce: g.attempt.nonce})
	}
}

// abandon ends the attempt; the next waits longer, each host differently.
func (g *Group) abandon(now time.Time) {
	g.attempt = nil
	wait := g.Timing.Stagger * time.Duration(1+g.rank(now)+min(g.attempts, 4))
	g.retryAt = now.Add(wait)
}

func (g *Group) fenceAnswered(now time.Time, e FenceAnswered) {
	i := g.index(e.Member)
	if i < 0 {
		return
	}
	if e.OK {
		g.status(now, StatusReceived{Member: e.Member, Status: e.Status})
	}
	g.highest = max(g.highest, e.Status.Fenced)
	a := g.attempt
	if a == nil || a.term != e.Term || a.nonce != e.Nonce || a.chosen >= 0 {
		return
	}
	if !e.OK {
		g.abandon(now)
		return
	}
	a.fenced[i] = true
	g.view[i].status = e.Status
	g.choose(a)
}

// choose promotes the fenced member with the latest last entry as soon as
// enough members are fenced.
func (g *Group) choose(a *attempt) {
	n := 0
	best := -1
	for i, ok := range a.fenced {
		if !ok {
			continue
		}
		n++
		if best < 0 || g.better(i, best) {
			best = i
		}
	}
	if n < g.quorum() {
		return
	}
	a.chosen = best
	g.emit(SendPromote{Member: g.Members[best].ID, Term: a.term, Nonce: a.nonce})
}

// better prefers the later last entry, then a member that is not leaving.
func (g *Group) better(i, j int) bool {
	a, b := g.view[j].status, g.view[i].status
	if g.Prefer(a, b) {
		return true
	}
	return !g.Prefer(b, a) && a.Leaving && !b.Leaving
}

func (g *Group) promoteAnswered(now time.Time, e PromoteAnswered) {
	if e.OK {
		g.status(now, StatusReceived{Member: e.Member, Status: e.Status})
		return
	}
	g.highest = max(g.highest, e.Status.Fenced)
	if g.attempt != nil && g.attempt.term == e.Term && g.attempt.nonce == e.Nonce {
		g.abandon(now)
	}
}
