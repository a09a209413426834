package lending

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/guard"
)

// linkWantedTime is how long after Preconnect a link counts as wanted. Preconnect is called a few
// times a second while it is.
const linkWantedTime = 10 * time.Second

// beatInterval is how often a lender that is busy with a message sends a sign of life, since it reads
// no pings meanwhile.
const beatInterval = pingTimeout / 4

// heardConn notes when bytes have arrived.
type heardConn struct {
	net.Conn
	// at is in ns since the Unix epoch.
	at *atomic.Int64
}

// Read reads from the connection.
func (c heardConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.at.Store(time.Now().UnixNano())
	}
	return n, err
}

// linkAction is what keepalive does with a link.
type linkAction uint8

const (
	keepLink linkAction = iota
	pingLink
	closeLink
)

// want keeps the link from being closed as unused for linkWantedTime.
func (l *link) want() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wantedAt = time.Now()
}

// watch lets keepalive look at the link after pingInterval. The caller holds mu.
func (l *link) watch() {
	if l.watched {
		return
	}
	l.watched = true
	select {
	case l.called <- struct{}{}:
	default:
	}
}

// keepalive closes the link when it has been unused for the idle timeout, or when a ping fails. It
// pings the link each pingInterval while calls are pending. A link without calls wakes it up once
// in the idle timeout.
func (l *link) keepalive() {
	t := time.NewTimer(l.b.idleTimeout())
	defer t.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.called:
			t.Reset(pingInterval)
			continue
		case <-t.C:
		}
		action, wait := l.next(time.Now())
		if action == closeLink {
			l.forget()
			l.cancel()
			return
		}
		if action == pingLink && !l.ping() {
			l.noteEnd(errSilent)
			l.cancel()
			return
		}
		t.Reset(wait)
	}
}

// next returns what is due for the link, and how long keepalive waits afterwards unless there is a
// call.
func (l *link) next(now time.Time) (linkAction, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	timeout := l.b.idleTimeout()
	idle := now.Sub(l.lastUsed)
	switch {
	case len(l.pending) > 0:
		return pingLink, pingInterval
	case idle < timeout:
		l.watched = false
		return keepLink, timeout - idle
	case now.Sub(l.wantedAt) < linkWantedTime:
		l.watched, l.lastUsed = false, now
		return pingLink, timeout
	}
	// A call from now on is told that it was not sent.
	l.unused, l.pending = true, nil
	return closeLink, 0
}

// ping reports whether the lender gives a sign of life in time. It may be busy with a message, and
// read the ping only after that.
func (l *link) ping() bool {
	began, answered := time.Now(), make(chan struct{})
	go guard.Run("ping of a lender", l.b.OnPanic, func() {
		if l.ws.Ping(l.ctx) == nil {
			close(answered)
		}
	})
	t := time.NewTimer(pingTimeout)
	defer t.Stop()
	select {
	case <-answered:
		return true
	case <-l.ctx.Done():
		return false
	case <-t.C:
		return l.heard.Load() >= began.UnixNano()
	}
}

// setBusy notes whether the lender is busy with a message, while it reads nothing else.
func (b *borrowerLink) setBusy(busy bool) {
	b.busy.Store(busy)
	if busy {
		b.beat.Reset(beatInterval)
	} else {
		b.beat.Stop()
	}
}

// sendBeat sends a sign of life to the borrower, and the next one after beatInterval.
func (b *borrowerLink) sendBeat() {
	if !b.busy.Load() {
		return
	}
	b.beat.Reset(beatInterval)
	ctx, cancel := context.WithTimeout(b.ctx, b.lender.timeout())
	defer cancel()
	_ = b.ws.Ping(ctx)
}

func (b *Borrower) idleTimeout() time.Duration {
	if b.IdleTimeout > 0 {
		return b.IdleTimeout
	}
	return linkIdleTimeout
}
