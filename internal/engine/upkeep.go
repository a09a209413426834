package engine

import (
	"slices"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
)

const (
	// usedLinger is how long a group is looked at after a connection to a member was asked
	// for. It is above the longest wait of a request, after which no connection can be opened
	// that nobody would close.
	usedLinger = 15 * time.Second
	// idleWatchInterval is how often a holder of the primary's connections asks for a proof
	// and a position if no host borrows: an answer with a later term shows a promotion that
	// was not recorded. It is above demandWindow.
	idleWatchInterval = 5 * time.Second
	// sweepInterval is how often all groups are looked at without a cause. It bounds the harm
	// of an event that was missed, and costs 0.7 ms with 320 groups: each 10 s, that was more
	// than a third of what a host without clients does.
	sweepInterval = time.Minute
)

// Maintain removes members whose registration has expired, closes surplus
// connections and prepares for borrowing hosts, in the groups that have changed or
// that this host holds, uses or has clients of. It must be called a few times a
// second.
func (e *Engine) Maintain() {
	now := e.BootTime()
	e.updateBlind()
	if now.Sub(e.sweptAt) >= sweepInterval {
		e.sweptAt = now
		e.CheckAll()
	}
	for _, g := range e.upkeep.Take() {
		if e.maintainGroup(g, now) {
			e.upkeep.Add(g)
		}
	}
}

// HostsChanged lets the next call of Maintain look at all groups: this host may
// hold other endpoints.
func (e *Engine) HostsChanged() {
	for _, g := range e.allGroups() {
		e.upkeep.Add(g)
	}
}

// CheckAll makes all groups due for all checks.
func (e *Engine) CheckAll() {
	for _, g := range e.allGroups() {
		e.checkAll(g)
	}
}

// checkAll makes a group due for all checks.
func (e *Engine) checkAll(g *group) { e.noteChange(g, replicaset.StateChanged) }

// noteChange makes a group due for the checks that an event matters to.
func (e *Engine) noteChange(g *group, c replicaset.Change) {
	e.FailoverChecks.Add(g.Set)
	if c == replicaset.StateChanged {
		e.MembershipChecks.Add(g.Set)
		e.ConfirmationChecks.Add(g.Set)
		e.upkeep.Add(g)
	}
}

// updateBlind tells all groups if this host has lost or found the store.
func (e *Engine) updateBlind() {
	blind := e.blind()
	e.mu.Lock()
	defer e.mu.Unlock()
	if blind == e.wasBlind {
		return
	}
	e.wasBlind = blind
	for _, g := range e.groups {
		g.SetBlind(blind)
	}
}

// maintainGroup does what is due for a group, and reports whether it needs another
// look although nothing has changed.
func (e *Engine) maintainGroup(g *group, now replicaset.Instant) bool {
	for _, id := range g.Expire(now) {
		g.dropPool(id)
	}
	open := 0
	for _, p := range g.allPools() {
		e.updateShare(p)
		e.updateRole(g, p)
		p.trim()
		n, _, _ := p.stats()
		open += n
	}
	holds := e.prepareForBorrowers(g, now)
	return holds || open > 0 || g.usedWithin(now, usedLinger) || e.demand.has(g.Name) || g.Lapsing()
}

func (g *group) usedWithin(now replicaset.Instant, d time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.usedAt != 0 && now.Sub(g.usedAt) < d
}

// prepareForBorrowers renews what borrowing hosts need from this one, and opens
// connections ahead of their demand. If this host has clients of the group, it
// opens the links to the hosts that hold the connections to the other members.
// Hosts that each hold their own connections learn proofs and positions from their
// own statements. It reports whether this host holds connections to a member.
func (e *Engine) prepareForBorrowers(g *group, now replicaset.Instant) (holds bool) {
	if e.Lenders == nil {
		return false
	}
	limit, lead, clients := g.maxConnections(), g.Lead().ID, e.demand.has(g.Name)
	wanted, watches := false, false
	for _, m := range g.Members() {
		if !e.holds(m, limit) {
			if clients {
				e.preconnect(m, limit)
			}
			continue
		}
		holds = true
		p := e.pool(g, m)
		// A connection that is opened ahead of demand would belong to no account.
		if !e.usesAccounts() && p.reservePrewarm() {
			e.spawn("prewarm connection", p.prewarm)
		}
		wanted = p.inDemand(now) || wanted
		watches = watches || m.ID == lead
	}
	if wanted || watches && g.watchDue(now) {
		g.noteWatch(now)
		e.startRefresh(g)
	}
	return holds
}

// holds reports whether this host holds connections to a member for others.
func (e *Engine) holds(m replicaset.Member, limit int) bool {
	if e.Holds != nil {
		return e.Holds(m, limit)
	}
	lenders, holders := e.Lenders(m, limit, noAccount)
	return slices.Contains(lenders[:holders], "")
}

// preconnect opens the link to the host that lends connections to a member.
func (e *Engine) preconnect(m replicaset.Member, limit int) {
	if e.Preconnect == nil {
		return
	}
	if lenders, holders := e.Lenders(m, limit, noAccount); holders > 0 {
		e.Preconnect(lenders[0])
	}
}

// watchDue reports whether the primary of a group that no host borrows from is to
// be asked.
func (g *group) watchDue(now replicaset.Instant) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Sub(g.watchedAt) >= idleWatchInterval
}

func (g *group) noteWatch(now replicaset.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.watchedAt = now
}
