package endpoint

import (
	"context"
	"sync"
	"time"

	"github.com/benbjohnson/clock"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/pkg/result"
)

const (
	queuePerConn = 64
	idleKeep     = 30 * time.Second
)

// Pool lends connections to one endpoint. It never holds more than its limit,
// connections being opened included. The exported fields are set before use.
type Pool struct {
	Member   core.Member
	Database string
	Dialer   Dialer
	Clock    clock.Clock

	mu     sync.Mutex
	limit  int
	held   int
	idle   []*Conn
	lent   map[*Conn]bool
	queue  core.Queue[chan grant]
	hold   time.Duration
	demand int
}

// grant is an idle connection, or leave to open one, or an error.
type grant struct {
	conn *Conn
	err  error
}

// Stats describes a pool.
type Stats struct {
	Limit   int           `json:"limit"`
	Held    int           `json:"held"`
	Idle    int           `json:"idle"`
	Waiting int           `json:"waiting"`
	Hold    time.Duration `json:"hold_ns"`
	// Demand is the highest number wanted at once since the last TakeDemand.
	Demand int `json:"demand"`
}

// SetLimit sets how many connections may be held. Those above it are closed
// as they come back.
func (p *Pool) SetLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = n
	for p.held > p.limit && len(p.idle) > 0 {
		p.idle[0].Close()
		p.idle = p.idle[1:]
		p.held--
	}
	p.serveQueue()
}

// SetHost sets the run that new connections name to the endpoint.
func (p *Pool) SetHost(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Dialer.Host = host
}

// Held counts the connections held, those being opened included.
func (p *Pool) Held() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}

// Stats returns the pool's state.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{
		Limit: p.limit, Held: p.held, Idle: len(p.idle),
		Waiting: p.queue.Len(), Hold: p.hold, Demand: p.demand,
	}
}

// Wait estimates how long a request would wait for a connection now.
func (p *Pool) Wait() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limit == 0 {
		return connectTimeout
	}
	if len(p.idle) > 0 || p.held < p.limit {
		return 0
	}
	return p.hold * time.Duration(1+p.queue.Len()/p.limit)
}

// TakeDemand returns the highest demand since the last call and starts anew.
func (p *Pool) TakeDemand() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.demand
	p.demand = p.held - len(p.idle) + p.queue.Len()
	return d
}

// Acquire lends a connection, waiting in turn until ctx ends. Its refusals
// say truly that nothing was run.
func (p *Pool) Acquire(ctx context.Context, account string, class core.Class) (*Conn, error) {
	w, ch, err := p.enqueue(ctx, account, class)
	if err != nil {
		return nil, err
	}
	var g grant
	select {
	case g = <-ch:
	case <-ctx.Done():
		p.mu.Lock()
		waiting := p.queue.Remove(w)
		p.mu.Unlock()
		if waiting {
			return nil, result.New(result.QueueDeadline, "no connection to endpoint %s became free in time", p.Member.ID)
		}
		g = <-ch
	}
	if g.err != nil {
		return nil, g.err
	}
	if g.conn == nil {
		return p.open(ctx)
	}
	p.lend(g.conn)
	return g.conn, nil
}

func (p *Pool) lend(c *Conn) {
	c.begin(p.Clock.Now())
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lent == nil {
		p.lent = make(map[*Conn]bool)
	}
	p.lent[c] = true
}

func (p *Pool) enqueue(ctx context.Context, account string, class core.Class) (*core.Waiter[chan grant], chan grant, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = p.Clock.Now().Add(time.Hour)
	}
	if err := p.shed(deadline); err != nil {
		return nil, nil, err
	}
	ch := make(chan grant, 1)
	w := p.queue.Push(account, class, ch, deadline)
	p.demand = max(p.demand, p.held-len(p.idle)+p.queue.Len())
	p.serveQueue()
	return w, ch, nil
}

// shed refuses a request early that would not get its turn in time.
func (p *Pool) shed(deadline time.Time) error {
	waiting := p.queue.Len()
	if waiting >= queuePerConn*max(p.limit, 1) {
		return result.New(result.QueueFull, "%d requests wait for endpoint %s", waiting, p.Member.ID)
	}
	if p.limit == 0 || waiting < p.limit {
		return nil
	}
	expect := p.hold * time.Duration(waiting/p.limit)
	if p.Clock.Now().Add(expect).After(deadline) {
		return result.New(result.QueueFull, "the wait for endpoint %s would be %s", p.Member.ID, expect)
	}
	return nil
}

// serveQueue hands out what is free. The caller holds mu.
func (p *Pool) serveQueue() {
	for p.queue.Len() > 0 {
		if len(p.idle) == 0 && p.held >= p.limit {
			return
		}
		ch, ok := p.queue.Pop(p.Clock.Now())
		if !ok {
			return
		}
		if n := len(p.idle); n > 0 {
			c := p.idle[n-1]
			p.idle = p.idle[:n-1]
			ch <- grant{conn: c}
			continue
		}
		p.held++
		ch <- grant{}
	}
}

func (p *Pool) open(ctx context.Context) (*Conn, error) {
	p.mu.Lock()
	d := p.Dialer
	p.mu.Unlock()
	c, err := d.open(ctx, p.Member, p.Database)
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.held--
		p.serveQueue()
		return nil, err
	}
	p.lend(c)
	return c, nil
}

// Release takes a connection back. A connection that is not reusable is
// closed: it is inside a transaction, has an unread answer, or broke.
func (p *Pool) Release(c *Conn, reusable bool) {
	c.end()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.lent, c)
	p.noteHold(p.Clock.Since(c.lentAt))
	if !reusable || p.held > p.limit || c.Crowded() {
		c.Close()
		p.held--
	} else {
		p.idle = append(p.idle, c)
	}
	p.serveQueue()
}

func (p *Pool) noteHold(d time.Duration) {
	const weight = 16
	p.hold += (d - p.hold) / weight
}

// Reap closes connections that were idle for long, and all idle ones when the
// endpoint was lost.
func (p *Pool) Reap(lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if lost || now.Sub(c.lentAt) > idleKeep {
			c.Close()
			p.held--
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
	p.serveQueue()
}

// Abort breaks all connections, lent ones included: the endpoint is not heard
// any more and those that wait for its answers must not wait for ever.
func (p *Pool) Abort() {
	p.Reap(true)
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.lent {
		c.Close()
	}
}

// Close closes the idle connections and takes no new work.
func (p *Pool) Close() {
	p.SetLimit(0)
	p.Reap(true)
}
