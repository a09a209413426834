package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Cause is the reason for a promotion.
type Cause string

// The causes of a promotion.
const (
	// CauseSilent: no reachable entry host or replica hears from the primary.
	CauseSilent Cause = "silent"
	// CauseUnreachable: a replica hears from the primary, entry hosts do not.
	CauseUnreachable Cause = "unreachable"
	// CauseIsolated: an entry host hears from the primary, its replicas do not.
	CauseIsolated Cause = "isolated"
	// CauseLeaving: the platform is about to take the primary away.
	CauseLeaving Cause = "leaving"
	// CauseNoPrimary: no member is a primary that can still acknowledge writes.
	CauseNoPrimary Cause = "no_primary"
)

// failoverCause returns why the primary should be replaced and when the promotion is
// due, or no cause.
func (g *Group) failoverCause(now time.Time) (Cause, time.Time) {
	if !g.hasPrimary() || !g.leadsCurrentTerm(g.primary) || g.majorityFencedAbove(now) {
		if g.noPrimarySince.IsZero() {
			g.noPrimarySince = now
		}
		return CauseNoPrimary, g.noPrimarySince.Add(g.Timing.SuspectTimeout)
	}
	g.noPrimarySince = time.Time{}
	p := &g.views[g.primary]
	if now.Sub(p.heardAt) < g.Timing.SuspectTimeout {
		return g.causeWhileReachable(now, p)
	}
	g.isolatedSince = time.Time{}
	g.leavingSince = time.Time{}
	if g.peerReachesPrimary(now) {
		return "", time.Time{}
	}
	if g.replicaReachesPrimary(now) {
		return CauseUnreachable, p.heardAt.Add(g.Timing.SuspectPartial)
	}
	return CauseSilent, p.heardAt.Add(g.Timing.SuspectTimeout)
}

// causeWhileReachable returns a cause to replace a primary that this host still
// hears from: it is leaving, or its replicas don't hear from it.
func (g *Group) causeWhileReachable(now time.Time, p *memberView) (Cause, time.Time) {
	if !p.status.Leaving {
		g.leavingSince = time.Time{}
	} else if g.leavingSince.IsZero() {
		g.leavingSince = now
	}
	if !g.leavingSince.IsZero() {
		due := g.leavingSince.Add(g.Timing.LeavingTimeout)
		if g.replicaCaughtUp(now) {
			due = g.leavingSince.Add(g.Timing.LeavingGrace)
		}
		return CauseLeaving, due
	}
	if !g.primaryIsolated(now) {
		g.isolatedSince = time.Time{}
		return "", time.Time{}
	}
	if g.isolatedSince.IsZero() {
		g.isolatedSince = now
	}
	return CauseIsolated, g.isolatedSince.Add(g.Timing.SuspectPartial)
}

// majorityFencedAbove reports whether a majority of the members is fenced at a later
// term, so that no further write can be acknowledged in the current one.
func (g *Group) majorityFencedAbove(now time.Time) bool {
	n := 0
	for i := range g.views {
		v := &g.views[i]
		if v.heardWithin(now, g.Timing.SuspectTimeout) && v.status.Fenced > g.term {
			n++
		}
	}
	return n >= g.majority()
}

// peerReachesPrimary reports whether a reachable entry host hears from the primary.
func (g *Group) peerReachesPrimary(now time.Time) bool {
	for _, o := range g.peers {
		since := now.Sub(o.at)
		if since >= g.Timing.SuspectTimeout || o.view.Term != g.term {
			continue
		}
		if o.view.PrimarySilence+since < g.Timing.SuspectTimeout {
			return true
		}
	}
	return false
}

// replicaReachesPrimary reports whether a reachable replica hears from the primary.
func (g *Group) replicaReachesPrimary(now time.Time) bool {
	for i := range g.views {
		v := &g.views[i]
		if i == g.primary || !v.heardWithin(now, g.Timing.SuspectTimeout) || v.status.Follows != g.term {
			continue
		}
		if v.primarySilence(now) < g.Timing.SuspectTimeout {
			return true
		}
	}
	return false
}

// primaryIsolated reports whether the reachable members other than the primary are a
// majority and none of them hears from it.
func (g *Group) primaryIsolated(now time.Time) bool {
	n := 0
	for i := range g.views {
		v := &g.views[i]
		if i == g.primary || !v.heardWithin(now, g.Timing.SuspectTimeout) {
			continue
		}
		if v.status.Follows == g.term && v.primarySilence(now) < g.Timing.SuspectTimeout {
			return false
		}
		n++
	}
	return n >= g.majority()
}

// primarySilence returns how long ago the endpoint last heard from its primary.
func (v *memberView) primarySilence(now time.Time) time.Duration {
	return time.Duration(v.status.SilenceMS)*time.Millisecond + now.Sub(v.heardAt)
}

// replicaCaughtUp reports whether a reachable replica that is not leaving has all
// entries of the primary.
func (g *Group) replicaCaughtUp(now time.Time) bool {
	for i := range g.views {
		v := &g.views[i]
		if i == g.primary || v.status.Leaving || !v.heardWithin(now, g.Timing.SuspectTimeout) {
			continue
		}
		if v.status.Last == g.views[g.primary].status.Last {
			return true
		}
	}
	return false
}

// promotionRank returns this host's position among the hosts that may attempt a
// promotion. It only spreads the attempts in time; fencing decides which one wins.
func (g *Group) promotionRank(now time.Time) int {
	type candidate struct {
		host HostID
		hash uint64
	}
	newCandidate := func(h HostID) candidate {
		return candidate{host: h, hash: xxhash.Sum64String(string(g.Name) + "\x00" + string(h))}
	}
	all := []candidate{newCandidate(g.Self)}
	for _, o := range g.peers {
		if now.Sub(o.at) < g.Timing.SuspectTimeout && o.view.ReachesMajority {
			all = append(all, newCandidate(o.host))
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.host, b.host))
	})
	return slices.IndexFunc(all, func(c candidate) bool { return c.host == g.Self })
}
