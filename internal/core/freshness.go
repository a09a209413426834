package core

import (
	"slices"
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// confirmationLimit bounds the remembered confirmations.
	confirmationLimit = 128
	// confirmationStep is the least time between two of them.
	confirmationStep = 20 * time.Millisecond
)

// confirmation says that no write acknowledged before at lies above point.
type confirmation struct {
	at    time.Time
	point session.Point
}

// confirm looks for a new confirmation: the latest moment after which a
// majority of members still knew of no term above t, and the last entry among
// them. Any acknowledged write was held by a majority, so one of these has it.
func (g *Group) confirm(t session.Term) {
	asked := make([]*memberView, 0, len(g.view))
	for i := range g.view {
		v := &g.view[i]
		if v.known && !v.askedAt.IsZero() && v.status.Fenced <= t {
			asked = append(asked, v)
		}
	}
	if len(asked) < g.majority() {
		return
	}
	slices.SortStableFunc(asked, func(a, b *memberView) int { return b.askedAt.Compare(a.askedAt) })
	c := confirmation{at: asked[g.majority()-1].askedAt}
	for _, v := range asked[:g.majority()] {
		c.point = c.point.Max(v.status.Last)
	}
	g.keep(c)
}

func (g *Group) keep(c confirmation) {
	n := len(g.confirmations)
	if n > 0 && c.at.Sub(g.confirmations[n-1].at) < confirmationStep {
		return
	}
	g.confirmations = append(g.confirmations, c)
	if len(g.confirmations) <= confirmationLimit {
		return
	}
	// Thin out the older half, so that long ages stay covered.
	kept := g.confirmations[:0]
	for i, old := range g.confirmations {
		if i >= confirmationLimit/2 || i%2 == 0 {
			kept = append(kept, old)
		}
	}
	g.confirmations = kept
}

// age returns how old the data of an endpoint with status s may be at now.
func (g *Group) age(now time.Time, s MemberStatus) (time.Duration, bool) {
	for i := len(g.confirmations) - 1; i >= 0; i-- {
		c := g.confirmations[i]
		if s.Satisfies(c.point) {
			return now.Sub(c.at), true
		}
	}
	return 0, false
}

// FreshEnough reports whether data seen on an endpoint with status s is at
// most maxAge old at now.
func (g *Group) FreshEnough(now time.Time, s MemberStatus, maxAge time.Duration) bool {
	if g.AgeRule != nil {
		return g.AgeRule(now, s, maxAge)
	}
	age, ok := g.age(now, s)
	return ok && age <= maxAge
}
