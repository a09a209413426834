package engine

import (
	"errors"
	"slices"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// maxLenders bounds how many hosts are asked to run a call before this host
	// tries the endpoint itself.
	maxLenders = 2
	// sharedPart is the part of an endpoint's connections that their holders share;
	// the rest is for hosts that reach the endpoint and none of the holders.
	sharedPart = 0.8
	// strayLimit is how many of these one host opens.
	strayLimit = 2
)

// ErrLenderAway says that another host could not be asked.
var ErrLenderAway = errors.New("lending host is away")

// ErrUnreached says that a host that holds an endpoint's connections does not reach
// the endpoint.
var ErrUnreached = errors.New("the lending host does not reach the endpoint")

// ErrFull says that no connection to an endpoint is to be had, and ErrNoConnection
// that none became free in time.
var (
	ErrFull         = errFull
	ErrNoConnection = errNoConnection
)

// ErrNoProof says that nothing shows that a primary still leads.
var ErrNoProof = errNoProof

// ErrNoPosition says that no position of a primary is young enough for a read.
var ErrNoPosition = errNoPosition

// ErrOverloaded says that more waits for an endpoint than it serves in time.
var ErrOverloaded = errOverloaded

// Loan is a connection that this host lends to another one: for one call, or
// until the transaction ends that the call opened.
type Loan struct {
	e    *Engine
	g    *group
	m    replicaset.Member
	pool *pool
	conn *Conn
	// after is the position that this host chose for the call.
	after session.Point
}

// FarAnswer is what a host that lent a connection answers to a call.
type FarAnswer struct {
	Outcomes []Outcome
	// Handle names the transaction that the call left open, 0 for none.
	Handle uint64
	// Known is what that host knows of the group.
	Known replicaset.Knowledge
}

// Lend takes a connection to an endpoint for another host.
func (e *Engine) Lend(name session.Group, id replicaset.EndpointID, call Call) (*Loan, error) {
	g := e.group(name)
	m, ok := g.Member(id)
	if !ok {
		return nil, &DialError{Code: WrongEndpoint}
	}
	after, err := e.positionFor(g, call)
	if err != nil {
		return nil, err
	}
	p := e.pool(g, m)
	if p.cutOff() {
		return nil, ErrUnreached
	}
	c, err := e.ownProved(g, p, call)
	if err != nil {
		e.failed(g, p, err)
		return nil, e.noteCut(p, err)
	}
	p.used(e.Boot())
	return &Loan{e: e, g: g, m: m, pool: p, conn: c, after: after}, nil
}

// ownProved returns a connection of this host for a call, with the proof that the
// call asks for.
func (e *Engine) ownProved(g *group, p *pool, call Call) (*Conn, error) {
	lead, came := g.Lead(), e.Boot()
	if call.Proof && lead.ID != p.member.ID {
		return nil, errNoProof
	}
	c, err := p.own(call.Until, call.Class, call.Want.Values)
	if err != nil || !call.Proof {
		return c, err
	}
	if err := e.prove(g, lead, came, c); err != nil {
		p.release(c)
		return nil, err
	}
	return c, nil
}

// Tell returns what this host knows of a group, for a host that holds connections
// to other members: it asks the endpoints first where it knows nothing young.
func (e *Engine) Tell(name session.Group, until time.Time) replicaset.Knowledge {
	g := e.group(name)
	if !g.Known(e.Boot()).Fresh(freshProof, freshSample) {
		e.awaitPosition(g, until)
	}
	return g.Known(e.Boot())
}

// knower returns the host that holds the connections to a group's primary, if that
// is another one: it has proofs and positions anyway.
func (e *Engine) knower(g *group, primary replicaset.Member) (address string, ok bool) {
	if e.Lenders == nil || e.Learn == nil {
		return "", false
	}
	lenders, holders := e.Lenders(primary, g.maxConnections())
	if holders == 0 || slices.Contains(lenders[:holders], "") {
		return "", false
	}
	return lenders[0], true
}

// positionFor chooses the position that the endpoint must have where a call leaves
// that to this host. A host that holds connections has a young one at hand; it
// asks where it has none.
func (e *Engine) positionFor(g *group, call Call) (session.Point, error) {
	if call.Fresh == nil {
		return session.Point{}, nil
	}
	came := e.Boot()
	need, ok := g.Need(came, call.Fresh.MaxAge, call.Fresh.Seen)
	if !ok {
		e.awaitPosition(g, call.Until)
		need, ok = g.Need(came, call.Fresh.MaxAge, call.Fresh.Seen)
	}
	if !ok {
		return session.Point{}, errNoPosition
	}
	return need, nil
}

// borrows reports whether another host holds the connections to a member for this
// one.
func (e *Engine) borrows(g *group, m replicaset.Member) bool {
	if e.Lenders == nil {
		return false
	}
	lenders, holders := e.Lenders(m, g.maxConnections())
	return holders > 0 && lenders[0] != ""
}

// Run runs a call of the borrower.
func (l *Loan) Run(call Call) ([]Outcome, error) {
	if call.Fresh != nil {
		call.Ops[0].After = l.after
	}
	out, err := l.e.perform(l.g, l.m, l.conn, call)
	if err != nil {
		l.e.failed(l.g, l.pool, err)
	}
	return out, err
}

// Known returns what this host knows of the loan's group.
func (l *Loan) Known() replicaset.Knowledge { return l.g.Known(l.e.Boot()) }

// Over reports whether the borrower needs the connection no more: no transaction
// is open on it.
func (l *Loan) Over() bool { return l.conn.broken || l.conn.state == Idle }

// Break ends the loan of a borrower that is gone, with its transaction.
func (l *Loan) Break() {
	l.conn.broken = true
	l.End()
}

// End gives the connection back.
func (l *Loan) End() { l.pool.release(l.conn) }

// borrowed is a connection that another host holds. Nothing is asked of that
// host before the first call; a call that leaves no transaction open also gives
// the connection back.
type borrowed struct {
	e    *Engine
	pool *pool
	// addresses are the hosts to ask, in this order; an empty one is this host.
	addresses []string
	// detour tells that the hosts are asked because this one does not reach the
	// endpoint: any of them that cannot help is passed over.
	detour bool

	address string
	handle  uint64
	own     *Conn
}

func (e *Engine) borrow(p *pool, addresses []string, detour bool) *Conn {
	b := &borrowed{e: e, pool: p, addresses: addresses, detour: detour}
	return &Conn{Endpoint: p.member.ID, Far: b.run, GiveBack: b.giveBack}
}

// run asks the hosts until one has taken the call.
func (b *borrowed) run(call Call) ([]Outcome, error) {
	if b.own != nil {
		return b.own.Run(call)
	}
	if b.handle != 0 {
		return b.ask(b.address, call)
	}
	err := NotSent(ErrLenderAway)
	for i, address := range b.addresses {
		if address == "" || i == maxLenders {
			break
		}
		var out []Outcome
		out, err = b.ask(address, call)
		if Sent(err) || err == nil || !b.detour && !errors.Is(err, ErrLenderAway) && !errors.Is(err, ErrUnreached) {
			return out, err
		}
		b.e.event(Event{Group: b.pool.member.Group, Endpoint: b.pool.member.ID, Decision: "lender_away", Reason: err.Error()})
	}
	if b.detour || errors.Is(err, ErrUnreached) && !b.pool.mayDetour() {
		b.pool.noDetour()
		return nil, err
	}
	out, err := b.runOwn(call)
	if err != nil && b.own == nil && unreachable(err) {
		// Nobody reaches the endpoint: others are not asked to wait for this host to
		// find that out again.
		b.pool.noDetour()
	}
	return out, err
}

// runOwn runs a call over a connection of this host.
func (b *borrowed) runOwn(call Call) ([]Outcome, error) {
	g := b.e.group(b.pool.member.Group)
	after, err := b.e.positionFor(g, call)
	if err != nil {
		return nil, NotSent(err)
	}
	if call.Fresh != nil {
		call.Ops[0].After = after
	}
	c, err := b.e.ownProved(g, b.pool, call)
	if err != nil {
		return nil, NotSent(err)
	}
	b.own = c
	return c.Run(call)
}

func (b *borrowed) ask(address string, call Call) ([]Outcome, error) {
	asked := b.e.Boot()
	a, err := b.e.Borrow(address, b.pool.member, b.handle, call)
	b.address, b.handle = address, a.Handle
	if err == nil {
		b.e.group(b.pool.member.Group).Learned(asked, a.Known)
	}
	return a.Outcomes, err
}

func (b *borrowed) giveBack() {
	if b.own != nil {
		b.pool.release(b.own)
	}
	if b.handle != 0 {
		b.e.Return(b.address, b.handle)
	}
}

// acquire returns a connection of this host or a borrowed one.
func (e *Engine) acquire(p *pool, until time.Time, class int, values map[string]string) (*Conn, error) {
	if e.Lenders == nil {
		return p.own(until, class, values)
	}
	lenders, holders := e.Lenders(p.member, p.maxConnections())
	if holders == 0 {
		return e.direct(p, until, class, values)
	}
	p.shareWith(holders, slices.Contains(lenders[:holders], ""))
	if lenders[0] == "" {
		return e.direct(p, until, class, values)
	}
	return e.borrow(p, lenders, false), nil
}

// reshare takes a change of the holders up without waiting for a statement.
func (e *Engine) reshare(p *pool) {
	if e.Lenders == nil {
		return
	}
	if lenders, holders := e.Lenders(p.member, p.maxConnections()); holders > 0 {
		p.shareWith(holders, slices.Contains(lenders[:holders], ""))
	}
}

func (p *pool) maxConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpointLimit
}

// shareWith sets the share of a host that holds an endpoint's connections
// together with others. One that holds none gives back those that it opened
// before it knew.
func (p *pool) shareWith(holders int, mine bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lent = mine
	if !mine {
		p.share, p.limit = 0, strayLimit
		return
	}
	p.share = max(int(float64(p.endpointLimit)*sharedPart)/holders, 1)
	p.limit = p.share
}
