package engine

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/guard"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// Engine serves all sessions of one entry host. Exported fields are set before
// the first session.
type Engine struct {
	Zone string
	// Regions tells the region of each zone; nil takes each zone for a region.
	Regions map[string]string
	// Now reads the clock for timeouts.
	Now func() time.Time
	// Boot reads a clock that also counts suspended time.
	Boot func() replicaset.Instant
	// Dial opens a connection to an endpoint.
	Dial func(ctx context.Context, m replicaset.Member) (*Conn, error)
	// Lenders, if set, tells who holds connections to an endpoint for this host,
	// and how many hosts share them; 0 where each host holds its own.
	Lenders func(m replicaset.Member, maxConnections int) (addresses []string, holders int)
	// Detours lists the hosts to ask for a connection to an endpoint that this
	// host does not reach, the first choice first.
	Detours func(m replicaset.Member) (addresses []string)
	// Borrow runs a call over a connection of another host, in the transaction that
	// the handle names, 0 for none.
	Borrow func(address string, m replicaset.Member, handle uint64, call Call) (FarAnswer, error)
	// Recorded reads the recorded leadership of a group in the store, version 0 if
	// there is none; the answer is not older than the instant it returns.
	Recorded func(g session.Group) (lead replicaset.Lead, readAt replicaset.Instant, err error)
	// Learn asks another host what it knows of a group.
	Learn func(address string, g session.Group, until time.Time) (replicaset.Knowledge, error)
	// Warm opens the way to another host ahead of demand.
	Warm func(address string)
	// Return ends a transaction that a call at another host left open.
	Return func(address string, handle uint64)
	// Event reports a decision; it must not block.
	Event func(Event)

	declared atomic.Pointer[Declared]

	mu     sync.Mutex
	groups map[session.Group]*group
	hosts  int
}

// Event is one decision about a statement or a belief.
type Event struct {
	Request  string
	Group    session.Group
	Endpoint replicaset.EndpointID
	Decision string
	Code     Code
	Reason   string
	Age      time.Duration
	// Failover marks the decisions about primaries.
	Failover bool
}

// group is one database group with the connections to its members.
type group struct {
	*replicaset.Set

	mu       sync.Mutex
	pools    map[replicaset.EndpointID]*pool
	policy   GroupPolicy
	question *question
	// refreshing is the renewal of proof and position under way, if any.
	refreshing *question
}

// Panicked reports a task that ended by a panic.
func (e *Engine) Panicked(task, cause string) {
	e.event(Event{Decision: "panic", Reason: task + ": " + cause, Failover: true})
}

// Malformed reports a message of another host that could not be read.
func (e *Engine) Malformed(from string, err error) {
	e.event(Event{Decision: "malformed_message", Reason: from + ": " + err.Error(), Failover: true})
}

// start runs a task beside the sessions.
func (e *Engine) start(task string, f func()) { go guard.Run(task, e.Panicked, f) }

func (e *Engine) event(v Event) {
	if e.Event != nil {
		e.Event(v)
	}
}

// Declared returns what is in force, or nil.
func (e *Engine) Declared() *Declared { return e.declared.Load() }

// Apply puts a newer declaration in force. An older one is ignored.
func (e *Engine) Apply(d *Declared) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if old := e.declared.Load(); old != nil && d.Version <= old.Version {
		return false
	}
	e.declared.Store(d)
	for name, g := range e.groups {
		g.setPolicy(d.Groups[name], e.hosts)
	}
	return true
}

// SetHosts tells how many entry hosts share the connections.
func (e *Engine) SetHosts(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hosts = max(n, 1)
	for _, g := range e.groups {
		g.setPolicy(g.policy, e.hosts)
	}
}

// Group returns a group's members, making it when it is new.
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
	if d := e.declared.Load(); d != nil {
		g.policy = d.Groups[name]
	}
	if e.groups == nil {
		e.groups = make(map[session.Group]*group)
	}
	e.groups[name] = g
	return g
}

// Groups returns all groups.
func (e *Engine) Groups() []*replicaset.Set {
	var all []*replicaset.Set
	for _, g := range e.all() {
		all = append(all, g.Set)
	}
	return all
}

func (e *Engine) all() []*group {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Collect(maps.Values(e.groups))
}

// Policy returns what is declared for a group.
func (e *Engine) Policy(name session.Group) GroupPolicy {
	if d := e.declared.Load(); d != nil {
		return d.Groups[name]
	}
	return GroupPolicy{}
}

// Maintain forgets members that are gone and returns surplus connections. It is
// called a few times a second.
func (e *Engine) Maintain() {
	now := e.Boot()
	for _, g := range e.all() {
		for _, id := range g.Expire(now) {
			g.drop(id)
		}
		for _, p := range g.all() {
			e.reshare(p)
			p.trim()
		}
		e.keepFresh(g, now)
	}
}

func (g *group) all() []*pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(maps.Values(g.pools))
}

func (g *group) drop(id replicaset.EndpointID) {
	g.mu.Lock()
	p := g.pools[id]
	delete(g.pools, id)
	g.mu.Unlock()
	if p != nil {
		p.shut()
	}
}

// pool returns the connections to a member. An endpoint that started anew, or
// moved, gets a new pool.
func (e *Engine) pool(g *group, m replicaset.Member) *pool {
	e.mu.Lock()
	hosts := e.hosts
	e.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.pools[m.ID]
	if ok && (p.member.Started != m.Started || p.member.Address != m.Address) {
		go p.shut()
		ok = false
	}
	if !ok {
		p = &pool{member: m, dial: e.Dial, now: e.Now, gate: newGate(e.Now, m.Slots)}
		p.setShare(g.policy.MaxConnections, hosts)
		g.pools[m.ID] = p
	}
	return p
}

func (g *group) setPolicy(policy GroupPolicy, hosts int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.policy = policy
	for _, p := range g.pools {
		p.setShare(policy.MaxConnections, hosts)
	}
}

// shares splits an endpoint's connections between the hosts. A host may borrow
// beyond its share: the endpoint refuses truthfully what is too much.
func shares(maxConnections, hosts int) (share, limit int) {
	if maxConnections == 0 {
		return 1, 2
	}
	share = max(maxConnections/max(hosts, 1), 1)
	return share, min(share+1, maxConnections)
}

// Loads reports the connections held to each endpoint.
func (e *Engine) Loads(report func(g session.Group, id replicaset.EndpointID, open, idle, waiting int)) {
	for _, g := range e.all() {
		for _, p := range g.all() {
			open, idle, waiting := p.load()
			report(g.Name, p.member.ID, open, idle, waiting)
		}
	}
}
