package engine

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/agenda"
	"github.com/cumintrestle/cumintrestle/internal/guard"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// Engine serves all sessions of one entry host. Exported fields must be set
// before the first session is opened.
type Engine struct {
	// Zone is the availability zone of this host.
	Zone string
	// Regions maps each zone to its region. If it is nil, every zone counts as a
	// region of its own.
	Regions map[string]string
	// Now returns the current time for timeouts and deadlines.
	Now func() time.Time
	// BootTime returns the time since boot from a clock that also counts the time
	// during which the host is suspended.
	BootTime func() replicaset.Instant
	// Dial opens a connection to an endpoint for the statements of one account.
	Dial func(ctx context.Context, m replicaset.Member, a session.Account) (*Conn, error)
	// Admit, if set, asks whether one more operation of an account may run, and waits
	// for the decision until the deadline at most. The operation must be sent before
	// sendBy. A refusal is a *LimitError.
	Admit func(deadline time.Time, a session.Account) (sendBy replicaset.Instant, err error)
	// CatchUp, if set, waits while the configuration may be out of date because this host was
	// suspended. now is a time that was just read. It is called for each operation.
	CatchUp func(now time.Time)
	// Lenders, if set, returns the hosts to use for an account's connections to an
	// endpoint, in order of preference; an empty address is this host. The first
	// addresses, as many as holders, are the hosts that hold the connections and
	// lend them to the others. holders is 0 if each host holds its own
	// connections.
	Lenders func(m replicaset.Member, maxConnections int, a session.Account) (addresses []string, holders int)
	// Holds, if set, reports whether this host is one of the holders that Lenders returns. It
	// is for looks at endpoints that this host need not use.
	Holds func(m replicaset.Member, maxConnections int) bool
	// Detours, if set, returns the hosts to ask for a connection to an endpoint
	// that this host cannot reach, in order of preference.
	Detours func(m replicaset.Member) (addresses []string)
	// Borrow runs a call over a connection of another host. handle identifies
	// the transaction on that host that the call continues, 0 for none.
	Borrow func(address string, m replicaset.Member, handle uint64, call Call) (RemoteResult, error)
	// RecordedLead reads the leadership record of a group from the store; its
	// version is 0 if there is none. The record is no older than readAt.
	RecordedLead func(g session.Group) (lead replicaset.Lead, readAt replicaset.Instant, err error)
	// StoreLost reports whether this host does not hear from the store, directly or through
	// another host. It may be nil.
	StoreLost func() bool
	// FetchKnowledge requests another host's knowledge of a group.
	FetchKnowledge func(address string, g session.Group, until time.Time) (replicaset.Knowledge, error)
	// Preconnect opens the link to another host ahead of demand.
	Preconnect func(address string)
	// EndLoan ends a transaction that a call left open on another host.
	EndLoan func(address string, handle uint64)
	// SlowStart makes an endpoint that has just started, recovered or become primary begin with
	// one request in flight.
	SlowStart bool
	// Event receives each decision; it must not block.
	Event func(Event)

	// FailoverChecks, MembershipChecks and ConfirmationChecks have the groups that are due
	// for a check of the failover manager.
	FailoverChecks, MembershipChecks, ConfirmationChecks agenda.Agenda[*replicaset.Set]

	// upkeep has the groups that Maintain looks at next.
	upkeep agenda.Agenda[*group]
	demand demand

	declared atomic.Pointer[Declared]
	// stopBy is when the host exits, nil unless it stops.
	stopBy atomic.Pointer[time.Time]

	mu     sync.Mutex
	groups map[session.Group]*group
	hosts  int
	// startedAt is when this host heard of its first group.
	startedAt replicaset.Instant
	// wasBlind is what the groups were last told of the store.
	wasBlind bool
	sweptAt  replicaset.Instant
}

// Event is one decision about a statement, an endpoint or the primary of a
// group.
type Event struct {
	Request  string
	Group    session.Group
	Endpoint replicaset.EndpointID
	Decision string
	Code     Code
	Reason   string
	Age      time.Duration
	// Failover marks decisions about primaries, and reports of panics and
	// malformed messages.
	Failover bool
}

// group is one database group with the connection pools of its members.
type group struct {
	*replicaset.Set

	mu     sync.Mutex
	pools  map[replicaset.EndpointID]*pool
	policy GroupPolicy
	// proving is the request for a leadership proof in progress, if any.
	proving *sharedCall
	// provingCommits is the request for a commit proof in progress, if any, and
	// noCommitProof is set if the last one failed.
	provingCommits *sharedCall
	noCommitProof  bool
	// committedAt is when this host last sent a commit to the group, and keeping is set
	// while the next check of its commit proof is scheduled.
	committedAt replicaset.Instant
	keeping     bool
	// refreshing is the refresh of proof and log position in progress, if any.
	refreshing *sharedCall
	// checking is the round of requests for the positions of the replicas, if any.
	checking *sharedCall
	// usedAt is when a connection to a member was last asked for, and watchedAt when this
	// host last asked for a proof and a position as a holder.
	usedAt, watchedAt replicaset.Instant
	// resuming has the replicas that are being resumed because a switch left them paused.
	resuming map[replicaset.EndpointID]bool
}

// ReportPanic reports a task that ended in a panic.
func (e *Engine) ReportPanic(task, cause string) {
	e.emit(Event{Decision: "panic", Reason: task + ": " + cause, Failover: true})
}

// ReportMalformed reports a message from another host that could not be decoded.
func (e *Engine) ReportMalformed(from string, err error) {
	e.emit(Event{Decision: "malformed_message", Reason: from + ": " + err.Error(), Failover: true})
}

// spawn runs a task in a new goroutine. A panic ends only that task and is
// reported.
func (e *Engine) spawn(task string, f func()) { go guard.Run(task, e.ReportPanic, f) }

func (e *Engine) emit(v Event) {
	if e.Event != nil {
		e.Event(v)
	}
}

// Declared returns the configuration in force, or nil if there is none yet.
func (e *Engine) Declared() *Declared { return e.declared.Load() }

// Apply puts a newer configuration in force and reports whether it did. A
// configuration that is not newer is ignored.
func (e *Engine) Apply(d *Declared) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !d.Supersedes(e.declared.Load()) {
		return false
	}
	e.declared.Store(d)
	for name, g := range e.groups {
		g.setPolicy(d.Groups[name], e.hosts)
		e.checkAll(g)
	}
	return true
}

// SetHosts sets the number of entry hosts that share the connections to
// endpoints.
func (e *Engine) SetHosts(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hosts = max(n, 1)
	for _, g := range e.groups {
		if g.setPolicy(g.policy, e.hosts) {
			e.upkeep.Add(g)
		}
	}
}

// Group returns the members of a group, which is created if it does not exist.
func (e *Engine) Group(name session.Group) *replicaset.Set { return e.group(name).Set }

func (e *Engine) group(name session.Group) *group {
	e.mu.Lock()
	defer e.mu.Unlock()
	g, ok := e.groups[name]
	if ok {
		return g
	}
	g = &group{Set: replicaset.New(name, e.Zone), pools: make(map[replicaset.EndpointID]*pool)}
	g.Regions = e.Regions
	g.OnChange = func(c replicaset.Change) { e.noteChange(g, c) }
	g.SetBlind(e.wasBlind)
	if d := e.declared.Load(); d != nil {
		g.policy = d.Groups[name]
	}
	if e.groups == nil {
		e.groups = make(map[session.Group]*group)
		if e.SlowStart {
			e.startedAt = e.BootTime()
		}
	}
	e.groups[name] = g
	e.checkAll(g)
	return g
}

// HasGroups reports whether there are any groups.
func (e *Engine) HasGroups() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.groups) > 0
}

// Groups returns all groups.
func (e *Engine) Groups() []*replicaset.Set {
	var all []*replicaset.Set
	for _, g := range e.allGroups() {
		all = append(all, g.Set)
	}
	return all
}

func (e *Engine) allGroups() []*group {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Collect(maps.Values(e.groups))
}

// Policy returns the declared policy of a group, or the zero policy if there is
// none.
func (e *Engine) Policy(name session.Group) GroupPolicy {
	if d := e.declared.Load(); d != nil {
		return d.Groups[name]
	}
	return GroupPolicy{}
}

// DeclaresGroup reports whether a group is declared, or was when one of its endpoints
// registered.
func (e *Engine) DeclaresGroup(name session.Group) bool {
	if d := e.declared.Load(); d != nil {
		if _, ok := d.Groups[name]; ok {
			return true
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.groups[name]
	return ok
}

// blind reports whether this host does not hear from the store.
func (e *Engine) blind() bool { return e.StoreLost != nil && e.StoreLost() }

func (g *group) allPools() []*pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(maps.Values(g.pools))
}

func (g *group) dropPool(id replicaset.EndpointID) {
	g.mu.Lock()
	p := g.pools[id]
	delete(g.pools, id)
	g.mu.Unlock()
	if p != nil {
		p.close()
	}
}

// pool returns the connection pool of a member. An endpoint that restarted or
// moved to another address gets a new pool.
func (e *Engine) pool(g *group, m replicaset.Member) *pool {
	e.mu.Lock()
	hosts := e.hosts
	e.mu.Unlock()
	e.upkeep.Add(g)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.usedAt = e.BootTime()
	p, ok := g.pools[m.ID]
	old := p
	if ok && (p.member.Started != m.Started || p.member.Address != m.Address) {
		go p.close()
		ok = false
	}
	if !ok {
		p = &pool{member: m, dial: e.dialMember, now: e.Now, bootTime: e.BootTime, gate: newGate(e.Now, m.Slots), fair: e.usesAccounts}
		p.gate.fair = e.usesAccounts
		e.initPace(g, p, old)
		p.setShare(g.policy.MaxConnections, hosts)
		g.pools[m.ID] = p
	}
	e.updateRole(g, p)
	return p
}

// setPolicy sets the policy of a group and this host's equal share of the connections to its
// endpoints, which Maintain replaces by that of a holder. It reports whether there are any.
func (g *group) setPolicy(policy GroupPolicy, hosts int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.policy = policy
	for _, p := range g.pools {
		p.setShare(policy.MaxConnections, hosts)
	}
	return len(g.pools) > 0
}

// splitConnections divides an endpoint's connections among the hosts. share is
// what each host may always hold. limit allows one more while other hosts leave
// theirs unused: if they use them all, the endpoint itself refuses it.
func splitConnections(maxConnections, hosts int) (share, limit int) {
	if maxConnections == 0 {
		return 1, 2
	}
	share = max(maxConnections/max(hosts, 1), 1)
	return share, min(share+1, maxConnections)
}

// ConnectionCounts counts the open and idle connections to an endpoint, the requests that wait
// for one, and the connections that were closed to make room for another account.
type ConnectionCounts struct{ Open, Idle, Waiting, Evicted int }

// ReportConnections reports the connections to each endpoint.
func (e *Engine) ReportConnections(report func(g session.Group, id replicaset.EndpointID, n ConnectionCounts)) {
	for _, g := range e.allGroups() {
		for _, p := range g.allPools() {
			report(g.Name, p.member.ID, p.counts())
		}
	}
}
