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
	// holderFraction is the fraction of an endpoint's connections that its
	// holders share. The rest is for hosts that can reach the endpoint but none
	// of its holders.
	holderFraction = 0.8
	// nonHolderLimit is how many of these remaining connections one host may
	// open.
	nonHolderLimit = 2
)

// ErrLenderUnavailable reports that a lending host could not be reached or does not
// lend at present.
var ErrLenderUnavailable = errors.New("lending host is unavailable")

// ErrEndpointUnreachable reports that a host that holds an endpoint's connections cannot
// reach the endpoint.
var ErrEndpointUnreachable = errors.New("lending host cannot reach the endpoint")

// ErrFull reports that the endpoint has no connection left, and ErrNoConnection
// that none became free in time.
var (
	ErrFull         = errFull
	ErrNoConnection = errNoConnection
)

// ErrSendByPassed reports that the time to send a call had passed before its turn came.
var ErrSendByPassed = errSendByPassed

// ErrNoProof reports that there is no proof that a primary still leads.
var ErrNoProof = errNoProof

// ErrNoPosition reports that no known log position of a primary is recent enough
// for a read.
var ErrNoPosition = errNoPosition

// ErrOverloaded reports that more requests wait for an endpoint than it can
// serve in time.
var ErrOverloaded = errOverloaded

// Loan is a connection that this host lends to another host: for one call, or
// until the end of the transaction that the call opened.
type Loan struct {
	e    *Engine
	g    *group
	m    replicaset.Member
	pool *pool
	conn *Conn
	// minPosition is the log position that this host chose for the call.
	minPosition session.Point
}

// RemoteResult is the answer of a lending host to a call.
type RemoteResult struct {
	Outcomes []Outcome
	// Handle identifies the transaction that the call left open, 0 for none.
	Handle uint64
	// Knowledge is the lending host's knowledge of the group.
	Knowledge replicaset.Knowledge
}

// Lend acquires a connection to an endpoint for another host.
func (e *Engine) Lend(name session.Group, id replicaset.EndpointID, call Call) (*Loan, error) {
	g := e.group(name)
	m, ok := g.Member(id)
	if !ok {
		return nil, &DialError{Code: WrongEndpoint}
	}
	minPosition, err := e.requiredPosition(g, call)
	if err != nil {
		return nil, err
	}
	p := e.pool(g, m)
	if p.markedUnreachable() {
		return nil, ErrEndpointUnreachable
	}
	c, err := e.acquireProved(g, p, call)
	if err != nil {
		e.noteFailure(g, p, err)
		return nil, e.noteUnreachable(p, err)
	}
	p.noteBorrowed(e.BootTime())
	return &Loan{e: e, g: g, m: m, pool: p, conn: c, minPosition: minPosition}, nil
}

// acquireProved returns a connection of this host for a call, after it has
// obtained the leadership proof that the call may require.
func (e *Engine) acquireProved(g *group, p *pool, call Call) (*Conn, error) {
	lead, arrivedAt := g.Lead(), e.BootTime()
	if call.Proof && lead.ID != p.member.ID {
		return nil, errNoProof
	}
	c, err := p.acquire(call.QueueDeadline, connNeed{account: call.Account, class: call.Class, weight: call.Weight, values: call.SessionState.Values})
	if err != nil || !call.Proof {
		return c, err
	}
	if err := e.prove(g, lead, arrivedAt, c); err != nil {
		p.release(c)
		return nil, err
	}
	return c, nil
}

// Knowledge returns this host's knowledge of a group, for a host that holds
// connections to other members. If it is not recent, this host refreshes it
// first.
func (e *Engine) Knowledge(name session.Group, until time.Time) replicaset.Knowledge {
	g := e.group(name)
	if !g.Knowledge(e.BootTime()).Fresh(proofRefreshAge, sampleRefreshAge) {
		e.awaitPosition(g, until)
	}
	return g.Knowledge(e.BootTime())
}

// primaryHolder returns the host that holds the connections to a group's
// primary, if that is another host. It has recent proofs and positions for its
// own needs anyway.
func (e *Engine) primaryHolder(g *group, primary replicaset.Member) (address string, ok bool) {
	if e.Lenders == nil || e.FetchKnowledge == nil {
		return "", false
	}
	lenders, holders := e.Lenders(primary, g.maxConnections(), noAccount)
	if holders == 0 || slices.Contains(lenders[:holders], "") {
		return "", false
	}
	return lenders[0], true
}

// requiredPosition chooses the log position that the endpoint must have reached,
// if a call leaves the choice to this host. A host that holds connections
// usually knows a recent position; otherwise it waits for a refresh.
func (e *Engine) requiredPosition(g *group, call Call) (session.Point, error) {
	if call.Freshness == nil {
		return session.Point{}, nil
	}
	arrivedAt := e.BootTime()
	need, ok := g.RequiredPoint(arrivedAt, call.Freshness.MaxAge, call.Freshness.Seen)
	if !ok {
		e.awaitPosition(g, call.QueueDeadline)
		need, ok = g.RequiredPoint(arrivedAt, call.Freshness.MaxAge, call.Freshness.Seen)
	}
	if !ok {
		return session.Point{}, errNoPosition
	}
	return need, nil
}

// mustBorrow reports whether this host uses connections to a member that another
// host holds, for the statements of an account.
func (e *Engine) mustBorrow(g *group, m replicaset.Member, a session.Account) bool {
	if e.Lenders == nil {
		return false
	}
	lenders, holders := e.Lenders(m, g.maxConnections(), a)
	return holders > 0 && lenders[0] != ""
}

// Run runs a call of the borrowing host.
func (l *Loan) Run(call Call) ([]Outcome, error) {
	if call.Freshness != nil {
		call.Ops[0].MinPosition = l.minPosition
	}
	out, err := l.e.perform(l.g, l.m, l.conn, call)
	if err != nil {
		l.e.noteFailure(l.g, l.pool, err)
	}
	return out, err
}

// Knowledge returns this host's knowledge of the loan's group.
func (l *Loan) Knowledge() replicaset.Knowledge { return l.g.Knowledge(l.e.BootTime()) }

// Finished reports whether the loan can end: the connection has no open transaction,
// or is broken.
func (l *Loan) Finished() bool { return l.conn.broken || l.conn.state == Idle }

// Abort ends the loan to a host that is gone. The connection is closed, which
// rolls back its transaction.
func (l *Loan) Abort() {
	l.conn.broken = true
	l.Release()
}

// Release returns the connection to the pool.
func (l *Loan) Release() { l.pool.release(l.conn) }

// borrowedConn is a connection that another host holds. The loan begins with the
// first call and ends with any call that leaves no transaction open.
type borrowedConn struct {
	e    *Engine
	pool *pool
	// addresses lists the hosts to ask, in this order; an empty address is this
	// host.
	addresses []string
	// detour means that the hosts are asked because this host cannot reach the
	// endpoint. Any of them that cannot help is skipped.
	detour bool

	// address and handle identify the transaction that is open on another host.
	address string
	handle  uint64
	// ownConn is the connection of this host that is used if no other host lends
	// one.
	ownConn *Conn
}

// borrowConn returns a connection whose calls run over a connection of one of
// the given hosts.
func (e *Engine) borrowConn(p *pool, addresses []string, detour bool) *Conn {
	b := &borrowedConn{e: e, pool: p, addresses: addresses, detour: detour}
	return &Conn{Endpoint: p.member.ID, RunRemote: b.run, EndLoan: b.endLoan}
}

// run tries the hosts one after the other until one has accepted the call. If
// none does, this host may use a connection of its own.
func (b *borrowedConn) run(call Call) ([]Outcome, error) {
	if b.ownConn != nil {
		return b.e.runConfirmed(b.e.group(b.pool.member.Group), b.pool.member, b.ownConn, call)
	}
	if b.handle != 0 {
		return b.runAt(b.address, call)
	}
	err := NotSent(ErrLenderUnavailable)
	for i, address := range b.addresses {
		if address == "" || i == maxLenders {
			break
		}
		var out []Outcome
		out, err = b.runAt(address, call)
		if Sent(err) || err == nil || !b.detour && !errors.Is(err, ErrLenderUnavailable) && !errors.Is(err, ErrEndpointUnreachable) {
			return out, err
		}
		b.e.emit(Event{Group: b.pool.member.Group, Endpoint: b.pool.member.ID, Decision: "lender_away", Reason: err.Error()})
	}
	if b.detour || errors.Is(err, ErrEndpointUnreachable) && !b.pool.detourAllowed() {
		b.pool.suspendDetours()
		return nil, err
	}
	out, err := b.runDirect(call)
	if err != nil && b.ownConn == nil && isUnreachable(err) {
		// No host can reach the endpoint. Until detourBackoff has passed, calls
		// fail without another dial if the lending hosts still cannot reach it.
		b.pool.suspendDetours()
	}
	return out, err
}

// runDirect runs a call over a connection of this host.
func (b *borrowedConn) runDirect(call Call) ([]Outcome, error) {
	g := b.e.group(b.pool.member.Group)
	minPosition, err := b.e.requiredPosition(g, call)
	if err != nil {
		return nil, NotSent(err)
	}
	if call.Freshness != nil {
		call.Ops[0].MinPosition = minPosition
	}
	c, err := b.e.acquireProved(g, b.pool, call)
	if err != nil {
		return nil, NotSent(err)
	}
	b.ownConn = c
	return b.e.runConfirmed(g, b.pool.member, c, call)
}

// runAt runs a call on the host at an address and records what that host knows
// of the group.
func (b *borrowedConn) runAt(address string, call Call) ([]Outcome, error) {
	asked := b.e.BootTime()
	a, err := b.e.Borrow(address, b.pool.member, b.handle, call)
	b.address, b.handle = address, a.Handle
	if err == nil {
		b.e.group(b.pool.member.Group).MergeKnowledge(asked, a.Knowledge)
	}
	return a.Outcomes, err
}

func (b *borrowedConn) endLoan() {
	if b.ownConn != nil {
		b.pool.release(b.ownConn)
	}
	if b.handle != 0 {
		b.e.EndLoan(b.address, b.handle)
	}
}

// acquireConn returns a connection of this host or a borrowed one.
func (e *Engine) acquireConn(p *pool, until time.Time, need connNeed) (*Conn, error) {
	if e.Lenders == nil {
		return p.acquire(until, need)
	}
	lenders, holders := e.Lenders(p.member, p.maxConnections(), need.account)
	if holders == 0 {
		return e.acquireDirect(p, until, need)
	}
	p.setHolderShare(holders, slices.Contains(lenders[:holders], ""))
	if lenders[0] == "" {
		return e.acquireDirect(p, until, need)
	}
	return e.borrowConn(p, lenders, false), nil
}

// updateShare applies a change of the endpoint's holders without waiting for a
// statement.
func (e *Engine) updateShare(p *pool) {
	if e.Lenders == nil {
		return
	}
	if lenders, holders := e.Lenders(p.member, p.maxConnections(), noAccount); holders > 0 {
		p.setHolderShare(holders, slices.Contains(lenders[:holders], ""))
	}
}

func (p *pool) maxConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpointLimit
}

// setHolderShare sets this host's share of an endpoint's connections, which are
// held by the given number of hosts. A host that is not one of them gives back
// the connections that it opened before it knew the holders.
func (p *pool) setHolderShare(holders int, isHolder bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lends = isHolder
	if !isHolder {
		p.share, p.limit = 0, nonHolderLimit
		return
	}
	p.share = max(int(float64(p.endpointLimit)*holderFraction)/holders, 1)
	p.limit = p.share
}
