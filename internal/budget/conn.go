package budget

import (
	"math"
	"sync/atomic"
	"time"
)

// Kind is the kind of a connection that a peer opens.
type Kind int

// The kinds of connections.
const (
	// Clients are connections of applications.
	Clients Kind = iota
	// Hosts are connections of other hosts. They are started once a link is open on them.
	Hosts
	// Checks are connections of health checks and operators. They are never started.
	Checks
	numKinds
)

// String returns the name of the kind in metrics.
func (k Kind) String() string { return [...]string{"clients", "hosts", "checks"}[k] }

const (
	// reservedFDs are descriptors for files and the runtime.
	reservedFDs = 200
	// unstartedShare is the part of a kind's connections that may not have started.
	unstartedShare = 4
)

// descriptorShares has the parts of the descriptors in 16ths; the remaining 2 are for
// connections that the process opens itself. Links get as many as clients: with 860 hosts, a
// holder may have 860 of them.
var descriptorShares = [numKinds]int{Clients: 6, Hosts: 7, Checks: 1}

const (
	// hostCost is what a link takes in bytes, without its messages: 600 links with their
	// subscribers took 31 KiB each. checkCost is the same for an HTTP connection.
	hostCost, checkCost = 32 << 10, 16 << 10
)

// pool is the state of the connections of a kind.
type pool struct {
	// maxUnstarted and maxStarted are their largest numbers.
	maxUnstarted, maxStarted int
	// unstarted has the connections that have not started, oldest first.
	unstarted []*Conn
	started   map[*Conn]struct{}
	sources   map[string]int
}

// sizePools sizes the pools: by descriptors, and by what the connections take of the memory.
func (b *Budget) sizePools(memory int64, descriptors int) {
	costs := [numKinds]int64{Clients: b.shares.ClientCost, Hosts: hostCost, Checks: checkCost}
	for k := range b.pools {
		p := &b.pools[k]
		p.started, p.sources = make(map[*Conn]struct{}), make(map[string]int)
		n := math.MaxInt
		if descriptors > 0 {
			// A limit that is too low for the reserve is divided all the same.
			n = max(descriptors-reservedFDs, descriptors/4) * descriptorShares[k] / 16
		}
		if memory > 0 {
			n = min(n, int(memory*b.shares.Connections[k]/100/costs[k]))
		}
		p.maxUnstarted = max(n/unstartedShare, 4)
		p.maxStarted = max(n-p.maxUnstarted, 4)
		if Kind(k) == Checks {
			p.maxUnstarted = max(n, 4)
		}
	}
}

// State is what a connection does.
type State int32

// The states of a connection. Only idle ones may be closed for others.
const (
	// Idle: waits for a message.
	Idle State = iota
	// Busy: receives a message, runs it or sends an answer.
	Busy
	// InTransaction: waits for a message with an open transaction.
	InTransaction
	// evicted: is closed for another connection.
	evicted
)

// Conn is a connection of a peer. A nil Conn has no limits. Its methods, other than SetState
// and Interrupt, are called by the goroutine that serves it.
type Conn struct {
	b      *Budget
	kind   Kind
	source string
	// evict closes the connection. It is called without locks, and guarded by the budget's mutex.
	evict func()

	state atomic.Int32
	// since orders the connections by when they last became idle. It is not a time, because
	// reading the clock would add to each small message.
	since atomic.Uint64

	// The following are guarded by the budget's mutex.
	startedFlag, gone bool
	held              [numParts]int64
	// receiving is when the message that is received began, sending the same of an answer.
	receiving, sending time.Time
	waiter             *waiter
	// stateSizes is what the session's named values take.
	stateSizes map[string]int
}

// Open admits a new connection that has not started. If there are too many of those, the
// oldest of them is closed. A Conn must be closed by Close.
func (b *Budget) Open(k Kind, source string, evict func()) *Conn {
	if b == nil {
		return nil
	}
	c := &Conn{b: b, kind: k, source: source, evict: evict}
	c.since.Store(b.order.Add(1))
	b.mu.Lock()
	p := &b.pools[k]
	var victims []*Conn
	for len(p.unstarted) >= p.maxUnstarted {
		victims = append(victims, p.unstarted[0])
		b.remove(p.unstarted[0])
	}
	p.unstarted = append(p.unstarted, c)
	p.sources[source]++
	b.mu.Unlock()
	b.close(victims, NotStarted)
	return c
}

// Start marks a connection as started. If there are too many of those, the one that is
// idle for longest is closed, of the source that has the most.
func (c *Conn) Start() error {
	if c == nil {
		return nil
	}
	b := c.b
	b.mu.Lock()
	if c.gone {
		b.mu.Unlock()
		return ErrEvicted
	}
	p := &b.pools[c.kind]
	if c.startedFlag {
		b.mu.Unlock()
		return nil
	}
	var victims []*Conn
	if len(p.started) >= p.maxStarted {
		v := p.idlest()
		for v != nil && !v.evictIdle() {
			v = p.idlest()
		}
		if v == nil {
			b.mu.Unlock()
			b.Refused(ConnectionsFull)
			return ErrConnections
		}
		b.remove(v)
		victims = append(victims, v)
	}
	p.dropUnstarted(c)
	p.started[c] = struct{}{}
	c.startedFlag = true
	b.mu.Unlock()
	c.SetState(Idle)
	b.close(victims, ConnectionIdle)
	return nil
}

// idlest returns the idle connection that is closed first, or nil if there is none.
func (p *pool) idlest() *Conn {
	var v *Conn
	for c := range p.started {
		if State(c.state.Load()) != Idle {
			continue
		}
		if v == nil || p.sources[c.source] > p.sources[v.source] ||
			p.sources[c.source] == p.sources[v.source] && c.since.Load() < v.since.Load() {
			v = c
		}
	}
	return v
}

func (p *pool) dropUnstarted(c *Conn) {
	for i, other := range p.unstarted {
		if other == c {
			p.unstarted = append(p.unstarted[:i], p.unstarted[i+1:]...)
			return
		}
	}
}

// remove takes a connection out of its pool. What it holds is released when it is closed,
// since its goroutine still has it.
func (b *Budget) remove(c *Conn) {
	if c.gone {
		return
	}
	c.gone = true
	c.state.Store(int32(evicted))
	p := &b.pools[c.kind]
	if c.startedFlag {
		delete(p.started, c)
	} else {
		p.dropUnstarted(c)
	}
	if p.sources[c.source]--; p.sources[c.source] == 0 {
		delete(p.sources, c.source)
	}
	if c.waiter != nil {
		c.waiter.fail(ErrEvicted)
	}
}

// close closes connections that were removed.
func (b *Budget) close(victims []*Conn, r Reason) {
	for _, v := range victims {
		b.Refused(r)
		b.mu.Lock()
		evict := v.evict
		b.mu.Unlock()
		evict()
	}
}

// OnEvict replaces how the connection is closed for another one.
func (c *Conn) OnEvict(evict func()) {
	if c == nil {
		return
	}
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	c.evict = evict
}

// Close ends the accounting of a connection. All that it holds is released.
func (c *Conn) Close() {
	if c == nil {
		return
	}
	b := c.b
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(c)
	for p, n := range c.held {
		if n != 0 {
			b.release(c, Part(p), n)
		}
	}
}

// Interrupt ends the waiting of a connection for memory.
func (c *Conn) Interrupt() {
	if c == nil {
		return
	}
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	if c.waiter != nil {
		c.waiter.fail(ErrEvicted)
	}
}

// evictIdle marks an idle connection as closed for another one. It returns false if it is not idle
// any more.
func (c *Conn) evictIdle() bool { return c.state.CompareAndSwap(int32(Idle), int32(evicted)) }

// Begin notes that a message was read and is run now. It returns false if the connection is being
// closed for another one: the message must not be run then, since its answer could not be sent.
func (c *Conn) Begin() bool {
	return c == nil || c.change(Busy)
}

// change sets the state unless the connection is being closed for another one.
func (c *Conn) change(to State) bool {
	for {
		s := c.state.Load()
		if State(s) == evicted {
			return false
		}
		if c.state.CompareAndSwap(s, int32(to)) {
			return true
		}
	}
}

// SetState notes what the connection does.
func (c *Conn) SetState(s State) {
	if c == nil {
		return
	}
	if c.change(s) && s != Busy {
		c.since.Store(c.b.order.Add(1))
	}
}

// Connections returns the usage of the pools of connections, started and not started.
func (b *Budget) Connections() []Usage {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Usage
	for k := range b.pools {
		p := &b.pools[k]
		out = append(out,
			Usage{Kind(k).String(), int64(len(p.started)), int64(p.maxStarted)},
			Usage{Kind(k).String() + "_not_started", int64(len(p.unstarted)), int64(p.maxUnstarted)})
	}
	return out
}

// Refused reports a refusal of the connection that its caller has decided on.
func (c *Conn) Refused(r Reason) {
	if c != nil {
		c.b.Refused(r)
	}
}
