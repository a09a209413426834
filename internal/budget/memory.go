package budget

import (
	"slices"
	"time"
)

// DefaultSlowAfter is the default of Budget.SlowAfter. A message of 1 MiB takes 5 s if it has
// a sixth of a link of 10 Mbit/s.
const DefaultSlowAfter = 5 * time.Second

// waiter is a connection that waits for bytes of a part.
type waiter struct {
	c     *Conn
	n     int64
	ready chan struct{}
	err   error
	done  bool
}

// fail ends the wait with an error.
func (w *waiter) fail(err error) {
	if !w.done {
		w.done, w.err = true, err
		close(w.ready)
	}
}

// BeginMessage notes that a message is received from now on, EndMessage that it is complete.
func (c *Conn) BeginMessage() { c.setReceiving(true) }

// EndMessage notes that a message is complete.
func (c *Conn) EndMessage() { c.setReceiving(false) }

func (c *Conn) setReceiving(begin bool) {
	if c == nil {
		return
	}
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	c.receiving = time.Time{}
	if begin {
		c.receiving = c.b.Now()
	}
}

// Acquire charges n bytes to a part for a connection. It waits for them until the timer
// fires; a nil channel means not to wait. The waiting connection whose source holds least of
// the part is served first.
func (c *Conn) Acquire(p Part, n int, timeout <-chan time.Time) error {
	if c == nil || !c.b.Limited() {
		return nil
	}
	b := c.b
	b.mu.Lock()
	pt := &b.parts[p]
	switch {
	case c.gone:
		b.mu.Unlock()
		return ErrEvicted
	case int64(n) > pt.limit:
		b.mu.Unlock()
		return ErrFull
	case len(pt.waiters) == 0 && pt.used+int64(n) <= pt.limit:
		b.hold(c, p, int64(n))
		b.mu.Unlock()
		return nil
	case timeout == nil:
		b.mu.Unlock()
		return ErrFull
	}
	w := &waiter{c: c, n: int64(n), ready: make(chan struct{})}
	pt.waiters = append(pt.waiters, w)
	c.waiter = w
	b.mu.Unlock()
	b.evictSlow(p)
	err := b.await(w, timeout, p)
	return err
}

// recheckInterval is how often a waiting connection checks whether others have become slow.
const recheckInterval = time.Second

// await waits until the budget has served a waiter, or the timer fires.
func (b *Budget) await(w *waiter, timeout <-chan time.Time, p Part) error {
	t := time.NewTicker(recheckInterval)
	defer t.Stop()
	for waiting := true; waiting; {
		select {
		case <-w.ready:
			waiting = false
		case <-timeout:
			b.mu.Lock()
			w.fail(ErrFull)
			b.mu.Unlock()
			waiting = false
		case <-t.C:
			b.evictSlow(p)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	w.c.waiter = nil
	pt := &b.parts[p]
	if i := slices.Index(pt.waiters, w); i >= 0 {
		pt.waiters = slices.Delete(pt.waiters, i, i+1)
		b.admitWaiters(p)
	}
	return w.err
}

// BeginSend notes that a charged answer is sent from now on, EndSend that it was read.
func (c *Conn) BeginSend() { c.setSending(true) }

// EndSend notes that an answer was read.
func (c *Conn) EndSend() { c.setSending(false) }

func (c *Conn) setSending(begin bool) {
	if c == nil {
		return
	}
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	c.sending = time.Time{}
	if begin {
		c.sending = c.b.Now()
	}
}

// slowSince returns since when the connection receives a message or leaves an answer unread,
// zero if it does neither.
func (c *Conn) slowSince(p Part) time.Time {
	if p == Answers {
		return c.sending
	}
	return c.receiving
}

// evictSlow closes the connection whose message is received, or whose answer is unread, for
// longest, if that is longer than SlowAfter.
func (b *Budget) evictSlow(p Part) {
	b.mu.Lock()
	pt := &b.parts[p]
	var v *Conn
	if len(pt.waiters) > 0 {
		for c := range pt.holders {
			since := c.slowSince(p)
			if !c.gone && !since.IsZero() && (v == nil || since.Before(v.slowSince(p))) {
				v = c
			}
		}
	}
	if v == nil || b.Now().Sub(v.slowSince(p)) < b.SlowAfter {
		b.mu.Unlock()
		return
	}
	b.remove(v)
	b.mu.Unlock()
	if p == Answers {
		b.close([]*Conn{v}, AnswerUnread)
	} else {
		b.close([]*Conn{v}, MessageSlow)
	}
}

// admitWaiters serves the waiters of a part for which there is room.
func (b *Budget) admitWaiters(p Part) {
	pt := &b.parts[p]
	for len(pt.waiters) > 0 {
		held := make(map[string]int64)
		for c, n := range pt.holders {
			held[c.source] += n
		}
		best := 0
		for i, w := range pt.waiters {
			if held[w.c.source] < held[pt.waiters[best].c.source] {
				best = i
			}
		}
		w := pt.waiters[best]
		if !w.done && pt.used+w.n > pt.limit {
			return
		}
		pt.waiters = slices.Delete(pt.waiters, best, best+1)
		if !w.done {
			b.hold(w.c, p, w.n)
			w.fail(nil)
		}
	}
}

func (b *Budget) hold(c *Conn, p Part, n int64) {
	pt := &b.parts[p]
	pt.used += n
	c.held[p] += n
	pt.holders[c] = c.held[p]
}

func (b *Budget) release(c *Conn, p Part, n int64) {
	pt := &b.parts[p]
	// What was acquired while there was no limit has not been charged.
	n = min(n, c.held[p])
	pt.used -= n
	c.held[p] -= n
	pt.holders[c] = c.held[p]
	if c.held[p] == 0 {
		delete(pt.holders, c)
	}
	b.admitWaiters(p)
}

// Release returns bytes that the connection has acquired.
func (c *Conn) Release(p Part, n int) {
	if c == nil || n == 0 {
		return
	}
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	c.b.release(c, p, int64(n))
}

// BeginAnswer charges an answer that is sent. It always succeeds, because a statement that
// has run must be answered; if the part has no room, the connections whose answers are unread
// for longest are closed.
func (c *Conn) BeginAnswer(p Part, n int) {
	if c == nil || !c.b.Limited() {
		return
	}
	b := c.b
	b.mu.Lock()
	if c.held[p] == 0 {
		c.sending = b.Now()
	}
	b.hold(c, p, int64(n))
	var victims []*Conn
	pt := &b.parts[p]
	excess := pt.used - pt.limit
	for excess > 0 {
		v := pt.oldestAnswer(c)
		if v == nil {
			break
		}
		excess -= v.held[p]
		b.remove(v)
		victims = append(victims, v)
	}
	b.mu.Unlock()
	b.close(victims, AnswerUnread)
}

// oldestAnswer returns the connection whose answer is unread for longest, except for one.
func (pt *part) oldestAnswer(except *Conn) *Conn {
	var v *Conn
	for c := range pt.holders {
		if c != except && !c.gone && (v == nil || c.sending.Before(v.sending)) {
			v = c
		}
	}
	return v
}

// EndAnswer releases an answer that was sent.
func (c *Conn) EndAnswer(p Part, n int) { c.Release(p, n) }

// SetNamed charges the size of a named value of the session, in place of its old size; 0
// removes it. If the part has no room, the idle session that holds most of it is closed if
// it holds more than this one, and this one is refused otherwise. SetNamed returns the old
// size.
func (c *Conn) SetNamed(name string, n int) (old int, err error) {
	if c == nil || !c.b.Limited() {
		return 0, nil
	}
	b := c.b
	b.mu.Lock()
	old = c.stateSizes[name]
	growth := int64(n - old)
	pt := &b.parts[SessionState]
	var victims []*Conn
	if growth > 0 && pt.used+growth > pt.limit {
		v := pt.largestIdle()
		if v == nil || v.held[SessionState] <= c.held[SessionState]+growth || !v.evictIdle() {
			b.mu.Unlock()
			b.Refused(StateFull)
			return old, ErrFull
		}
		b.remove(v)
		victims = append(victims, v)
	}
	if c.stateSizes == nil {
		c.stateSizes = make(map[string]int)
	}
	c.stateSizes[name] = n
	if n == 0 {
		delete(c.stateSizes, name)
	}
	b.hold(c, SessionState, growth)
	if c.held[SessionState] == 0 {
		delete(pt.holders, c)
	}
	b.mu.Unlock()
	b.close(victims, StateFull)
	return old, nil
}

// largestIdle returns the idle connection that holds most of a part.
func (pt *part) largestIdle() *Conn {
	var v *Conn
	for c, n := range pt.holders {
		if !c.gone && State(c.state.Load()) == Idle && (v == nil || n > pt.holders[v]) {
			v = c
		}
	}
	return v
}
