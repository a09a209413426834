package ratelimit

import (
	"container/heap"
	"math"
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// arrivalsKept is the number of requests of a host whose arrival is kept until they are confirmed.
	arrivalsKept = 4
	// forgetAfter is the time after which a host without a message is forgotten. Repeated messages don't come
	// that late.
	forgetAfter = time.Minute
	// sweepInterval and staleAfter let the state of accounts end that a host has dropped without saying so. A
	// host reports on each account that it uses within idleAfter.
	sweepInterval = 10 * time.Second
	staleAfter    = 3 * idleAfter
	// neverSent is the time of the last operation under a fallback rate if there was none.
	neverSent = time.Duration(math.MinInt64 / 2)
)

type phase int

const (
	// answering hosts have received an answer within silenceLimit.
	answering phase = iota
	// silent hosts may use their fallback rates.
	silent
	// gone hosts have no fallback rates any more.
	gone
)

// hostState is what the granter knows about a host.
type hostState struct {
	name        string
	incarnation Incarnation
	phase       phase
	// last is the last request, received at lastAt.
	last     Sequence
	lastAt   time.Duration
	arrivals [arrivalsKept]arrival
	// confirmedAt is the arrival of the last request whose answer the host is known to have received, or that of
	// the first one.
	confirmedAt time.Duration
	// fallbackEnd is the latest time at which the host may use its fallback rates.
	fallbackEnd time.Duration
	entries     map[session.Account]*entry
	// unconfirmed holds the entries with a fallback rate that the host may not have received.
	unconfirmed []*entry
	nextSweep   time.Duration
	// eventAt is the time of the next change of the phase, index the place in the event queue or -1.
	eventAt time.Duration
	index   int
}

// arrival is the time at which a request arrived.
type arrival struct {
	sequence Sequence
	at       time.Duration
}

// entry is the state of an account at a host.
type entry struct {
	bucket *bucket
	// fallback is the rate in the last response, as a part of the limit's rate, sent for request sequence. reserved
	// is the highest one that the host may have.
	fallback, reserved float64
	sequence           Sequence
	unconfirmed        bool
	// use is the last reported use, ahead the tokens granted ahead that the host may still hold.
	use, ahead          float64
	generated, returned uint64
	touchedAt           time.Duration
	// promised is the number of operations that wait there and were not refused.
	promised float64
	// charged is what a host that is silent since silentAt was charged until chargedAt, and reported the number of
	// operations that it reported since. counted is true if it had a fallback rate in that time.
	charged, reported   float64
	silentAt, chargedAt time.Duration
	counted             bool
	// sentAt is the last time at which the host may have sent operations under a fallback rate.
	sentAt      time.Duration
	aheadSilent float64
}

func (e *entry) settleCharge(now time.Duration) {
	if now > e.chargedAt {
		e.charged += e.reserved * e.bucket.limit.Rate * (now - e.chargedAt).Seconds()
		e.chargedAt = now
	}
}

// settleCharges settles the charges of a silent host, before the limit changes to which they are proportional.
func (h *hostState) settleCharges(now time.Duration) {
	for _, e := range h.entries {
		e.settleCharge(now)
	}
}

// advance updates the phases of hosts to now.
func (g *Granter) advance(now time.Duration) {
	g.now = max(g.now, now)
	for len(g.events) > 0 && g.events[0].eventAt <= g.now {
		h := g.events[0]
		switch h.phase {
		case answering:
			h.phase = silent
			for _, e := range h.entries {
				e.bucket.settle(h.eventAt, g.term)
				e.bucket.charge(e, h.eventAt)
				e.bucket.beginSilence(e)
			}
		case silent:
			g.forget(h)
			h.phase = gone
		case gone:
			g.remove(h)
			continue
		}
		g.schedule(h)
	}
}

// schedule sets the time of a host's next change of phase.
func (g *Granter) schedule(h *hostState) {
	switch h.phase {
	case answering:
		h.eventAt = h.confirmedAt + silenceLimit
	case silent:
		h.eventAt = max(h.fallbackEnd, h.confirmedAt+silenceLimit)
	case gone:
		h.eventAt = h.lastAt + forgetAfter
	}
	if h.index < 0 {
		heap.Push(&g.events, h)
		return
	}
	heap.Fix(&g.events, h.index)
}

// forget drops all entries of a host that won't report on them. What it was charged is not refunded.
func (g *Granter) forget(h *hostState) {
	at := g.now
	if h.phase == silent && h.index >= 0 {
		at = min(at, h.eventAt)
	}
	for _, e := range h.entries {
		e.bucket.settle(at, g.term)
		g.removeEntry(h, e)
	}
	h.unconfirmed = nil
}

func (g *Granter) remove(h *hostState) {
	if h.index >= 0 {
		heap.Remove(&g.events, h.index)
	}
	delete(g.hosts, h.name)
}

func (g *Granter) removeEntry(h *hostState, e *entry) {
	b := e.bucket
	if g.now >= h.confirmedAt+silenceLimit-skewMargin {
		e.sentAt = g.now
	}
	if h.phase == silent {
		b.uncharge(e, b.at, false)
		b.endSilence(e)
	}
	b.changeReserve(e, 0, g.now, g.reach())
	b.used(e.ahead)
	b.clearPromise(e)
	b.use -= e.use
	b.entries--
	if b.entries == 0 {
		b.holders, b.reserved, b.use, b.ahead, b.promised = 0, 0, 0, 0, 0
	}
	delete(h.entries, b.account)
}

// reserve sets the highest fallback rate that the host may have for an account.
func (g *Granter) reserve(h *hostState, e *entry, part float64) {
	b := e.bucket
	if h.phase == silent && part != e.reserved {
		b.settle(g.now, g.term)
		e.settleCharge(g.now)
		b.changeCharge(e, e.reserved, part)
	}
	b.changeReserve(e, part, g.now, g.reach())
}

// sweep drops entries of accounts that the host does not report on any more.
func (g *Granter) sweep(h *hostState) {
	if g.now < h.nextSweep {
		return
	}
	h.nextSweep = g.now + sweepInterval
	for _, e := range h.entries {
		if !e.unconfirmed && g.now-e.touchedAt > staleAfter {
			e.bucket.settle(g.now, g.term)
			g.removeEntry(h, e)
		}
	}
}

// eventQueue is a heap of hosts by their next change of phase.
type eventQueue []*hostState

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].eventAt < q[j].eventAt }
func (q eventQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *eventQueue) Push(x any) {
	h := x.(*hostState)
	h.index = len(*q)
	*q = append(*q, h)
}

func (q *eventQueue) Pop() any {
	h := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	h.index = -1
	return h
}
