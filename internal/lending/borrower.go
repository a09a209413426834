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
	"github.com/fxamacker/cbor/v2"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
)

const (
	// linkTimeout bounds the set-up of a link.
	linkTimeout = 400 * time.Millisecond
	// pingEvery is how often a link with calls under way is probed, and
	// pingTimeout how long the answer may take.
	pingEvery   = 400 * time.Millisecond
	pingTimeout = 500 * time.Millisecond
	// answerMargin is what a call may take beyond what the lender was given.
	answerMargin = 150 * time.Millisecond
	// linkIdle closes links that nobody used.
	linkIdle = time.Minute
)

var (
	errLinkBroken = errors.New("link to the lending host broke")
	errAway       = errors.New("the lending host is away")
)

// Borrower opens links to lenders and borrows connections over them.
type Borrower struct {
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// Down is told of hosts that did not answer.
	Down func(address string)

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

// Borrow gets a connection to an endpoint from a lender. The error of a lender
// that is away wraps engine.ErrLenderAway.
func (b *Borrower) Borrow(deadline time.Time, address string, m replicaset.Member, class int, values map[string]string) (*engine.Conn, error) {
	l, err := b.link(address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", engine.ErrLenderAway, err)
	}
	a, err := l.call(deadline, request{Verb: verbAcquire, Group: m.Group, Endpoint: m.ID, Class: class, Values: values})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", engine.ErrLenderAway, err)
	}
	switch a.Failure {
	case failNone:
	case failRefused:
		return nil, &engine.DialError{Code: a.Code}
	case failAway:
		b.Down(address)
		return nil, fmt.Errorf("%w: %w", engine.ErrLenderAway, errAway)
	default:
		return nil, engine.ErrFull
	}
	c := &engine.Conn{Endpoint: m.ID, Close: func() {}}
	c.SetSessionState(a.Values, enginePrepared(a.Prepared))
	c.Do = func(deadline time.Time, ops ...engine.Op) ([]engine.Outcome, error) {
		return l.do(deadline, a.Handle, ops)
	}
	c.GiveBack = func(c *engine.Conn) { l.release(a.Handle, c) }
	return c, nil
}

func (b *Borrower) link(address string) (*link, error) {
	b.mu.Lock()
	l, ok := b.links[address]
	if !ok {
		if b.links == nil {
			b.links = make(map[string]*link)
		}
		l = &link{b: b, address: address, ready: make(chan struct{}), pending: make(map[uint64]chan response), used: time.Now()}
		b.links[address] = l
		go l.open()
	}
	b.mu.Unlock()
	<-l.ready
	return l, l.err
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
	go l.probe()
	l.read()
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
		var a response
		if cbor.Unmarshal(body, &a) != nil {
			return
		}
		l.mu.Lock()
		ch := l.pending[a.Seq]
		delete(l.pending, a.Seq)
		l.mu.Unlock()
		if ch != nil {
			ch <- a
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
	wait := time.Until(deadline)
	q.WaitMS = max(millis(wait), 1)
	ch := make(chan response, 1)
	l.mu.Lock()
	if l.pending == nil {
		l.mu.Unlock()
		return response{}, errLinkBroken
	}
	l.last++
	q.Seq, l.used = l.last, time.Now()
	l.pending[q.Seq] = ch
	l.mu.Unlock()
	if err := l.send(q); err != nil {
		return response{}, err
	}
	t := time.NewTimer(wait + answerMargin)
	defer t.Stop()
	select {
	case a, ok := <-ch:
		if !ok {
			return response{}, errLinkBroken
		}
		return a, nil
	case <-t.C:
		l.cancel()
		return response{}, errLinkBroken
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

func (l *link) do(deadline time.Time, handle uint64, ops []engine.Op) ([]engine.Outcome, error) {
	a, err := l.call(deadline, request{Verb: verbDo, Handle: handle, Ops: wireOps(ops)})
	if err != nil {
		return nil, err
	}
	out := engineOutcomes(a.Outcomes)
	if a.Failure != failNone {
		return out, errLinkBroken
	}
	return out, nil
}

func (l *link) release(handle uint64, c *engine.Conn) {
	values, prepared := c.SessionState()
	err := l.send(request{Verb: verbRelease, Handle: handle, Broken: c.Broken(), Values: values, Prepared: wirePrepared(prepared)})
	if err != nil {
		l.cancel()
	}
}
