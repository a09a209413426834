package engine

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/fairqueue"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// dialTimeout bounds the setup of one connection to an endpoint.
	dialTimeout = 400 * time.Millisecond
	// fullBackoff is how long a pool opens no further connections after the
	// endpoint had none left. emptyBackoff is the same for a pool without any
	// connection.
	fullBackoff  = 250 * time.Millisecond
	emptyBackoff = 30 * time.Millisecond
	// surplusIdleTimeout is how long an idle connection above the host's share
	// is kept.
	surplusIdleTimeout = 400 * time.Millisecond
	// reserveIdleTimeout is how long an idle connection within the share is
	// kept, beyond those that a host always keeps. When hosts lose power, their
	// connections stay open at the endpoint for seconds, and hosts that start
	// again need free ones.
	reserveIdleTimeout = 1500 * time.Millisecond
	// minOpen is how many connections a host keeps open even if they are not
	// used.
	minOpen = 1
	// connectionCost is what each use of a connection counts in the order of waiting requests.
	connectionCost = initialServiceTime
)

// errFull reports that the endpoint has no connection left.
var errFull = errors.New("endpoint has no connection left")

// errNoConnection reports that no connection became free in time.
var errNoConnection = errors.New("no connection became free in time")

// DialError reports that the endpoint refused to open a connection.
type DialError struct{ Code Code }

// Error returns the text of the refusal.
func (e *DialError) Error() string { return "endpoint refused a connection: " + e.Code.String() }

// grant is what a waiter receives: a connection, permission to dial one, or
// neither if it has to give up.
type grant struct {
	conn    *Conn
	mayDial bool
}

// noAccount is the account of control requests, and of all work where accounts are not in use.
const noAccount = session.Account("")

// connNeed is what a request needs of a connection: the account that it belongs to, the class
// in the queue, lowest first, and the session values that it has, if possible.
type connNeed struct {
	account session.Account
	class   int
	weight  float64
	values  map[string]string
}

// waiter is a request that waits for a connection.
type waiter struct {
	ready   chan grant
	class   int
	account session.Account
	since   time.Time
	item    *fairqueue.Item[*waiter]
}

// pool holds this host's connections to one endpoint.
type pool struct {
	member replicaset.Member
	dial   func(ctx context.Context, m replicaset.Member, a session.Account) (*Conn, error)
	now    func() time.Time
	// bootTime is the clock of Call.SendBy.
	bootTime func() replicaset.Instant
	gate     *gate

	mu   sync.Mutex
	idle []*Conn
	// open counts the connections, including those being dialed. share is how
	// many the host may always hold, limit the most that it may open.
	open int
	// opening counts the connections being dialed for accounts.
	opening int
	share   int
	limit   int
	// fair reports whether waiting requests are ordered by account.
	fair func() bool
	// lends means that this host holds the connections for other hosts, too.
	lends bool
	// endpointLimit is how many connections the endpoint accepts from all hosts
	// together.
	endpointLimit int
	fullUntil     time.Time
	// evicted counts the connections closed to make room for another account.
	evicted int
	waiting fairqueue.Queue[*waiter]
	closed  bool
	// unreachable means that this host cannot reach the endpoint.
	unreachable        bool
	detourBackoffUntil time.Time
	// borrowedAt is when another host last borrowed a connection. prewarming is
	// set while a connection is opened ahead of demand.
	borrowedAt replicaset.Instant
	prewarming bool
}

// setShare sets how many connections the host may always hold, and how many it
// may open while other hosts leave theirs unused.
func (p *pool) setShare(endpointLimit, hosts int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endpointLimit = endpointLimit
	p.share, p.limit = splitConnections(endpointLimit, hosts)
	p.lends = false
}

// acquire returns a connection of this host, preferably an idle one that has the
// session values of the need. Lower classes go first.
func (p *pool) acquire(deadline time.Time, need connNeed) (*Conn, error) {
	p.mu.Lock()
	if rest := p.fullUntil.Sub(p.now()); p.open == 0 && rest > 0 && p.fullUntil.Before(deadline) {
		p.mu.Unlock()
		time.Sleep(rest)
		p.mu.Lock()
	}
	if c := p.takeIdle(need); c != nil {
		p.mu.Unlock()
		return c, nil
	}
	if p.reserveOpening(need.account) {
		p.mu.Unlock()
		return p.connect(deadline, need)
	}
	if p.closed || p.open == 0 {
		p.mu.Unlock()
		return nil, errFull
	}
	w := p.newWaiter(need)
	ahead := p.enqueue(w, need.weight)
	if p.gate != nil && !p.gate.canServe(ahead+1, deadline) {
		p.removeWaiter(w)
		p.mu.Unlock()
		return nil, errOverloaded
	}
	p.mu.Unlock()
	return p.wait(w, deadline, need)
}

func (p *pool) newWaiter(need connNeed) *waiter {
	return &waiter{ready: make(chan grant, 1), class: need.class, account: need.account, since: p.now()}
}

// wait waits until a queued waiter is served or the deadline has passed.
func (p *pool) wait(w *waiter, deadline time.Time, need connNeed) (*Conn, error) {
	t := time.NewTimer(deadline.Sub(p.now()))
	defer t.Stop()
	var g grant
	select {
	case g = <-w.ready:
	case <-t.C:
		if p.cancelWaiter(w) {
			return nil, errNoConnection
		}
		g = <-w.ready
	}
	if g.conn != nil {
		return g.conn, nil
	}
	if g.mayDial {
		return p.connect(deadline, need)
	}
	return nil, errFull
}

// waitQueue returns the queue of the waiting requests. Where accounts are in use, it is fair
// between them and gives reads a share beside writes.
func (p *pool) waitQueue() *fairqueue.Queue[*waiter] {
	p.waiting.Strict = p.fair == nil || !p.fair()
	return &p.waiting
}

// enqueue queues a waiter and returns how many are ahead of it.
func (p *pool) enqueue(w *waiter, weight float64) int {
	q := p.waitQueue()
	r := fairqueue.Request{Class: w.class, Account: w.account, Weight: weight}
	ahead := q.Ahead(r, w.since, connectionCost)
	w.item = q.Push(r, w, w.since, connectionCost)
	return ahead
}

// cancelWaiter removes a waiter and reports whether it was still queued.
func (p *pool) cancelWaiter(w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.removeWaiter(w)
}

// removeWaiter is cancelWaiter for a caller that holds p.mu.
func (p *pool) removeWaiter(w *waiter) bool { return p.waiting.Remove(w.item) }

// firstWaiter returns the request that is served next, or nil if none waits.
func (p *pool) firstWaiter() *waiter {
	it := p.waitQueue().Next(p.now(), connectionCost)
	if it == nil {
		return nil
	}
	return it.Value
}

// serve removes a waiter and gives it a connection or the permission to dial one.
func (p *pool) serve(w *waiter, g grant) {
	p.waitQueue().Take(w.item, connectionCost)
	w.ready <- g
}

// takeIdle removes and returns an idle connection of the account, preferably one that has
// the session values. It returns nil if none is idle.
func (p *pool) takeIdle(need connNeed) *Conn {
	best := -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].account != need.account {
			continue
		}
		if best < 0 {
			best = i
		}
		if p.idle[i].hasValues(need.values) {
			best = i
			break
		}
	}
	if best < 0 {
		return nil
	}
	return p.removeIdle(best)
}

// takeAnyIdle removes and returns the idle connection that was used last, of whichever
// account. It returns nil if none is idle.
func (p *pool) takeAnyIdle() *Conn {
	if len(p.idle) == 0 {
		return nil
	}
	return p.removeIdle(len(p.idle) - 1)
}

func (p *pool) removeIdle(i int) *Conn {
	c := p.idle[i]
	p.idle = append(p.idle[:i], p.idle[i+1:]...)
	return c
}

func (p *pool) canOpen() bool {
	return !p.closed && p.open < p.limit && p.now().After(p.fullUntil)
}

// connect dials a connection that is already counted in p.open. If the endpoint
// has none left, it waits for one of the pool's other connections.
func (p *pool) connect(deadline time.Time, need connNeed) (*Conn, error) {
	limit := p.now().Add(dialTimeout)
	short := deadline.Before(limit)
	if !short {
		deadline = limit
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	c, err := p.dial(ctx, p.member, need.account)
	p.endOpening(need.account)
	if err != nil && short && ctx.Err() != nil {
		// The caller had too little time, which does not indicate a fault of the
		// endpoint.
		err = errors.Join(errNoConnection, err)
	}
	if err == nil {
		c.gate, c.account, c.bootTime = p.gate, need.account, p.bootTime
		if c.RoundTrip > 0 {
			p.gate.noteRoundTrip(c.RoundTrip)
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
		p.grantOpenings()
		p.mu.Unlock()
		return nil, err
	}
	if p.reserveOpening(need.account) {
		// An idle connection of another account was closed to make room.
		p.mu.Unlock()
		return p.connect(deadline, need)
	}
	w := p.newWaiter(need)
	p.enqueue(w, need.weight)
	p.mu.Unlock()
	return p.wait(w, deadline, need)
}

// backoff returns how long no further connection is opened after the endpoint
// had none left.
func (p *pool) backoff() time.Duration {
	if p.open == 0 {
		return emptyBackoff
	}
	return fullBackoff
}

// failWaiters rejects all waiters if the pool has no connection that could
// become free.
func (p *pool) failWaiters() {
	if p.open > 0 {
		return
	}
	for _, it := range p.waiting.Drain() {
		it.Value.ready <- grant{}
	}
}

// release passes a connection to the next waiter, or else returns it to the pool
// or to the host that lent it. A connection that is not reusable is closed, which
// rolls back its transaction.
func (p *pool) release(c *Conn) {
	if c.EndLoan != nil {
		c.EndLoan()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.reusable() || p.closed {
		p.open--
		c.Close()
		if w := p.firstWaiter(); w != nil && p.reserveOpening(w.account) {
			p.serve(w, grant{mayDial: true})
		}
		p.failWaiters()
		return
	}
	if w := p.nextWaiter(c.account); w != nil {
		p.serve(w, grant{conn: c})
		return
	}
	c.idleSince = p.now()
	p.idle = append(p.idle, c)
	p.grantOpenings()
}

// trim closes idle connections above the host's share, and those that have not
// been used for a while.
func (p *pool) trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		rest := p.now().Sub(p.idle[0].idleSince)
		if (p.open <= p.share || rest <= surplusIdleTimeout) && (p.open <= p.openTarget() || rest <= reserveIdleTimeout) {
			return
		}
		p.idle[0].Close()
		p.idle = p.idle[1:]
		p.open--
	}
}

// openTarget is how many connections are kept open without use: more if other
// hosts borrow them.
func (p *pool) openTarget() int {
	if p.lends {
		return p.prewarmTarget()
	}
	return minOpen
}

// prewarmTarget is how many connections a lending host opens ahead of demand.
func (p *pool) prewarmTarget() int { return min(p.share, max(p.member.Slots, 1)+prewarmSpare) }

// close closes the pool. Connections in use are closed when they are released.
func (p *pool) close() {
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

// closeIdle closes the idle connections, after one connection was found broken.
func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.Close()
		p.open--
	}
	p.idle = nil
}

// stats returns the number of open and idle connections, and of waiters.
func (p *pool) stats() (open, idle, waiting int) {
	n := p.counts()
	return n.Open, n.Idle, n.Waiting
}

func (p *pool) counts() ConnectionCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return ConnectionCounts{Open: p.open, Idle: len(p.idle), Waiting: p.waiting.Len(), Evicted: p.evicted}
}
