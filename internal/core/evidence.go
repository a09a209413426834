package core

import (
	"slices"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// historyLimit bounds the term starts that a Group remembers.
const historyLimit = 64

// termStart says which entry the first entry of a term follows.
type termStart struct {
	term session.Term
	prev session.Point
}

// ackedBy returns the highest position of term t that a majority of members
// holds from t's own log, given each member's last entry. A member counts by
// the term of its last entry, never by the term that it was fenced at.
func ackedBy(last []session.Point, t session.Term, majority int) session.Position {
	held := make([]session.Position, 0, len(last))
	for _, p := range last {
		if p.Term == t {
			held = append(held, p.Position)
		}
	}
	if len(held) < majority {
		return 0
	}
	slices.Sort(held)
	return held[len(held)-majority]
}

// raiseAcked takes in what a member reports of its log.
func (g *Group) raiseAcked(s MemberStatus) {
	g.remember(termStart{term: s.Last.Term, prev: s.Prev})
	if s.Last.Term < g.acked.Term {
		return
	}
	last := make([]session.Point, 0, len(g.view))
	for i := range g.view {
		if g.view[i].known {
			last = append(last, g.view[i].status.Last)
		}
	}
	p := g.AckRule(last, s.Last.Term, g.majority())
	if p > 0 {
		g.acked = g.acked.Max(session.Point{Term: s.Last.Term, Position: p})
	}
}

func (g *Group) remember(t termStart) {
	i, found := slices.BinarySearchFunc(g.history, t, func(a, b termStart) int {
		return int(int64(a.term) - int64(b.term))
	})
	if found {
		return
	}
	g.history = slices.Insert(g.history, i, t)
	if len(g.history) > historyLimit {
		g.history = slices.Delete(g.history, 0, 1)
	}
}

// Fate tells what is known of a log entry.
type Fate int

// The fates of a log entry.
const (
	// Pending entries are neither known to be safe nor known to be lost.
	Pending Fate = iota
	// Safe entries are in the log of every later primary.
	Safe
	// Lost entries are in the log of no later primary.
	Lost
)

// FateOf tells whether the entry at p can still be lost. It follows the log
// of the latest term with evidence back to p's term, start by start.
func (g *Group) FateOf(p session.Point) Fate {
	if p.Term > g.acked.Term {
		return Pending
	}
	if p.Term == g.acked.Term {
		if p.Position <= g.acked.Position {
			return Safe
		}
		return Pending
	}
	for t := g.acked.Term; t > p.Term; {
		prev, ok := g.prevOf(t)
		if !ok {
			return Pending
		}
		if prev.Term < p.Term || prev.Term == p.Term && prev.Position < p.Position {
			return Lost
		}
		t = prev.Term
	}
	return Safe
}

func (g *Group) prevOf(t session.Term) (session.Point, bool) {
	i, found := slices.BinarySearchFunc(g.history, t, func(a termStart, t session.Term) int {
		return int(int64(a.term) - int64(t))
	})
	if !found {
		return session.Point{}, false
	}
	return g.history[i].prev, true
}

// AckedPoint returns the latest point that a majority is known to hold.
func (g *Group) AckedPoint() session.Point { return g.acked }

// Sees reports whether data read at point p holds everything up to need.
func (g *Group) Sees(p, need session.Point) bool {
	prev, ok := g.prevOf(p.Term)
	if !ok {
		prev = need
	}
	return MemberStatus{Last: session.Point{Term: p.Term}, Prev: prev, Applied: p.Position}.Satisfies(need)
}
