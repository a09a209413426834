package engine

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
)

const (
	// dialTimeout bounds the set-up of one connection to an endpoint.
	dialTimeout = 400 * time.Millisecond
	// fullBackoff is how long a pool opens nothing more after an endpoint had
	// no connection to give, and emptyBackoff the same for a pool that has none.
	fullBackoff  = 250 * time.Millisecond
	emptyBackoff = 30 * time.Millisecond
	// surplusIdle is how long a connection above the host's share is kept.
	surplusIdle = 400 * time.Millisecond
	// reserveIdle is how long a connection within the share is kept beyond those
	// that a host always keeps, while nobody uses it. When hosts lose power, what
	// they had open holds its place at the endpoint for seconds.
	reserveIdle = 1500 * time.Millisecond
	// keptIdle is how many connections a host always keeps.
	keptIdle = 1
)

// errFull says that the endpoint has no connection left.
var errFull = errors.New("endpoint has no connection left")

// errNoConnection says that no connection became free in time.
var errNoConnection = errors.New("no connection became free in time")

// DialError is a refusal by the endpoint to open a connection.
type DialError struct{ Code Code }

// Error names the refusal.
func (e *DialError) Error() string { return "endpoint refused a connection: " + e.Code.String() }

type grant struct {
	conn *Conn
	open bool
}

type waiter struct {
	ready chan grant
	class int
}

// pool holds this host's connections to one endpoint.
type pool struct {
	member replicaset.Member
	dial   func(ctx context.Context, m replicaset.Member) (*Conn, error)
	now    func() time.Time
	gate   *gate

	mu    sync.Mutex
	idle  []*Conn
	open  int
	share int
	limit int
	// lent tells that this host holds the connections for others.
	lent bool
	// endpointLimit is what the endpoint takes from all hosts together.
	endpointLimit int
	fullUntil     time.Time
	waiting       []*waiter
	closed        bool
	// isCut is set while this host does not reach the endpoint.
	isCut         bool
	noDetourUntil time.Time
	// usedAt is when another host last borrowed, opening is set while a
	// connection is opened ahead of demand.
	usedAt  replicaset.Instant
	opening bool
}

// setShare sets how many connections the host may always hold, and how many it
// may borrow while others leave theirs unused.
func (p *pool) setShare(endpointLimit, hosts int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endpointLimit = endpointLimit
	p.share, p.limit = shares(endpointLimit, hosts)
	p.lent = false
}

// own returns a connection that this host holds, preferring one that has the given values.
// Lower classes go first.
func (p *pool) own(deadline time.Time, class int, values map[string]string) (*Conn, error) {
	p.mu.Lock()
	if rest := p.fullUntil.Sub(p.now()); p.open == 0 && rest > 0 && p.fullUntil.Before(deadline) {
		p.mu.Unlock()
		time.Sleep(rest)
		p.mu.Lock()
	}
	if c := p.takeIdle(values); c != nil {
		p.mu.Unlock()
		return c, nil
	}
	if p.mayOpen() {
		p.open++
		p.mu.Unlock()
		return p.connect(deadline, class)
	}
	if p.closed || p.open == 0 {
		p.mu.Unlock()
		return nil, errFull
	}
	w := &waiter{ready: make(chan grant, 1), class: class}
	ahead := p.push(w)
	if p.gate != nil && !p.gate.serves(ahead+1, deadline) {
		p.drop(w)
		p.mu.Unlock()
		return nil, errOverloaded
	}
	p.mu.Unlock()
	return p.wait(w, deadline, class)
}

func (p *pool) wait(w *waiter, deadline time.Time, class int) (*Conn, error) {
	t := time.NewTimer(deadline.Sub(p.now()))
	defer t.Stop()
	var g grant
	select {
	case g = <-w.ready:
	case <-t.C:
		if p.remove(w) {
			return nil, errNoConnection
		}
		g = <-w.ready
	}
	if g.conn != nil {
		return g.conn, nil
	}
	if g.open {
		return p.connect(deadline, class)
	}
	return nil, errFull
}

// push adds a waiter by its class and returns how many come before it.
func (p *pool) push(w *waiter) int {
	i := len(p.waiting)
	for i > 0 && p.waiting[i-1].class > w.class {
		i--
	}
	p.waiting = append(p.waiting, nil)
	copy(p.waiting[i+1:], p.waiting[i:])
	p.waiting[i] = w
	return i
}

func (p *pool) remove(w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.drop(w)
}

func (p *pool) drop(w *waiter) bool {
	for i, o := range p.waiting {
		if o == w {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return true
		}
	}
	return false
}

func (p *pool) takeIdle(values map[string]string) *Conn {
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	best := n - 1
	for i := n - 1; i >= 0; i-- {
		if p.idle[i].fits(values) {
			best = i
			break
		}
	}
	c := p.idle[best]
	p.idle = append(p.idle[:best], p.idle[best+1:]...)
	return c
}

func (p *pool) mayOpen() bool {
	return !p.closed && p.open < p.limit && p.now().After(p.fullUntil)
}

func (p *pool) connect(deadline time.Time, class int) (*Conn, error) {
	limit := p.now().Add(dialTimeout)
	short := deadline.Before(limit)
	if !short {
		deadline = limit
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	c, err := p.dial(ctx, p.member)
	if err != nil && short && ctx.Err() != nil {
		// The caller had too little time; that says nothing of the endpoint.
		err = errors.Join(errNoConnection, err)
	}
	if err == nil {
		c.gate = p.gate
		if c.RoundTrip > 0 {
			p.gate.distance(c.RoundTrip)
		}
		return c, nil
	}
	p.mu.Lock()
	p.open--
	var refused *DialError
	full := errors.As(err, &refused) && refused.Code == TooManyConnections
	if full {
		p.fullUntil = p.now().Add(p.backoff())
	}
	others := p.open
	if !full || others == 0 {
		p.failWaiters()
		p.mu.Unlock()
		return nil, err
	}
	w := &waiter{ready: make(chan grant, 1), class: class}
	p.push(w)
	p.mu.Unlock()
	return p.wait(w, deadline, class)
}

func (p *pool) backoff() time.Duration {
	if p.open == 0 {
		return emptyBackoff
	}
	return fullBackoff
}

// failWaiters sends those away who wait for connections that don't exist.
func (p *pool) failWaiters() {
	if p.open > 0 {
		return
	}
	for _, w := range p.waiting {
		w.ready <- grant{}
	}
	p.waiting = nil
}

// release hands a connection on.
func (p *pool) release(c *Conn) {
	if c.GiveBack != nil {
		c.GiveBack()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.broken || p.closed {
		p.open--
		c.Close()
		if len(p.waiting) > 0 && p.mayOpen() {
			p.open++
			p.grantFirst(grant{open: true})
		}
		p.failWaiters()
		return
	}
	if len(p.waiting) > 0 {
		p.grantFirst(grant{conn: c})
		return
	}
	c.idleFrom = p.now()
	p.idle = append(p.idle, c)
}

func (p *pool) grantFirst(g grant) {
	w := p.waiting[0]
	p.waiting = p.waiting[1:]
	w.ready <- g
}

// trim closes idle connections above the host's share, and those that were not in
// use for a while.
func (p *pool) trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		rest := p.now().Sub(p.idle[0].idleFrom)
		if (p.open <= p.share || rest <= surplusIdle) && (p.open <= p.kept() || rest <= reserveIdle) {
			return
		}
		p.idle[0].Close()
		p.idle = p.idle[1:]
		p.open--
	}
}

// kept is how many connections are kept though nobody uses them: more where others
// borrow them.
func (p *pool) kept() int {
	if p.lent {
		return p.ahead()
	}
	return keptIdle
}

// ahead is how many connections a host that lends opens before somebody waits.
func (p *pool) ahead() int { return min(p.share, max(p.member.Slots, 1)+warmSpare) }

// shut closes the pool; connections in use are closed when they are released.
func (p *pool) shut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.Close()
		p.open--
	}
	p.idle = nil
	p.failWaiters()
}

// dropIdle closes the idle connections, after one of them was found dead.
func (p *pool) dropIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.Close()
		p.open--
	}
	p.idle = nil
}

func (p *pool) load() (open, idle, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle), len(p.waiting)
}
