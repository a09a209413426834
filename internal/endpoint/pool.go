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
	maxQueuedPerConn = 64
	idleTimeout      = 30 * time.Second
)

// Pool is a connection pool of one endpoint. It holds at most its limit of
// connections, including those being opened. The exported fields are set
// before use.
type Pool struct {
	Member   core.Member
	Database string
	Dialer   Dialer
	Clock    clock.Clock

	mu    sync.Mutex
	limit int
	// held counts idle and used connections and those being opened.
	held  int
	idle  []*Conn
	inUse map[*Conn]bool
	queue core.Queue[chan grant]
	// avgHold is the moving average of the time that a connection is in use.
	avgHold time.Duration
	// demand is the peak demand since the last TakeDemand.
	demand int
	// outOfStep counts the connections that were closed since they were out of step.
	outOfStep int
}

// grant is sent to a waiting request: an idle connection, permission to open
// one if conn is nil, or an error.
type grant struct {
	conn *Conn
	err  error
}

// Stats is a snapshot of a pool.
type Stats struct {
	Limit int `json:"limit"`
	Held  int `json:"held"`
	Idle  int `json:"idle"`
	// Waiting counts the requests that wait for a connection.
	Waiting int `json:"waiting"`
	// AvgHold is the average time that a connection is in use.
	AvgHold time.Duration `json:"hold_ns"`
	// Demand is the highest number of connections in use and requests waiting
	// since the last TakeDemand.
	Demand int `json:"demand"`
	// OutOfStep counts the connections that were closed because the endpoint had sent an
	// answer to no request.
	OutOfStep int `json:"out_of_step"`
}

// SetLimit sets the maximum number of connections. Excess connections are
// closed once they are idle.
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

// SetRunID sets the entry host run that new connections report to the
// endpoint.
func (p *Pool) SetRunID(runID string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Dialer.Host = runID
}

// Held counts the open connections, including those being opened.
func (p *Pool) Held() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}

// Stats returns a snapshot of the pool.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{
		Limit: p.limit, Held: p.held, Idle: len(p.idle),
		Waiting: p.queue.Len(), AvgHold: p.avgHold, Demand: p.demand, OutOfStep: p.outOfStep,
	}
}

// EstimateWait estimates how long a request would wait for a connection now.
func (p *Pool) EstimateWait() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limit == 0 {
		return connectTimeout
	}
	if len(p.idle) > 0 || p.held < p.limit {
		return 0
	}
	return p.avgHold * time.Duration(1+p.queue.Len()/p.limit)
}

// TakeDemand returns the peak demand since the last call and resets it to the
// current demand.
func (p *Pool) TakeDemand() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.demand
	p.demand = p.held - len(p.idle) + p.queue.Len()
	return d
}

// Acquire returns a connection that is in step, waiting in the queue until ctx
// ends. After an error nothing was sent to the endpoint.
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
		p.queue.Remove(w)
		p.mu.Unlock()
		select {
		case g = <-ch:
		default:
			// It was waiting, or the queue has passed it over as late.
			return nil, result.New(result.QueueDeadline, "no connection to endpoint %s became free in time", p.Member.ID)
		}
	}
	if g.err != nil {
		return nil, g.err
	}
	if g.conn != nil && !g.conn.InStep() {
		p.countStep(g.conn)
		g.conn.Close()
		g.conn = nil
	}
	if g.conn == nil {
		return p.open(ctx)
	}
	p.markInUse(g.conn)
	return g.conn, nil
}

func (p *Pool) markInUse(c *Conn) {
	c.beginUse(p.Clock.Now())
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inUse == nil {
		p.inUse = make(map[*Conn]bool)
	}
	p.inUse[c] = true
}

func (p *Pool) enqueue(ctx context.Context, account string, class core.Class) (*core.Waiter[chan grant], chan grant, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = p.Clock.Now().Add(time.Hour)
	}
	if err := p.rejectIfOverloaded(deadline); err != nil {
		return nil, nil, err
	}
	ch := make(chan grant, 1)
	w := p.queue.Push(account, class, ch, deadline)
	p.demand = max(p.demand, p.held-len(p.idle)+p.queue.Len())
	p.serveQueue()
	return w, ch, nil
}

// rejectIfOverloaded returns an error if the queue is full or the request
// would probably not be served before its deadline.
func (p *Pool) rejectIfOverloaded(deadline time.Time) error {
	waiting := p.queue.Len()
	if waiting >= maxQueuedPerConn*max(p.limit, 1) {
		return result.New(result.QueueFull, "%d requests wait for endpoint %s", waiting, p.Member.ID)
	}
	if p.limit == 0 || waiting < p.limit {
		return nil
	}
	expectedWait := p.avgHold * time.Duration(waiting/p.limit)
	if p.Clock.Now().Add(expectedWait).After(deadline) {
		return result.New(result.QueueFull, "the wait for endpoint %s would be %s", p.Member.ID, expectedWait)
	}
	return nil
}

// serveQueue grants free connections to waiting requests. p.mu must be held.
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

// open opens a connection for which held was already increased. If ctx ends first, the
// connection is completed for a later request: an endpoint that takes longer than
// requests may wait would otherwise never get one.
func (p *Pool) open(ctx context.Context) (*Conn, error) {
	p.mu.Lock()
	d := p.Dialer
	p.mu.Unlock()
	opened := make(chan grant, 1)
	go func() {
		c, err := d.open(context.WithoutCancel(ctx), p.Member, p.Database)
		opened <- grant{conn: c, err: err}
	}()
	select {
	case g := <-opened:
		if g.err != nil {
			p.dropOpening()
			return nil, g.err
		}
		p.markInUse(g.conn)
		return g.conn, nil
	case <-ctx.Done():
		go p.adopt(opened, d.Host)
		return nil, result.New(result.QueueDeadline, "no connection to endpoint %s was opened in time", p.Member.ID)
	}
}

// dropOpening gives up a connection that could not be opened.
func (p *Pool) dropOpening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held--
	p.serveQueue()
}

// adopt adds a connection to the idle ones once it is open, unless the run of the host
// has changed meanwhile.
func (p *Pool) adopt(opened <-chan grant, runID string) {
	g := <-opened
	if g.err != nil {
		p.dropOpening()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held > p.limit || p.Dialer.Host != runID {
		g.conn.Close()
		p.held--
	} else {
		g.conn.acquiredAt = p.Clock.Now()
		p.idle = append(p.idle, g.conn)
	}
	p.serveQueue()
}

// Release returns a connection to the pool. It is closed if it is not
// reusable, because it is inside a transaction or broken, or if it is out of
// step.
func (p *Pool) Release(c *Conn, reusable bool) {
	c.endUse()
	reusable = reusable && c.InStep()
	p.countStep(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inUse, c)
	p.recordHold(p.Clock.Since(c.acquiredAt))
	if !reusable || p.held > p.limit || c.TooManyPrepared() {
		c.Close()
		p.held--
	} else {
		p.idle = append(p.idle, c)
	}
	p.serveQueue()
}

// countStep counts a connection that is out of step.
func (p *Pool) countStep(c *Conn) {
	if !c.step.lost {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outOfStep++
}

func (p *Pool) recordHold(d time.Duration) {
	const ewmaDivisor = 16
	p.avgHold += (d - p.avgHold) / ewmaDivisor
}

// CloseIdle closes connections that were idle for idleTimeout. It closes all
// idle connections if all is set, as after the loss of the endpoint.
func (p *Pool) CloseIdle(all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if all || now.Sub(c.acquiredAt) > idleTimeout {
			c.Close()
			p.held--
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
	p.serveQueue()
}

// Abort closes all connections, including those in use, so that requests do
// not wait forever for an endpoint that stopped responding.
func (p *Pool) Abort() {
	p.CloseIdle(true)
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.inUse {
		c.Close()
	}
}

// Close closes the idle connections and sets the limit to 0, so that no new
// ones are opened.
func (p *Pool) Close() {
	p.SetLimit(0)
	p.CloseIdle(true)
}
