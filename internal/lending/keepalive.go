package lending

import (
	"context"
	"time"
)

// linkWantedTime is how long after Preconnect a link counts as wanted. Preconnect is called a few
// times a second while it is.
const linkWantedTime = 10 * time.Second

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

func (l *link) ping() bool {
	ctx, cancel := context.WithTimeout(l.ctx, pingTimeout)
	defer cancel()
	return l.ws.Ping(ctx) == nil
}

func (b *Borrower) idleTimeout() time.Duration {
	if b.IdleTimeout > 0 {
		return b.IdleTimeout
	}
	return linkIdleTimeout
}
