package lending

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/cumintrestle/cumintrestle/internal/engine"
)

// maxMessage bounds a message between hosts: a statement's 1 MiB and the rest.
const maxMessage = 3 << 20

// Lender serves the hosts that borrow. It is an http.Handler for the path that
// borrowers open their links on.
type Lender struct {
	Engine *engine.Engine
	// Away reports that this host lends nothing new, because it stops.
	Away func() bool
}

// loan is one connection that was lent.
type loan struct {
	conn *engine.Conn
	give func(*engine.Conn)
	mu   sync.Mutex
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
		var q request
		if cbor.Unmarshal(body, &q) != nil {
			return
		}
		if q.Verb == verbRelease {
			// In order, so that what is asked next finds the connection free.
			d.release(q)
			continue
		}
		go d.serve(q)
	}
}

// collect takes back what a broken link had borrowed.
func (d *debtor) collect() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for _, ln := range d.loans {
		go func() {
			ln.mu.Lock()
			defer ln.mu.Unlock()
			ln.conn.Break()
			ln.give(ln.conn)
		}()
	}
	d.loans = nil
}

func (d *debtor) serve(q request) {
	var a response
	switch q.Verb {
	case verbAcquire:
		a = d.acquire(q)
	case verbDo:
		a = d.do(q)
	}
	a.Seq = q.Seq
	body, err := encode(a)
	if err == nil {
		err = d.ws.Write(d.ctx, websocket.MessageBinary, body)
	}
	if err != nil {
		d.ws.CloseNow()
	}
}

func (d *debtor) acquire(q request) response {
	if d.lender.Away() {
		return response{Failure: failAway}
	}
	deadline := time.Now().Add(time.Duration(q.WaitMS) * time.Millisecond)
	c, give, err := d.lender.Engine.Lend(q.Group, q.Endpoint, deadline, q.Class, q.Values)
	var refused *engine.DialError
	switch {
	case errors.As(err, &refused):
		return response{Failure: failRefused, Code: refused.Code}
	case err != nil:
		return response{Failure: failFull}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		give(c)
		return response{Failure: failAway}
	}
	d.last++
	d.loans[d.last] = &loan{conn: c, give: give}
	values, prepared := c.SessionState()
	return response{Handle: d.last, Values: values, Prepared: wirePrepared(prepared)}
}

func (d *debtor) find(handle uint64) *loan {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loans[handle]
}

func (d *debtor) do(q request) response {
	ln := d.find(q.Handle)
	if ln == nil {
		return response{Failure: failBroken}
	}
	ln.mu.Lock()
	defer ln.mu.Unlock()
	deadline := time.Now().Add(time.Duration(q.WaitMS) * time.Millisecond)
	out, err := ln.conn.Do(deadline, engineOps(q.Ops)...)
	if err != nil {
		ln.conn.Break()
		return response{Failure: failBroken, Outcomes: wireOutcomes(out)}
	}
	return response{Outcomes: wireOutcomes(out)}
}

func (d *debtor) release(q request) {
	d.mu.Lock()
	ln := d.loans[q.Handle]
	delete(d.loans, q.Handle)
	d.mu.Unlock()
	if ln == nil {
		return
	}
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if q.Broken {
		ln.conn.Break()
	}
	ln.conn.SetSessionState(q.Values, enginePrepared(q.Prepared))
	ln.give(ln.conn)
}
