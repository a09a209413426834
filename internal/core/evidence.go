package core

import (
	"slices"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// maxTermStarts bounds the number of term starts that a Group stores.
const maxTermStarts = 64

// termStart is the start of a term; prev is the last entry before the term's first.
type termStart struct {
	term session.Term
	prev session.Point
}

// ackedPosition returns the highest position of term t that a majority of the
// members has in its log, or 0, given each member's last entry. Only members
// whose last entry is of term t count: a member that is merely fenced at t may
// still have the log of an earlier term.
func ackedPosition(last []session.Point, t session.Term, majority int) session.Position {
	positions := make([]session.Position, 0, len(last))
	for _, p := range last {
		if p.Term == t {
			positions = append(positions, p.Position)
		}
	}
	if len(positions) < majority {
		return 0
	}
	slices.Sort(positions)
	return positions[len(positions)-majority]
}

// advanceAcked records the term start that a member reports and advances the
// acknowledged point if a majority now has more entries of the member's term.
func (g *Group) advanceAcked(s MemberStatus) {
	g.recordTermStart(termStart{term: s.Last.Term, prev: s.Prev})
	if s.Last.Term < g.acked.Term {
		return
	}
	last := make([]session.Point, 0, len(g.views))
	for i := range g.views {
		if g.views[i].hasStatus {
			last = append(last, g.views[i].status.Last)
		}
	}
	p := g.AckRule(last, s.Last.Term, g.majority())
	if p > 0 {
		g.acked = g.acked.Max(session.Point{Term: s.Last.Term, Position: p})
	}
}

// recordTermStart stores the start of a term and drops the oldest term above the
// limit.
func (g *Group) recordTermStart(t termStart) {
	i, found := slices.BinarySearchFunc(g.termStarts, t, func(a, b termStart) int {
		return int(int64(a.term) - int64(b.term))
	})
	if found {
		return
	}
	g.termStarts = slices.Insert(g.termStarts, i, t)
	if len(g.termStarts) > maxTermStarts {
		g.termStarts = slices.Delete(g.termStarts, 0, 1)
	}
}

// Durability is what is known about the durability of a log entry.
type Durability int

// The fates of a log entry.
const (
	// Pending entries are not yet known to be safe or lost.
	Pending Durability = iota
	// Safe entries are in the log of every later primary.
	Safe
	// Lost entries are missing from the log of every later primary.
	Lost
)

// DurabilityOf reports what is known about the entry at p. If p's term is older than that
// of the acknowledged point, DurabilityOf follows the term starts back to p's term; the
// entry is lost if a later term branched off before it.
func (g *Group) DurabilityOf(p session.Point) Durability {
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
		prev, ok := g.lastBeforeTerm(t)
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

// lastBeforeTerm returns the last entry before the first entry of term t, if known.
func (g *Group) lastBeforeTerm(t session.Term) (session.Point, bool) {
	i, found := slices.BinarySearchFunc(g.termStarts, t, func(a termStart, t session.Term) int {
		return int(int64(a.term) - int64(t))
	})
	if !found {
		return session.Point{}, false
	}
	return g.termStarts[i].prev, true
}

// AckedPoint returns the latest log point that a majority of the members is known
// to have.
func (g *Group) AckedPoint() session.Point { return g.acked }

// ReadIncludes reports whether data read at point p includes every entry up to need. If
// the start of p's term is unknown, p's position must not be below need's.
func (g *Group) ReadIncludes(p, need session.Point) bool {
	prev, ok := g.lastBeforeTerm(p.Term)
	if !ok {
		prev = need
	}
	return MemberStatus{Last: session.Point{Term: p.Term}, Prev: prev, Applied: p.Position}.Satisfies(need)
}
