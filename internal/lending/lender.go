package lending

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"github.com/cumintrestle/cumintrestle/internal/budget"
	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/guard"
	"github.com/cumintrestle/cumintrestle/internal/httplimit"
	"github.com/cumintrestle/cumintrestle/internal/ratelimit"
)

// Lender lends this host's connections to other hosts. It is the http.Handler of the
// path at which borrowers open their WebSocket links.
type Lender struct {
	Engine *engine.Engine
	// Accounts is true for links between hosts that use accounts.
	Accounts bool
	// Grant answers a request for tokens, false if this host does not grant. It may be nil.
	Grant func(ratelimit.Request) (ratelimit.Response, bool)
	// Unavailable reports whether this host refuses new loans, because it is shutting down,
	// or because it has just started and does not know the endpoints yet.
	Unavailable func() bool
	// Budget bounds the memory of calls. It may be nil.
	Budget *budget.Budget
	// Timeout is how long a message of a link may take to arrive, its wait for memory included,
	// and a response to be read. LinkCalls is how many calls of a link run at the same time; a
	// host that has more in flight is not read from until some have ended. 0 means the default.
	Timeout   time.Duration
	LinkCalls int

	// handles is the last handle given out. It begins at a random number, so that handles
	// don't come again after a restart.
	handles  atomic.Uint64
	initOnce sync.Once

	// transactions is the number of open transactions.
	transactions atomic.Int64

	mu    sync.Mutex
	links map[*borrowerLink]struct{}
	// leaving is set once Leave was called.
	leaving bool
}

// InUse returns the number of borrowers' calls that run on this host's connections, and of their
// transactions that are open.
func (l *Lender) InUse() (calls, transactions int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for b := range l.links {
		calls += b.inUse()
	}
	return calls, int(l.transactions.Load())
}

// nextHandle returns a handle that no other transaction has had, on any link. A borrower
// that uses one after its link has broken, or after a restart of this host, is told that
// it is not known.
func (l *Lender) nextHandle() uint64 {
	l.initOnce.Do(func() { l.handles.Store(rand.Uint64N(math.MaxUint64/2) + 1) })
	return l.handles.Add(1)
}

// loan is a connection lent to a borrower. It is stored under a handle only while a
// transaction is open on it.
type loan struct {
	mu sync.Mutex
	*engine.Loan
}

// borrowerLink is one open link of a borrower, with its open transactions.
type borrowerLink struct {
	lender *Lender
	ws     *websocket.Conn
	ctx    context.Context
	budget *budget.Conn
	// tasks has a place for each task of the link that may run at the same time.
	tasks chan struct{}
	// busy is set from the arrival of a message until the next one is read, beat sends signs of life
	// meanwhile.
	busy atomic.Bool
	beat *time.Timer
	// transit is used by the goroutine that reads the link.
	transit transit

	mu sync.Mutex
	// loans holds the loans with an open transaction, by handle.
	loans  map[uint64]*loan
	closed bool
	// running counts the requests that are run, without those that were withdrawn; calls holds the
	// calls among them, by sequence number. None is begun once leaving is set, and idle, if set, is
	// closed when the last one has been answered.
	running int
	calls   map[uint64]*borrowerRequest
	leaving bool
	idle    chan struct{}
}

// ServeHTTP serves one link until it breaks.
func (l *Lender) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer ws.CloseNow()
	ws.SetReadLimit(maxRequest)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b := &borrowerLink{
		lender: l, ws: ws, ctx: ctx, budget: httplimit.Conn(r.Context()), tasks: make(chan struct{}, l.linkCalls()), loans: make(map[uint64]*loan),
		calls: make(map[uint64]*borrowerRequest),
	}
	b.beat = time.AfterFunc(beatInterval, b.sendBeat)
	defer b.setBusy(false)
	defer b.abortLoans()
	b.budget.OnEvict(b.evict)
	if !l.addLink(b) {
		_ = ws.Close(statusLeaving, reasonLeaving)
		return
	}
	defer l.removeLink(b)
	for {
		body, c, err := b.receive()
		if err != nil {
			return
		}
		q, err := l.decode(body)
		if err != nil {
			l.Engine.ReportMalformed("borrower", err)
			return
		}
		if q.withdraws() {
			b.release(c)
			b.withdraw(q.Seq, failWithdrawn)
			continue
		}
		b.setSendBy(&q)
		b.dispatch(q, c)
	}
}

// abortLoans ends all loans of a link that has broken.
func (b *borrowerLink) abortLoans() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for handle := range b.loans {
		b.start(func() { b.abortLoan(handle) })
	}
}

// start runs a task of the link in its own goroutine. A panic closes the link, which
// also ends its loans.
func (b *borrowerLink) start(f func()) {
	go guard.Run("link of a borrower", func(task, cause string) {
		b.lender.Engine.ReportPanic(task, cause)
		b.ws.CloseNow()
	}, f)
}

// abortLoan closes the connection of a loan, which rolls back its open transaction.
func (b *borrowerLink) abortLoan(handle uint64) {
	if ln := b.removeLoan(handle); ln != nil {
		ln.mu.Lock()
		defer ln.mu.Unlock()
		ln.Abort()
	}
}

// removeLoan removes a loan from the link and returns it, or nil if the handle is
// not known.
func (b *borrowerLink) removeLoan(handle uint64) *loan {
	b.mu.Lock()
	defer b.mu.Unlock()
	ln := b.loans[handle]
	if ln != nil {
		b.lender.transactions.Add(-1)
	}
	delete(b.loans, handle)
	return ln
}

// serve runs a request and sends the response, unless the request has been withdrawn meanwhile.
func (b *borrowerLink) serve(r *borrowerRequest) {
	a := b.run(r)
	if b.keep(r) {
		b.respond(r.Seq, a)
	}
}

// respond sends the response to a request. If that fails, the link is closed.
func (b *borrowerLink) respond(seq uint64, a response) {
	a.Seq = seq
	if b.sendResponse(a) != nil {
		b.ws.CloseNow()
	}
}

// sendResponse sends a response. One that is too large, or for which there is no memory, fails
// alone: its transaction is rolled back.
func (b *borrowerLink) sendResponse(a response) error {
	body, err := encodeResponse(a, b.lender.Accounts)
	if err == nil {
		err = b.send(body)
	}
	if !errors.Is(err, errResponseTooLarge) && !errors.Is(err, budget.ErrFull) {
		return err
	}
	if a.Handle != 0 {
		b.abortLoan(a.Handle)
	}
	if body, err = encodeResponse(response{Seq: a.Seq, Failure: failMaybeSent}, b.lender.Accounts); err != nil {
		return err
	}
	return b.send(body)
}

// run runs a request and returns the response. The connection stays lent after the
// call only if a transaction is open on it.
func (b *borrowerLink) run(r *borrowerRequest) response {
	q := r.request
	if q.Verb == verbRequestTokens {
		return b.lender.grant(q)
	}
	call := q.call()
	call.SendBy, call.Begin = q.sendBy, func() bool { return b.keep(r) }
	if q.Verb == verbQueryGroup {
		return response{Knowledge: wireKnowledge(b.lender.Engine.Knowledge(q.Group, call.QueueDeadline))}
	}
	ln, err := b.loanFor(q, call)
	if err != nil {
		return failureResponse(err)
	}
	ln.mu.Lock()
	defer ln.mu.Unlock()
	out, err := ln.Run(call)
	a := response{Outcomes: wireOutcomes(out), Knowledge: wireKnowledge(ln.Knowledge())}
	if err != nil {
		a = failureResponse(err)
	}
	if ln.Finished() {
		if q.Handle == 0 || b.removeLoan(q.Handle) != nil {
			ln.Release()
		}
		return a
	}
	a.Handle = b.storeLoan(q.Handle, ln)
	return a
}

// loanFor returns the loan of the request's handle, or a new loan if it has none.
func (b *borrowerLink) loanFor(q request, call engine.Call) (*loan, error) {
	if q.Handle != 0 {
		b.mu.Lock()
		defer b.mu.Unlock()
		if ln, ok := b.loans[q.Handle]; ok {
			return ln, nil
		}
		return nil, engine.NotSent(errLoanLost)
	}
	if b.lender.Unavailable() {
		return nil, engine.ErrLenderUnavailable
	}
	ln, err := b.lender.Engine.Lend(q.Group, q.Endpoint, call)
	if err != nil {
		return nil, fmt.Errorf("lend: %w", engine.NotSent(err))
	}
	return &loan{Loan: ln}, nil
}

// storeLoan stores a loan whose transaction is still open and returns its handle.
// If the link broke while the call ran, a new loan is ended instead.
func (b *borrowerLink) storeLoan(handle uint64, ln *loan) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed && handle == 0 {
		go ln.Abort()
		return 0
	}
	if handle == 0 {
		handle = b.lender.nextHandle()
		b.loans[handle] = ln
		b.lender.transactions.Add(1)
	}
	return handle
}

// failureResponse returns the response to a call that failed with an error.
func failureResponse(err error) response {
	var refused *engine.DialError
	switch {
	case errors.As(err, &refused):
		return response{Failure: failRefused, Code: refused.Code}
	case errors.Is(err, engine.ErrLenderUnavailable):
		return response{Failure: failLenderUnavailable}
	case errors.Is(err, engine.ErrNoProof):
		return response{Failure: failNoProof}
	case errors.Is(err, engine.ErrEndpointUnreachable):
		return response{Failure: failEndpointUnreachable}
	case errors.Is(err, engine.ErrNoPosition):
		return response{Failure: failNoPosition}
	case errors.Is(err, engine.ErrOverloaded):
		return response{Failure: failOverloaded}
	case errors.Is(err, engine.ErrSendByPassed):
		return response{Failure: failSendByPassed}
	case errors.Is(err, engine.ErrNoConnection):
		return response{Failure: failNoConnection}
	case errors.Is(err, engine.ErrFull):
		return response{Failure: failFull}
	case !engine.Sent(err):
		return response{Failure: failNotSent}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return response{Failure: failTimedOut}
	}
	return response{Failure: failMaybeSent}
}
