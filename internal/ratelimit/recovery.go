package ratelimit

import "time"

const (
	// perHostPart bounds the fallback rate of a single host, so that a granting host which takes over has to hold back
	// that much for each host that it has not heard of.
	perHostPart = fallbackPart / 6
	// delistedTime is how long a host that is no longer listed counts as one that may have fallback rates of a former
	// epoch. A host that is cut off from the store may lose its place in the list while it uses them.
	delistedTime = 2 * FallbackTime
)

// term is the time in which a granter grants under one epoch.
type term struct {
	epoch               Epoch
	start, reducedUntil time.Duration
	filled              bool
	// heldBack are the parts of the rate that were held back one after the other until reducedUntil. Buckets refill
	// over past intervals.
	heldBack []heldBack
}

// heldBack is the part of the rate that is held back from a time on, for fallback rates of former epochs.
type heldBack struct {
	at   time.Duration
	part float64
}

// part returns the part of the rate that is held back.
func (t *term) part(now time.Duration) float64 {
	if now >= t.reducedUntil || len(t.heldBack) == 0 {
		return 0
	}
	return t.heldBack[len(t.heldBack)-1].part
}

// hold changes the part that is held back from now on.
func (t *term) hold(now time.Duration, part float64) {
	if n := len(t.heldBack); n == 0 || t.heldBack[n-1].part != part {
		t.heldBack = append(t.heldBack, heldBack{now, part})
	}
}

// refill returns the tokens that a bucket gets between two times.
func (t *term) refill(b *bucket, from, to time.Duration) float64 {
	tokens := b.plan.refill * max(to-max(from, t.reducedUntil), 0).Seconds()
	for i, h := range t.heldBack {
		begin, end := from, min(to, t.reducedUntil)
		if i > 0 {
			begin = max(begin, h.at)
		}
		if i+1 < len(t.heldBack) {
			end = min(end, t.heldBack[i+1].at)
		}
		tokens += b.refillRate(h.part) * max(end-begin, 0).Seconds()
	}
	return tokens
}

// SetHosts replaces the list of hosts. Fallback rates are given only to these; an empty list is one that is not known.
func (g *Granter) SetHosts(now time.Duration, names []string) {
	g.advance(now)
	listed := make(map[string]time.Duration, len(names))
	for name, until := range g.listed {
		if until = min(until, g.now+delistedTime); until > g.now {
			listed[name] = until
		}
	}
	for _, name := range names {
		listed[name] = neverDue
	}
	g.listed, g.listKnown = listed, len(names) > 0
	if g.now < g.term.reducedUntil {
		g.awaitHosts()
	}
}

// mayHaveFallback reports whether a host may be given fallback rates.
func (g *Granter) mayHaveFallback(name string) bool {
	return !g.listKnown || g.listed[name] == neverDue
}

// awaitHosts holds back what hosts that have not been heard of in this term may generate.
func (g *Granter) awaitHosts() {
	g.missing = make(map[string]bool)
	for name, until := range g.listed {
		if until > g.now && !g.heard[name] {
			g.missing[name] = true
		}
	}
	g.holdBack()
}

func (g *Granter) holdBack() {
	if !g.listKnown {
		g.term.hold(g.now, fallbackPart)
		return
	}
	g.term.hold(g.now, min(fallbackPart, perHostPart*float64(len(g.missing))))
	if len(g.missing) == 0 {
		g.term.reducedUntil = g.now
	}
}

// hear notes that a host has accepted this term's epoch, and with it given up the fallback rates of former ones.
func (g *Granter) hear(name string) {
	if g.now >= g.term.reducedUntil || g.heard[name] {
		return
	}
	g.heard[name] = true
	if g.missing[name] {
		delete(g.missing, name)
		g.holdBack()
	}
}
