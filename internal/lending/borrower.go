package lending

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/guard"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// linkSetupTimeout is how long opening a link may take.
	linkSetupTimeout = 400 * time.Millisecond
	// pingInterval is how often a link with pending calls is pinged, and
	// pingTimeout how long the pong may take.
	pingInterval = 400 * time.Millisecond
	pingTimeout  = 800 * time.Millisecond
	// responseMargin is how long the borrower waits for a response past the deadline
	// of the call.
	responseMargin = 150 * time.Millisecond
	// maxPreconnectedLinks is the number of open links from which Preconnect opens no more.
	maxPreconnectedLinks = 64
	// linkIdleTimeout is how long a link may carry no call before it is closed, or pinged if
	// Preconnect has asked for it.
	linkIdleTimeout = time.Minute
)

var (
	errLinkBroken = errors.New("link to the lending host is broken")
	errTimeout    = errors.New("timeout waiting for the lending host")
	// errNotRun and errMaybeRun are what a lender says of a call that failed at the endpoint.
	errNotRun   = errors.New("the lending host could not send the call")
	errMaybeRun = errors.New("the lending host lost the endpoint while the call ran")
	// errSlow wraps os.ErrDeadlineExceeded, as an answer that the endpoint itself gives too late.
	errSlow       = fmt.Errorf("%w: the endpoint has not answered the lending host", os.ErrDeadlineExceeded)
	errSilent     = errors.New("the lending host is silent")
	errNotLending = errors.New("the lending host is not lending connections")
	// errNotGranting reports that the host that was asked for tokens does not grant any.
	errNotGranting = errors.New("the host does not grant tokens")
	// errLoanLost reports that a transaction has ended with its link: the lender rolls it
	// back.
	errLoanLost = errors.New("the link that the transaction was opened over has broken")
)

// Borrower opens links to lenders and runs calls over the connections they lend.
type Borrower struct {
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// Accounts is true for links between hosts that use accounts.
	Accounts bool
	// BootTime is the clock of engine.Call.SendBy. It must be set where accounts are used.
	BootTime func() replicaset.Instant
	// OnDown is called when a link could not be opened or has ended, and when a lender
	// answers that it is not lending.
	OnDown func(address string)
	// OnUp, if set, is called when a link has been opened.
	OnUp func(address string)
	// OnMalformed, if set, is called for each malformed response, and OnPanic for each
	// panic in a goroutine of a link.
	OnMalformed func(from string, err error)
	OnPanic     guard.Report
	// IdleTimeout, if set, replaces linkIdleTimeout.
	IdleTimeout time.Duration

	mu sync.Mutex
	// links holds the open links and those being opened, by address.
	links map[string]*link
}

// link is a WebSocket connection to one lender.
type link struct {
	b       *Borrower
	address string
	// ready is closed once the link is open or has failed to open; err, ws, ctx and
	// cancel are set before that.
	ready  chan struct{}
	err    error
	ws     *websocket.Conn
	ctx    context.Context
	cancel context.CancelFunc

	// heard is when bytes from the lender have arrived last, in ns since the Unix epoch.
	heard atomic.Int64

	mu sync.Mutex
	// pending holds the calls without a response, by sequence number. It is nil once
	// the link has broken.
	pending  map[uint64]chan response
	lastSeq  uint64
	lastUsed time.Time
	// wantedAt is when Preconnect last asked for the link.
	wantedAt time.Time
	// unused is set if the link is closed because nobody uses it, left if the lender has closed it
	// after it had answered all calls that it has run.
	unused, left bool
	// ended is why the link has ended, nil until then.
	ended error
	// watched is set while keepalive waits for pingInterval, because of a call.
	watched bool
	// called receives a value if a call is sent while the link is not watched.
	called chan struct{}
	// loans holds the handles of the transactions that are open over this link.
	loans map[uint64]struct{}
}

// Run runs a call at an endpoint over a lender's connection. A handle other than 0
// runs it in the transaction that an earlier call left open. The error wraps
// engine.ErrLenderUnavailable if the lender could not be reached or is not lending.
func (b *Borrower) Run(address string, m replicaset.Member, handle uint64, c engine.Call) (engine.RemoteResult, error) {
	l, err := b.linkFor(address, handle, time.Until(c.QueueDeadline))
	if err != nil {
		return engine.RemoteResult{}, engine.NotSent(err)
	}
	q := wireRequest(m.Group, m.ID, handle, c)
	if c.SendBy != 0 {
		now := b.BootTime()
		q.SendByMS, q.SentMS = max(millis(c.SendBy.Sub(now)), 1), millis(time.Duration(now))
	}
	a, err := l.call(c.Deadline, c.Withdrawn, q)
	l.setLoan(handle, a.Handle)
	if err != nil {
		return engine.RemoteResult{}, err
	}
	if a.Failure == failLenderUnavailable {
		b.OnDown(address)
	}
	out := engine.RemoteResult{Outcomes: engineOutcomes(a.Outcomes), Handle: a.Handle, Knowledge: a.Knowledge.value()}
	if a.Failure == failNone && len(c.Ops) > 0 && (len(a.Outcomes) == 0 || len(a.Outcomes) > len(c.Ops)) {
		err := fmt.Errorf("%w: %d outcomes for %d operations", errMalformed, len(a.Outcomes), len(c.Ops))
		b.reportMalformed(err)
		return out, err
	}
	return out, a.err()
}

// FetchKnowledge requests a lender's knowledge of a group: its primary, the latest sampled
// position of the primary's log, and how old that sample and the last proof of
// leadership are.
func (b *Borrower) FetchKnowledge(address string, g session.Group, until time.Time) (replicaset.Knowledge, error) {
	l, err := b.awaitLink(address, time.Until(until))
	if err != nil {
		return replicaset.Knowledge{}, fmt.Errorf("%w: %w", engine.ErrLenderUnavailable, err)
	}
	wait := max(millis(time.Until(until)), 1)
	a, err := l.call(until, nil, request{Verb: verbQueryGroup, Group: g, MaxWaitMS: wait, TimeoutMS: wait})
	if err != nil {
		return replicaset.Knowledge{}, err
	}
	return a.Knowledge.value(), a.err()
}

// err returns the error for the failure code of a response, or nil.
func (a response) err() error {
	switch a.Failure {
	case failNone:
		return nil
	case failRefused:
		return engine.NotSent(&engine.DialError{Code: a.Code})
	case failLenderUnavailable:
		return engine.NotSent(fmt.Errorf("%w: %w", engine.ErrLenderUnavailable, errNotLending))
	case failFull:
		return engine.NotSent(engine.ErrFull)
	case failOverloaded:
		return engine.NotSent(engine.ErrOverloaded)
	case failNoProof:
		return engine.NotSent(engine.ErrNoProof)
	case failEndpointUnreachable:
		return engine.NotSent(engine.ErrEndpointUnreachable)
	case failNoPosition:
		return engine.NotSent(engine.ErrNoPosition)
	case failNoConnection:
		return engine.NotSent(engine.ErrNoConnection)
	case failSendByPassed:
		return engine.NotSent(engine.ErrSendByPassed)
	case failWithdrawn:
		return engine.NotSent(engine.ErrWithdrawn)
	case failNotSent:
		return engine.NotSent(errNotRun)
	case failTimedOut:
		return errSlow
	}
	return errMaybeRun
}

// Preconnect opens a link to a lender ahead of demand, unless there are
// maxPreconnectedLinks links already, and keeps an open one from being closed as unused.
func (b *Borrower) Preconnect(address string) {
	b.mu.Lock()
	n, l := len(b.links), b.links[address]
	b.mu.Unlock()
	switch {
	case l != nil:
		l.want()
	case n < maxPreconnectedLinks:
		b.linkTo(address)
	}
}

// EndLoan ends a transaction that a call left open at a lender, by rollback.
func (b *Borrower) EndLoan(address string, handle uint64) {
	if l, err := b.linkFor(address, handle, 0); err == nil {
		l.setLoan(handle, 0)
		l.release(handle)
	}
}

// linkFor returns the link over which the transaction of a handle was opened, or the
// link to the lender if the handle is 0. It waits at most the given time for a link to
// open.
func (b *Borrower) linkFor(address string, handle uint64, wait time.Duration) (*link, error) {
	if handle == 0 {
		l, err := b.awaitLink(address, wait)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", engine.ErrLenderUnavailable, err)
		}
		return l, nil
	}
	b.mu.Lock()
	l, ok := b.links[address]
	b.mu.Unlock()
	if !ok || !l.hasLoan(handle) {
		return nil, errLoanLost
	}
	return l, nil
}

func (l *link) hasLoan(handle uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.loans[handle]
	return ok
}

// setLoan records that a call in the transaction of the handle before, if any, has left
// the transaction of the handle after open, if any.
func (l *link) setLoan(before, after uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if before != after {
		delete(l.loans, before)
	}
	if after != 0 {
		l.loans[after] = struct{}{}
	}
}

// awaitLink returns the link to a lender, and waits at most the given time for it to
// open.
func (b *Borrower) awaitLink(address string, wait time.Duration) (*link, error) {
	l := b.linkTo(address)
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-l.ready:
		return l, l.err
	case <-t.C:
		return nil, errTimeout
	}
}

// linkTo returns the link to a lender and starts to open one if there is none. The
// caller must wait for ready before it uses the link.
func (b *Borrower) linkTo(address string) *link {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, ok := b.links[address]
	if !ok {
		if b.links == nil {
			b.links = make(map[string]*link)
		}
		l = &link{b: b, address: address, ready: make(chan struct{}), pending: make(map[uint64]chan response), lastUsed: time.Now(), called: make(chan struct{}, 1), loans: make(map[uint64]struct{})}
		b.links[address] = l
		go guard.Run("link to a lender", b.OnPanic, l.run)
	}
	return l
}

// run opens the link and reads from it until it breaks.
func (l *link) run() {
	ctx, cancel := context.WithTimeout(context.Background(), linkSetupTimeout)
	defer cancel()
	ws, resp, err := websocket.Dial(ctx, "ws://"+l.address+LinkPath(l.b.Accounts), &websocket.DialOptions{
		HTTPClient: &http.Client{Transport: &http.Transport{DialContext: l.dial}},
	})
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		l.err = fmt.Errorf("link to %s: %w", l.address, err)
		l.remove()
		close(l.ready)
		return
	}
	ws.SetReadLimit(maxResponse)
	l.ws = ws
	l.ctx, l.cancel = context.WithCancel(context.Background())
	close(l.ready)
	if l.b.OnUp != nil {
		l.b.OnUp(l.address)
	}
	go guard.Run("keepalive of a link to a lender", l.b.OnPanic, l.keepalive)
	l.readLoop()
}

func (l *link) dial(ctx context.Context, network, address string) (net.Conn, error) {
	nc, err := l.b.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return heardConn{nc, &l.heard}, nil
}

func (b *Borrower) reportMalformed(err error) {
	if b.OnMalformed != nil {
		b.OnMalformed("lender", err)
	}
}

// remove removes the link from the borrower, so that the next call opens another,
// and reports the lender as down, unless the link was closed as unused.
func (l *link) remove() {
	l.forget()
	l.mu.Lock()
	unused := l.unused
	l.mu.Unlock()
	if !unused {
		l.b.OnDown(l.address)
	}
}

func (l *link) forget() {
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	if l.b.links[l.address] == l {
		delete(l.b.links, l.address)
	}
}

// readLoop passes responses to the calls that wait for them. If a call has timed out
// and its late response carries a handle, the transaction is ended at the lender.
func (l *link) readLoop() {
	defer l.teardown()
	for {
		_, body, err := l.ws.Read(l.ctx)
		if err != nil {
			l.noteEnd(err)
			return
		}
		a, err := l.b.decode(body)
		if err != nil {
			l.noteEnd(err)
			l.b.reportMalformed(err)
			return
		}
		l.mu.Lock()
		ch := l.pending[a.Seq]
		delete(l.pending, a.Seq)
		l.mu.Unlock()
		switch {
		case ch != nil:
			ch <- a
		case a.Handle != 0:
			go guard.Run("return of a loan", l.b.OnPanic, func() { l.release(a.Handle) })
		}
	}
}

// teardown closes the link and fails its pending calls.
func (l *link) teardown() {
	l.remove()
	l.cancel()
	l.ws.CloseNow()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, ch := range l.pending {
		close(ch)
	}
	l.pending = nil
}

// release ends a transaction at the lender. If the message cannot be sent, the link
// is closed, which ends all transactions opened over it.
func (l *link) release(handle uint64) {
	if err := l.send(request{Verb: verbRelease, Handle: handle}); err != nil {
		l.cancel()
	}
}

// send writes a request to the link and closes the link if that fails. Nothing is written of a
// request that is too large.
func (l *link) send(q request) error {
	body, err := encodeRequest(q, l.b.Accounts)
	if err == nil && len(body) > maxRequest {
		return errRequestTooLarge
	}
	if err == nil {
		err = writeMessage(l.ctx, l.ws, body)
	}
	if err != nil {
		l.noteEnd(err)
		l.cancel()
		return fmt.Errorf("%w: %w", errLinkBroken, err)
	}
	return nil
}
