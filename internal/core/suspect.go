package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Cause says why a promotion was attempted.
type Cause string

// The causes of a promotion.
const (
	// CauseSilent: nobody reachable hears the primary.
	CauseSilent Cause = "silent"
	// CauseUnreachable: replicas hear the primary, entry hosts do not.
	CauseUnreachable Cause = "unreachable"
	// CauseIsolated: entry hosts hear the primary, its replicas do not.
	CauseIsolated Cause = "isolated"
	// CauseLeaving: the platform takes the primary away.
	CauseLeaving Cause = "leaving"
	// CauseNone: no member leads.
	CauseNone Cause = "no_primary"
)

// suspicion returns why the primary should be replaced now and since when
// that has been so, or no cause.
func (g *Group) suspicion(now time.Time) (Cause, time.Time) {
	if !g.hasPrimary() || !g.leads(g.primary) || g.fencedAbove(now) {
		if g.noPrimaryAt.IsZero() {
			g.noPrimaryAt = now
		}
		return CauseNone, g.noPrimaryAt.Add(g.Timing.Suspect)
	}
	g.noPrimaryAt = time.Time{}
	p := &g.view[g.primary]
	if now.Sub(p.heardAt) < g.Timing.Suspect {
		return g.heardSuspicion(now, p)
	}
	g.isolatedAt = time.Time{}
	g.leavingAt = time.Time{}
	if g.peerHears(now) {
		return "", time.Time{}
	}
	if g.replicaHears(now) {
		return CauseUnreachable, p.heardAt.Add(g.Timing.SuspectAlone)
	}
	return CauseSilent, p.heardAt.Add(g.Timing.Suspect)
}

// heardSuspicion looks for a reason to replace a primary that is heard.
func (g *Group) heardSuspicion(now time.Time, p *memberView) (Cause, time.Time) {
	if !p.status.Leaving {
		g.leavingAt = time.Time{}
	} else if g.leavingAt.IsZero() {
		g.leavingAt = now
	}
	if !g.leavingAt.IsZero() {
		due := g.leavingAt.Add(g.Timing.LeavingLimit)
		if g.caughtUp(now) {
			due = g.leavingAt.Add(g.Timing.LeavingGrace)
		}
		return CauseLeaving, due
	}
	if !g.replicasSilent(now) {
		g.isolatedAt = time.Time{}
		return "", time.Time{}
	}
	if g.isolatedAt.IsZero() {
		g.isolatedAt = now
	}
	return CauseIsolated, g.isolatedAt.Add(g.Timing.SuspectAlone)
}

// fencedAbove reports whether a majority of members takes no log of the current
// term any more, so that nothing can be acknowledged in it.
func (g *Group) fencedAbove(now time.Time) bool {
	n := 0
	for i := range g.view {
		v := &g.view[i]
		if v.heardWithin(now, g.Timing.Suspect) && v.status.Fenced > g.term {
			n++
		}
	}
	return n >= g.majority()
}

// peerHears reports whether a reachable entry host hears the primary.
func (g *Group) peerHears(now time.Time) bool {
	for _, o := range g.peers {
		since := now.Sub(o.at)
		if since >= g.Timing.Suspect || o.view.Term != g.term {
			continue
		}
		if o.view.HeardAge+since < g.Timing.Suspect {
			return true
		}
	}
	return false
}

// replicaHears reports whether a reachable replica hears the primary.
func (g *Group) replicaHears(now time.Time) bool {
	for i := range g.view {
		v := &g.view[i]
		if i == g.primary || !v.heardWithin(now, g.Timing.Suspect) || v.status.Follows != g.term {
			continue
		}
		if v.silence(now) < g.Timing.Suspect {
			return true
		}
	}
	return false
}

// replicasSilent reports whether a majority of members is reachable without
// the primary and none of them hears it.
func (g *Group) replicasSilent(now time.Time) bool {
	n := 0
	for i := range g.view {
		v := &g.view[i]
		if i == g.primary || !v.heardWithin(now, g.Timing.Suspect) {
			continue
		}
		if v.status.Follows == g.term && v.silence(now) < g.Timing.Suspect {
			return false
		}
		n++
	}
	return n >= g.majority()
}

func (v *memberView) silence(now time.Time) time.Duration {
	return time.Duration(v.status.SilenceMS)*time.Millisecond + now.Sub(v.heardAt)
}

// caughtUp reports whether a member that stays holds all that the primary has.
func (g *Group) caughtUp(now time.Time) bool {
	for i := range g.view {
		v := &g.view[i]
		if i == g.primary || v.status.Leaving || !v.heardWithin(now, g.Timing.Suspect) {
			continue
		}
		if v.status.Last == g.view[g.primary].status.Last {
			return true
		}
	}
	return false
}

// rank is this host's place among the hosts that may attempt a promotion. It
// only spreads the attempts in time; the fence decides who wins.
func (g *Group) rank(now time.Time) int {
	type candidate struct {
		host HostID
		hash uint64
	}
	score := func(h HostID) candidate {
		return candidate{host: h, hash: xxhash.Sum64String(string(g.Name) + "\x00" + string(h))}
	}
	all := []candidate{score(g.Self)}
	for _, o := range g.peers {
		if now.Sub(o.at) < g.Timing.Suspect && o.view.Reaches {
			all = append(all, score(o.host))
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.host, b.host))
	})
	return slices.IndexFunc(all, func(c candidate) bool { return c.host == g.Self })
}
