package lending

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"

	"github.com/coder/websocket"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/guard"
)

// maxMessage bounds a message between hosts: a statement's 1 MiB and the rest.
const maxMessage = 3 << 20

// Lender serves the hosts that borrow. It is an http.Handler for the path that
// borrowers open their links on.
type Lender struct {
	Engine *engine.Engine
	// Away reports that this host lends nothing new, because it stops, or because it
	// has just started and does not know the endpoints yet.
	Away func() bool
}

// loan is a connection with an open transaction of a borrower.
type loan struct {
	mu sync.Mutex
	*engine.Loan
}

// debtor is one link of a borrower.
type debtor struct {
	lender *Lender
	ws     *websocket.Conn
	ctx    context.Context

	mu     sync.Mutex
	loans  map[uint64]*loan
	last   uint64
	closed bool
}

// ServeHTTP serves one link until it breaks.
func (l *Lender) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer ws.CloseNow()
	ws.SetReadLimit(maxMessage)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := &debtor{lender: l, ws: ws, ctx: ctx, loans: make(map[uint64]*loan)}
	defer d.collect()
	for {
		_, body, err := ws.Read(ctx)
		if err != nil {
			return
		}
		q, err := decodeRequest(body)
		if err != nil {
			l.Engine.Malformed("borrower", err)
			return
		}
		if q.Verb == verbReturn {
			d.start(func() { d.giveBack(q.Handle) })
			continue
		}
		d.start(func() { d.serve(q) })
	}
}

// collect takes back what a broken link had borrowed.
func (d *debtor) collect() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for handle := range d.loans {
		d.start(func() { d.giveBack(handle) })
	}
}

// start runs a task of a link. One that panics ends the link with what was lent.
func (d *debtor) start(f func()) {
	go guard.Run("link of a borrower", func(task, cause string) {
		d.lender.Engine.Panicked(task, cause)
		d.ws.CloseNow()
	}, f)
}

// giveBack ends a loan whose transaction the borrower did not end.
func (d *debtor) giveBack(handle uint64) {
	if ln := d.take(handle); ln != nil {
		ln.mu.Lock()
		defer ln.mu.Unlock()
		ln.Break()
	}
}

// take removes a loan from those of the link.
func (d *debtor) take(handle uint64) *loan {
	d.mu.Lock()
	defer d.mu.Unlock()
	ln := d.loans[handle]
	delete(d.loans, handle)
	return ln
}

func (d *debtor) serve(q request) {
	a := d.run(q)
	a.Seq = q.Seq
	body, err := encode(a)
	if err == nil {
		err = d.ws.Write(d.ctx, websocket.MessageBinary, body)
	}
	if err != nil {
		d.ws.CloseNow()
	}
}

// run serves a call. A connection is lent for as long as a transaction is open
// on it.
func (d *debtor) run(q request) response {
	call := q.call()
	if q.Verb == verbTell {
		return response{Known: wireKnown(d.lender.Engine.Tell(q.Group, call.Until))}
	}
	ln, err := d.loan(q, call)
	if err != nil {
		return refusal(err)
	}
	ln.mu.Lock()
	defer ln.mu.Unlock()
	out, err := ln.Run(call)
	a := response{Outcomes: wireOutcomes(out), Known: wireKnown(ln.Known())}
	if err != nil {
		a = refusal(err)
	}
	if ln.Over() {
		if q.Handle == 0 || d.take(q.Handle) != nil {
			ln.End()
		}
		return a
	}
	a.Handle = d.keep(q.Handle, ln)
	return a
}

// loan returns the loan of a handle, or a new one.
func (d *debtor) loan(q request, call engine.Call) (*loan, error) {
	if q.Handle != 0 {
		d.mu.Lock()
		defer d.mu.Unlock()
		if ln, ok := d.loans[q.Handle]; ok {
			return ln, nil
		}
		return nil, engine.NotSent(errLinkBroken)
	}
	if d.lender.Away() {
		return nil, engine.ErrLenderAway
	}
	ln, err := d.lender.Engine.Lend(q.Group, q.Endpoint, call)
	if err != nil {
		return nil, fmt.Errorf("lend: %w", engine.NotSent(err))
	}
	return &loan{Loan: ln}, nil
}

// keep notes a loan whose transaction goes on. The link may have broken
// meanwhile.
func (d *debtor) keep(handle uint64, ln *loan) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed && handle == 0 {
		go ln.Break()
		return 0
	}
	if handle == 0 {
		d.last++
		handle = d.last
		d.loans[handle] = ln
	}
	return handle
}

// refusal tells the borrower why its call has no outcome.
func refusal(err error) response {
	var refused *engine.DialError
	switch {
	case errors.As(err, &refused):
		return response{Failure: failRefused, Code: refused.Code}
	case errors.Is(err, engine.ErrLenderAway):
		return response{Failure: failAway}
	case errors.Is(err, engine.ErrNoProof):
		return response{Failure: failNoProof}
	case errors.Is(err, engine.ErrUnreached):
		return response{Failure: failUnreached}
	case errors.Is(err, engine.ErrNoPosition):
		return response{Failure: failNoPosition}
	case errors.Is(err, engine.ErrOverloaded):
		return response{Failure: failOverloaded}
	case errors.Is(err, engine.ErrNoConnection):
		return response{Failure: failNoConnection}
	case errors.Is(err, engine.ErrFull):
		return response{Failure: failFull}
	case !engine.Sent(err):
		return response{Failure: failNotSent}
	}
	return response{Failure: failBroken}
}
