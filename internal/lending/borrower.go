package lending

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/guard"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// linkTimeout bounds the set-up of a link.
	linkTimeout = 400 * time.Millisecond
	// pingEvery is how often a link with calls under way is probed, and
	// pingTimeout how long the answer may take.
	pingEvery   = 400 * time.Millisecond
	pingTimeout = 800 * time.Millisecond
	// answerMargin is what a call may take beyond what the lender was given.
	answerMargin = 150 * time.Millisecond
	// warmLinks bounds the links that are opened ahead of demand.
	warmLinks = 64
	// linkIdle closes links that nobody used.
	linkIdle = time.Minute
)

var (
	errLinkBroken = errors.New("link to the lending host broke")
	errNoAnswer   = errors.New("lending host did not answer in time")
	errAway       = errors.New("the lending host is away")
)

// Borrower opens links to lenders and borrows connections over them.
type Borrower struct {
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// Down is told of hosts that did not answer.
	Down func(address string)
	// Up is told of hosts to which a link stands; nil is for nobody.
	Up func(address string)
	// Malformed is told of messages that could not be read, and Panicked of a link
	// that ended by a panic; nil is for nobody.
	Malformed func(from string, err error)
	Panicked  guard.Report

	mu    sync.Mutex
	links map[string]*link
}

// link is the way to one lender.
type link struct {
	b       *Borrower
	address string
	ready   chan struct{}
	err     error
	ws      *websocket.Conn
	ctx     context.Context
	cancel  context.CancelFunc

	mu      sync.Mutex
	pending map[uint64]chan response
	last    uint64
	used    time.Time
}

// Run runs a call at an endpoint over a lender's connection. The error of a
// lender that is away wraps engine.ErrLenderAway.
func (b *Borrower) Run(address string, m replicaset.Member, handle uint64, c engine.Call) (engine.FarAnswer, error) {
	l, err := b.linkWithin(address, time.Until(c.Until))
	if err != nil {
		return engine.FarAnswer{}, engine.NotSent(fmt.Errorf("%w: %w", engine.ErrLenderAway, err))
	}
	a, err := l.call(c.Deadline, wireRequest(m.Group, m.ID, handle, c))
	if err != nil {
		return engine.FarAnswer{}, err
	}
	if a.Failure == failAway {
		b.Down(address)
	}
	out := engine.FarAnswer{Outcomes: engineOutcomes(a.Outcomes), Handle: a.Handle, Known: a.Known.knowledge()}
	if a.Failure == failNone && len(c.Ops) > 0 && (len(a.Outcomes) == 0 || len(a.Outcomes) > len(c.Ops)) {
		err := fmt.Errorf("%w: %d outcomes of %d requests", errMalformed, len(a.Outcomes), len(c.Ops))
		b.malformed(err)
		return out, err
	}
	return out, a.err()
}

// Learn asks a lender what it knows of a group.
func (b *Borrower) Learn(address string, g session.Group, until time.Time) (replicaset.Knowledge, error) {
	l, err := b.linkWithin(address, time.Until(until))
	if err != nil {
		return replicaset.Knowledge{}, fmt.Errorf("%w: %w", engine.ErrLenderAway, err)
	}
	wait := max(millis(time.Until(until)), 1)
	a, err := l.call(until, request{Verb: verbTell, Group: g, UntilMS: wait, AnswerMS: wait})
	if err != nil {
		return replicaset.Knowledge{}, err
	}
	return a.Known.knowledge(), a.err()
}

// err is the error that a lender's answer stands for.
func (a response) err() error {
	switch a.Failure {
	case failNone:
		return nil
	case failRefused:
		return engine.NotSent(&engine.DialError{Code: a.Code})
	case failAway:
		return engine.NotSent(fmt.Errorf("%w: %w", engine.ErrLenderAway, errAway))
	case failFull:
		return engine.NotSent(engine.ErrFull)
	case failOverloaded:
		return engine.NotSent(engine.ErrOverloaded)
	case failNoProof:
		return engine.NotSent(engine.ErrNoProof)
	case failUnreached:
		return engine.NotSent(engine.ErrUnreached)
	case failNoPosition:
		return engine.NotSent(engine.ErrNoPosition)
	case failNoConnection:
		return engine.NotSent(engine.ErrNoConnection)
	case failNotSent:
		return engine.NotSent(errLinkBroken)
	}
	return errLinkBroken
}

// Warm opens the link to a lender ahead of demand, up to warmLinks of them.
func (b *Borrower) Warm(address string) {
	b.mu.Lock()
	n := len(b.links)
	b.mu.Unlock()
	if n < warmLinks {
		b.start(address)
	}
}

// Return ends a transaction that a call left open.
func (b *Borrower) Return(address string, handle uint64) {
	b.mu.Lock()
	l, ok := b.links[address]
	b.mu.Unlock()
	if !ok {
		return
	}
	<-l.ready
	if l.err == nil {
		l.giveBack(handle)
	}
}

// linkWithin returns the link to a lender if it stands in time.
func (b *Borrower) linkWithin(address string, wait time.Duration) (*link, error) {
	l := b.start(address)
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-l.ready:
		return l, l.err
	case <-t.C:
		return nil, errNoAnswer
	}
}

// start returns the link to a lender, which may not stand yet.
func (b *Borrower) start(address string) *link {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, ok := b.links[address]
	if !ok {
		if b.links == nil {
			b.links = make(map[string]*link)
		}
		l = &link{b: b, address: address, ready: make(chan struct{}), pending: make(map[uint64]chan response), used: time.Now()}
		b.links[address] = l
		go guard.Run("link to a lender", b.Panicked, l.open)
	}
	return l
}

func (l *link) open() {
	ctx, cancel := context.WithTimeout(context.Background(), linkTimeout)
	defer cancel()
	ws, resp, err := websocket.Dial(ctx, "ws://"+l.address+"/lend", &websocket.DialOptions{
		HTTPClient: &http.Client{Transport: &http.Transport{DialContext: l.b.DialContext}},
	})
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		l.err = fmt.Errorf("link to %s: %w", l.address, err)
		l.drop()
		close(l.ready)
		return
	}
	ws.SetReadLimit(maxMessage)
	l.ws = ws
	l.ctx, l.cancel = context.WithCancel(context.Background())
	close(l.ready)
	if l.b.Up != nil {
		l.b.Up(l.address)
	}
	go guard.Run("probe of a lender", l.b.Panicked, l.probe)
	l.read()
}

func (b *Borrower) malformed(err error) {
	if b.Malformed != nil {
		b.Malformed("lender", err)
	}
}

// drop forgets the link; the next borrower opens another.
func (l *link) drop() {
	l.b.mu.Lock()
	if l.b.links[l.address] == l {
		delete(l.b.links, l.address)
	}
	l.b.mu.Unlock()
	l.b.Down(l.address)
}

func (l *link) read() {
	defer l.broken()
	for {
		_, body, err := l.ws.Read(l.ctx)
		if err != nil {
			return
		}
		a, err := decodeResponse(body)
		if err != nil {
			l.b.malformed(err)
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
			go guard.Run("return of a loan", l.b.Panicked, func() { l.giveBack(a.Handle) })
		}
	}
}

func (l *link) broken() {
	l.drop()
	l.cancel()
	l.ws.CloseNow()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, ch := range l.pending {
		close(ch)
	}
	l.pending = nil
}

// probe breaks a link that went silent, and one that nobody uses.
func (l *link) probe() {
	t := time.NewTicker(pingEvery)
	defer t.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-t.C:
		}
		l.mu.Lock()
		busy, idle := len(l.pending) > 0, time.Since(l.used)
		l.mu.Unlock()
		if idle > linkIdle {
			l.cancel()
			return
		}
		if !busy {
			continue
		}
		ctx, cancel := context.WithTimeout(l.ctx, pingTimeout)
		err := l.ws.Ping(ctx)
		cancel()
		if err != nil {
			l.cancel()
			return
		}
	}
}

func (l *link) call(deadline time.Time, q request) (response, error) {
	ch := make(chan response, 1)
	l.mu.Lock()
	if l.pending == nil {
		l.mu.Unlock()
		return response{}, engine.NotSent(fmt.Errorf("%w: %w", engine.ErrLenderAway, errLinkBroken))
	}
	l.last++
	q.Seq, l.used = l.last, time.Now()
	l.pending[q.Seq] = ch
	l.mu.Unlock()
	if err := l.send(q); err != nil {
		// Nobody acts on a message that did not go out whole.
		return response{}, engine.NotSent(fmt.Errorf("%w: %w", engine.ErrLenderAway, err))
	}
	t := time.NewTimer(time.Until(deadline) + answerMargin)
	defer t.Stop()
	select {
	case a, ok := <-ch:
		if !ok {
			return response{}, errLinkBroken
		}
		return a, nil
	case <-t.C:
		l.forget(q, ch)
		return response{}, errNoAnswer
	}
}

// forget gives up on a call. What it holds at the lender is given back, here or
// when a late answer tells of it.
func (l *link) forget(q request, ch <-chan response) {
	l.mu.Lock()
	delete(l.pending, q.Seq)
	l.mu.Unlock()
	handle := q.Handle
	select {
	case a := <-ch:
		handle = max(handle, a.Handle)
	default:
	}
	if handle != 0 {
		l.giveBack(handle)
	}
}

// giveBack ends a transaction at the lender. A link that breaks ends all of them.
func (l *link) giveBack(handle uint64) {
	if err := l.send(request{Verb: verbReturn, Handle: handle}); err != nil {
		l.cancel()
	}
}

func (l *link) send(q request) error {
	body, err := encode(q)
	if err == nil {
		err = l.ws.Write(l.ctx, websocket.MessageBinary, body)
	}
	if err != nil {
		l.cancel()
		return fmt.Errorf("%w: %w", errLinkBroken, err)
	}
	return nil
}
