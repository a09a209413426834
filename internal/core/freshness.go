package core

import (
	"slices"
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// maxConfirmations bounds the number of stored confirmations.
	maxConfirmations = 128
	// minConfirmationInterval is the minimum time between two of them.
	minConfirmationInterval = 20 * time.Millisecond
)

// confirmation states that every write acknowledged before at is in the log up to
// point, so that reads which see point are at least as fresh as at.
type confirmation struct {
	at    time.Time
	point session.Point
}

// updateConfirmations adds a confirmation if a majority of the members answered a
// status request and know of no term above t. Among the members whose requests
// were sent last, it takes the earliest send time and the latest log entry: a
// write is acknowledged only once a majority has it, so one of these members has
// any write that was acknowledged before that time.
func (g *Group) updateConfirmations(t session.Term) {
	answered := make([]*memberView, 0, len(g.views))
	for i := range g.views {
		v := &g.views[i]
		if v.hasStatus && !v.requestSentAt.IsZero() && v.status.Fenced <= t {
			answered = append(answered, v)
		}
	}
	if len(answered) < g.majority() {
		return
	}
	slices.SortStableFunc(answered, func(a, b *memberView) int { return b.requestSentAt.Compare(a.requestSentAt) })
	c := confirmation{at: answered[g.majority()-1].requestSentAt}
	for _, v := range answered[:g.majority()] {
		c.point = c.point.Max(v.status.Last)
	}
	g.addConfirmation(c)
}

// addConfirmation stores c unless it is too close to the previous one.
func (g *Group) addConfirmation(c confirmation) {
	n := len(g.confirmations)
	if n > 0 && c.at.Sub(g.confirmations[n-1].at) < minConfirmationInterval {
		return
	}
	g.confirmations = append(g.confirmations, c)
	if len(g.confirmations) <= maxConfirmations {
		return
	}
	// Drop every second confirmation of the older half, so that the rest still
	// covers a long period.
	kept := g.confirmations[:0]
	for i, old := range g.confirmations {
		if i >= maxConfirmations/2 || i%2 == 0 {
			kept = append(kept, old)
		}
	}
	g.confirmations = kept
}

// age returns an upper bound on the staleness of reads from an endpoint with
// status s, or false if no confirmation gives one.
func (g *Group) age(now time.Time, s MemberStatus) (time.Duration, bool) {
	for i := len(g.confirmations) - 1; i >= 0; i-- {
		c := g.confirmations[i]
		if s.Satisfies(c.point) {
			return now.Sub(c.at), true
		}
	}
	return 0, false
}

// FreshEnough reports whether reads from an endpoint with status s are known to be
// at most maxAge stale.
func (g *Group) FreshEnough(now time.Time, s MemberStatus, maxAge time.Duration) bool {
	if g.FreshnessRule != nil {
		return g.FreshnessRule(now, s, maxAge)
	}
	age, ok := g.age(now, s)
	return ok && age <= maxAge
}
