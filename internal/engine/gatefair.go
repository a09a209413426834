package engine

import (
	"time"

	"github.com/cumintrestle/cumintrestle/internal/fairqueue"
)

const (
	// overdueInterval is how often the queue is checked for requests whose deadline is lost.
	// A check takes time proportional to the queue.
	overdueInterval = 20 * time.Millisecond
	// overdueTolerance is the factor by which the expected wait of a queued request has to
	// exceed the time that it has left. The expected duration of a request is a moving average
	// that varies by about as much.
	overdueTolerance = 1.25
	// maxExtraCost bounds what a request that took longer than expected counts beyond that, as a
	// multiple of the expected duration. A statement that waits for a lock uses little of the
	// endpoint.
	maxExtraCost = 9
)

// enterFair is enter where accounts are in use, for a request that has to wait. g.mu is held; it
// is released before the wait.
func (g *gate) enterFair(until time.Time, r queued) error {
	now := g.now()
	q := fairqueue.Request{Class: r.class, Account: r.account, Weight: r.weight, TargetBy: r.targetBy, Until: until}
	ahead := len(g.waiting) + g.queue.Ahead(q, now, g.serviceTime)
	rest := until.Sub(now)
	if g.expectedWait(ahead+1) > rest {
		g.mu.Unlock()
		return errOverloaded
	}
	it := g.queue.Push(q, make(chan error, 1), now, g.serviceTime)
	// The limit may have risen since the last answer.
	g.admitWaiting()
	g.mu.Unlock()
	return g.waitFair(it, rest)
}

// waitFair waits until a queued request is admitted or refused, or the time has passed.
func (g *gate) waitFair(it *fairqueue.Item[chan error], rest time.Duration) error {
	t := time.NewTimer(rest)
	defer t.Stop()
	select {
	case err := <-it.Value:
		return err
	case <-t.C:
	}
	g.mu.Lock()
	removed := g.queue.Remove(it)
	g.mu.Unlock()
	if removed {
		return errOverloaded
	}
	return <-it.Value
}

// admitFair admits waiting requests up to the limit, and refuses those whose time has passed.
func (g *gate) admitFair() {
	now := g.now()
	for g.running < int(g.limit) {
		it := g.queue.Next(now, g.serviceTime)
		if it == nil {
			return
		}
		if it.Until.Before(now) {
			g.refuse(it)
			continue
		}
		g.running++
		g.queue.Take(it, g.serviceTime)
		it.Value <- nil
	}
}

// refuseOverdue refuses the queued requests that can't be served in time any more: the endpoint
// has become slower, or others go before them.
func (g *gate) refuseOverdue() {
	now := g.now()
	if g.queue.Len() == 0 || now.Sub(g.checkedAt) < overdueInterval {
		return
	}
	g.checkedAt = now
	for _, it := range g.queue.Overdue(now, g.serviceTime, g.expectedWait, overdueTolerance) {
		g.refuse(it)
	}
}

func (g *gate) refuse(it *fairqueue.Item[chan error]) {
	g.queue.Remove(it)
	it.Value <- errOverloaded
}

// chargeExtra corrects what a request counted when it was admitted, the expected duration, by what
// it took. Otherwise an account of long statements would get a multiple of its share.
func (g *gate) chargeExtra(r queued, took time.Duration) {
	if g.queue.Len() > 0 {
		g.queue.Charge(r.class, r.account, min(took-g.serviceTime, maxExtraCost*g.serviceTime))
	}
}

// waitingRequests returns how many requests wait.
func (g *gate) waitingRequests() int { return len(g.waiting) + g.queue.Len() }
