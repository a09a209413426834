package lending

import (
	"fmt"
	"time"

	"github.com/coder/websocket"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/guard"
)

// statusLeaving is the status with which a lender that stops closes a link. It means that the
// lender has answered each request that it has run, and runs none of the others.
const (
	statusLeaving = websocket.StatusGoingAway
	reasonLeaving = "the host is stopping"
	// evictTimeout is how long a link that is closed for another one waits for its last answers.
	evictTimeout = time.Second
)

// Leave closes all links, so that borrowers know which of their calls have not run. It returns once
// they are closed, or when the time has passed. A link on which a call still runs then is left
// open. Transactions that are open over a link are rolled back.
func (l *Lender) Leave(until time.Time) {
	l.mu.Lock()
	l.leaving = true
	closed := make(chan struct{}, len(l.links))
	n := 0
	for b := range l.links {
		n++
		go guard.Run("end of a borrower's link", l.Engine.ReportPanic, func() {
			defer func() { closed <- struct{}{} }()
			b.leave(until)
		})
	}
	l.mu.Unlock()
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	for range n {
		select {
		case <-closed:
		case <-t.C:
			return
		}
	}
}

// addLink registers a link. It returns false if the lender is leaving.
func (l *Lender) addLink(b *borrowerLink) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving {
		return false
	}
	if l.links == nil {
		l.links = make(map[*borrowerLink]struct{})
	}
	l.links[b] = struct{}{}
	return true
}

func (l *Lender) removeLink(b *borrowerLink) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.links, b)
}

// leave closes the link after the requests that run have been answered. Calls that wait for a
// connection are not run any more.
func (b *borrowerLink) leave(until time.Time) {
	idle := b.beginLeaving()
	b.withdrawAll()
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-idle:
		_ = b.ws.Close(statusLeaving, reasonLeaving)
	case <-t.C:
	}
}

// beginLeaving lets no request begin any more, and returns a channel that is closed when all others
// have been answered.
func (b *borrowerLink) beginLeaving() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leaving {
		return b.idle
	}
	b.leaving, b.idle = true, make(chan struct{})
	if b.running == 0 {
		close(b.idle)
	}
	return b.idle
}

// evict closes the link for another connection. A request that has just arrived is answered, or its
// borrower learns that it has not run.
func (b *borrowerLink) evict() {
	go guard.Run("end of an idle link", b.lender.Engine.ReportPanic, func() {
		b.leave(time.Now().Add(evictTimeout))
		b.ws.CloseNow()
	})
}

// noteEnd notes why the link has ended, and whether the lender has said that the pending calls have
// not run. The first reason is kept.
func (l *link) noteEnd(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.left = l.left || websocket.CloseStatus(err) == statusLeaving
	if l.ended == nil {
		l.ended = err
	}
}

// endError returns the error of a call that was pending when the link ended.
func (l *link) endError() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.left {
		return engine.NotSent(fmt.Errorf("%w: %w", engine.ErrLenderUnavailable, errNotLending))
	}
	return fmt.Errorf("%w: %s: %v", errLinkBroken, l.address, l.ended)
}
