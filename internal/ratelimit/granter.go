package ratelimit

import (
	"cmp"
	"container/heap"
	"container/list"
	"slices"
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// idleChecks is the number of buckets that a request checks for being idle, so that idle ones are dropped without
// going through all.
const idleChecks = 8

// maxUse bounds the use that a host may report.
const maxUse = 1e6

// Recovery says how a granter takes over.
type Recovery struct {
	// Epoch must be above all former ones.
	Epoch Epoch
	// ReducedUntil is the end of the former lease, whoever held it, plus FallbackTime: until then, hosts that have
	// not accepted the epoch may use fallback rates of a former one.
	ReducedUntil time.Duration
	// Filled is true if buckets start with some tokens, which two terms must not do within Bounds.StartInterval.
	Filled bool
}

// Granter grants tokens to the hosts. Its exported fields are set before use.
type Granter struct {
	Bounds Bounds

	term    term
	now     time.Duration
	limits  map[session.Account]Limit
	buckets map[session.Account]*bucket
	// touched holds the buckets by the time of their last check.
	touched list.List
	hosts   map[string]*hostState
	// events holds the hosts by the time at which their state changes without a message.
	events eventQueue
	stats  GranterStats
	// listed holds the listed hosts, with neverDue, and the former ones until they don't count any more. listKnown
	// is false if there is no list.
	listed    map[string]time.Duration
	listKnown bool
	// heard holds the hosts that accepted the epoch before the end of the recovery, missing the others that may use
	// fallback rates of former epochs.
	heard, missing map[string]bool
}

// Start takes over granting, with buckets that are empty or as full as the bounds permit.
func (g *Granter) Start(now time.Duration, recovery Recovery) {
	g.term = term{epoch: recovery.Epoch, start: now, reducedUntil: recovery.ReducedUntil, filled: recovery.Filled}
	g.now = now
	g.buckets = make(map[session.Account]*bucket)
	g.touched.Init()
	g.hosts = make(map[string]*hostState)
	g.events = nil
	g.heard, g.missing = make(map[string]bool), nil
	if now < recovery.ReducedUntil {
		g.awaitHosts()
	}
}

// SetLimits replaces the limits. The map must not be changed afterwards.
func (g *Granter) SetLimits(now time.Duration, limits map[session.Account]Limit) {
	g.advance(now)
	g.limits = limits
	for _, h := range g.hosts {
		if h.phase == silent {
			h.settleCharges(g.now)
		}
	}
	for a, b := range g.buckets {
		if l, ok := limits[a]; ok && l != b.limit {
			b.settle(g.now, g.term)
			b.changeLimit(g.now, l, g.Bounds.plan(l), g.Bounds.Window)
		}
	}
}

// Grant answers a request. The response must not be sent if its epoch is 0: the lease has ended at leaseEnd, the
// request is late or repeated, or its host knows a later epoch.
func (g *Granter) Grant(now, leaseEnd time.Duration, r Request) Response {
	g.advance(now)
	if g.now >= leaseEnd || g.term.epoch == 0 || r.Epoch > g.term.epoch {
		g.stats.Ignored++
		return Response{}
	}
	h := g.host(r)
	if h == nil {
		g.stats.Ignored++
		return Response{}
	}
	g.stats.Requests++
	if r.Epoch == g.term.epoch {
		g.hear(r.Host)
		for _, it := range r.Items {
			g.report(h, it)
		}
	}
	g.confirm(h, r.Answered)
	// A host may use the last whole token of a former rate at its very end, so new rates wait for a window more.
	recovering := g.term.reducedUntil > 0 && g.now < g.term.reducedUntil+g.reach()
	resp := Response{
		Epoch: g.term.epoch, Incarnation: r.Incarnation, Sequence: r.Sequence,
		Lease: leaseEnd - g.now, Recovering: recovering,
		Items: make([]ResponseItem, 0, len(r.Items)),
	}
	for _, it := range r.Items {
		resp.Items = append(resp.Items, g.answer(h, it, r, recovering))
	}
	if !recovering {
		h.fallbackEnd = g.now + FallbackTime
	}
	g.schedule(h)
	g.sweep(h)
	g.dropIdle()
	return resp
}

// host returns the state of the request's host, or nil if the request is late or repeated.
func (g *Granter) host(r Request) *hostState {
	h := g.hosts[r.Host]
	if h != nil && r.Incarnation > h.incarnation {
		// The former process has ended, and with it its fallback.
		g.forget(h)
		g.remove(h)
		h = nil
	}
	if h == nil {
		h = &hostState{
			name: r.Host, incarnation: r.Incarnation, index: -1, confirmedAt: g.now,
			nextSweep: g.now + sweepInterval, entries: make(map[session.Account]*entry),
		}
		g.hosts[r.Host] = h
	}
	if r.Incarnation < h.incarnation || r.Sequence <= h.last {
		return nil
	}
	if h.phase == gone {
		h.phase, h.confirmedAt = answering, g.now
	}
	h.last, h.lastAt = r.Sequence, g.now
	h.arrivals[r.Sequence%arrivalsKept] = arrival{r.Sequence, g.now}
	return h
}

// report applies what a host reports about an account since the last request.
func (g *Granter) report(h *hostState, it RequestItem) {
	e := h.entries[it.Account]
	if e == nil {
		return
	}
	b := e.bucket
	b.settle(g.now, g.term)
	// The counters start again if the host has dropped the account meanwhile.
	if it.Generated < e.generated {
		e.generated = 0
	}
	if n := it.Generated - e.generated; n > 0 {
		e.sentAt = g.now
		b.top -= float64(n)
		if h.phase == silent {
			e.reported += float64(n)
		} else {
			b.level -= float64(n)
		}
		g.stats.Generated += n
	}
	if it.Returned > e.returned {
		n := min(float64(it.Returned-e.returned), e.ahead)
		b.giveBack(n)
		e.ahead -= n
		g.stats.Returned += uint64(n)
	}
	e.generated, e.returned = it.Generated, it.Returned
}

// confirm notes that a host has received the response to its request n.
func (g *Granter) confirm(h *hostState, n Sequence) {
	if a := h.arrivals[n%arrivalsKept]; a.sequence == n && n > 0 {
		h.confirmedAt = max(h.confirmedAt, a.at)
	}
	if h.phase == silent && h.confirmedAt+silenceLimit > g.now {
		h.phase = answering
		for _, e := range h.entries {
			e.bucket.settle(g.now, g.term)
			e.bucket.uncharge(e, g.now, true)
			e.bucket.endSilence(e)
		}
	}
	kept := h.unconfirmed[:0]
	for _, e := range h.unconfirmed {
		if e.sequence > n {
			kept = append(kept, e)
			continue
		}
		e.unconfirmed = false
		g.reserve(h, e, e.fallback)
		if e.fallback == 0 && e.use == 0 {
			g.removeEntry(h, e)
		}
	}
	clear(h.unconfirmed[len(kept):])
	h.unconfirmed = kept
}

// answer grants tokens and a fallback rate for an account.
func (g *Granter) answer(h *hostState, it RequestItem, r Request, recovering bool) ResponseItem {
	out := ResponseItem{Account: it.Account}
	if _, ok := g.limits[it.Account]; !ok {
		// The host has a limit for the account that has not arrived here yet.
		out.AskAgain, out.Wait = shareWait, true
		return out
	}
	e := g.entry(h, it, r)
	b := e.bucket
	b.settle(g.now, g.term)
	if r.Answered+1 == r.Sequence {
		// No tokens are on their way, so that the host holds just these.
		b.used(max(e.ahead-float64(it.Held), 0))
		e.ahead = min(e.ahead, float64(it.Held))
	}
	b.clearPromise(e)
	e.touchedAt = g.now
	use := max(min(it.Use, maxUse), 0)
	b.use += use - e.use
	e.use = use
	granted, ahead := b.grant(it)
	e.ahead += ahead
	g.stats.Granted += uint64(granted)
	out.Granted, out.Validity = granted, b.plan.validity
	if denied := min(it.Waiting, it.Wanted) - min(granted, it.Waiting); denied > 0 {
		g.stats.Denied += uint64(denied)
		out.AskAgain, out.Spread, out.Wait = b.deny(e, g.now, float64(denied), g.term)
	}
	if !recovering && g.mayHaveFallback(h.name) {
		out.Fallback = b.fallback(e, g.now)
	}
	e.fallback = out.Fallback
	g.reserve(h, e, max(e.reserved, out.Fallback))
	e.sequence = r.Sequence
	if !e.unconfirmed {
		e.unconfirmed = true
		h.unconfirmed = append(h.unconfirmed, e)
	}
	return out
}

// entry returns the state of an account at a host.
func (g *Granter) entry(h *hostState, it RequestItem, r Request) *entry {
	e := h.entries[it.Account]
	if e != nil {
		return e
	}
	e = &entry{bucket: g.bucket(it.Account), silentAt: g.now, chargedAt: g.now, sentAt: neverSent}
	if r.Epoch == g.term.epoch {
		// What it counted before was charged, or is no part of this granter's buckets.
		e.generated, e.returned = it.Generated, it.Returned
	}
	e.bucket.entries++
	h.entries[it.Account] = e
	return e
}

func (g *Granter) bucket(a session.Account) *bucket {
	b := g.buckets[a]
	if b == nil {
		l := g.limits[a]
		b = newBucket(a, l, g.Bounds.plan(l), g.now, g.term)
		b.element = g.touched.PushBack(b)
		g.buckets[a] = b
	}
	return b
}

// reach is the longest time between the grants of two operations in one window.
func (g *Granter) reach() time.Duration { return g.Bounds.Window + maxValidity }

// dropIdle drops some of the buckets that are as a new one would be.
func (g *Granter) dropIdle() {
	for range min(idleChecks, g.touched.Len()) {
		el := g.touched.Front()
		b := el.Value.(*bucket)
		if b.idle(g.now, g.term) {
			g.touched.Remove(el)
			delete(g.buckets, b.account)
			continue
		}
		g.touched.MoveToBack(el)
	}
}

// Stats returns the counters.
func (g *Granter) Stats() GranterStats {
	out := g.stats
	out.Hosts, out.Accounts = len(g.hosts), len(g.buckets)
	for _, h := range g.hosts {
		if h.phase == silent {
			out.Silent++
		}
	}
	return out
}

// Busiest returns the n accounts with the most use, and the use of all others.
func (g *Granter) Busiest(n int) ([]Usage, float64) {
	var top usageHeap
	var rest float64
	for a, b := range g.buckets {
		if b.use <= 0 {
			continue
		}
		heap.Push(&top, Usage{Account: a, Use: b.use, Limit: b.limit})
		if len(top) > n {
			rest += heap.Pop(&top).(Usage).Use
		}
	}
	slices.SortFunc(top, func(a, b Usage) int { return -compareUsage(a, b) })
	return top, rest
}

func compareUsage(a, b Usage) int {
	if c := cmp.Compare(a.Use, b.Use); c != 0 {
		return c
	}
	return cmp.Compare(b.Account, a.Account)
}

// usageHeap is a heap of the accounts with the most use, the least of them first.
type usageHeap []Usage

func (h usageHeap) Len() int           { return len(h) }
func (h usageHeap) Less(i, j int) bool { return compareUsage(h[i], h[j]) < 0 }
func (h usageHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *usageHeap) Push(x any)        { *h = append(*h, x.(Usage)) }
func (h *usageHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
