package engine

import (
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// GateReport describes the admission of requests to one endpoint.
type GateReport struct {
	Group    session.Group
	Endpoint replicaset.EndpointID
	// Limit is how many requests may be in flight, and Running how many are.
	Limit   float64
	Running int
	// Waiting has the number of waiting requests by class: statements of open transactions,
	// writes, reads.
	Waiting   [classRead + 1]int
	SlowStart bool
}

// ReportGates reports the admission of requests to each endpoint.
func (e *Engine) ReportGates(report func(GateReport)) {
	for _, g := range e.allGroups() {
		for _, p := range g.allPools() {
			r := p.gate.report()
			r.Group, r.Endpoint = g.Name, p.member.ID
			report(r)
		}
	}
}

func (g *gate) report() GateReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := GateReport{Limit: g.limit, Running: g.running, SlowStart: g.pace != nil && g.checkPace()}
	for _, w := range g.waiting {
		r.Waiting[min(max(w.class, 0), classRead)]++
	}
	for class := range r.Waiting {
		r.Waiting[class] += g.queue.LenOf(class)
	}
	return r
}

// warmedUp reports whether this host has run for long enough to tell an endpoint that has just
// started from one that it has not heard of yet.
func (e *Engine) warmedUp(now replicaset.Instant) bool { return now.Sub(e.startedAt) >= hostWarmUp }

// initPace prepares the slow start of a new pool's endpoint. old is the pool that it replaces, or
// nil.
func (e *Engine) initPace(g *group, p, old *pool) {
	if !e.SlowStart {
		return
	}
	p.gate.pace = &pace{report: func(reason string) {
		e.emit(Event{Group: g.Name, Endpoint: p.member.ID, Decision: "slow_start", Reason: reason})
	}}
	now := e.BootTime()
	switch {
	case old != nil && old.gate.pace != nil:
		known := p.gate.inherit(old.gate)
		if old.member.Started != p.member.Started && (known || e.warmedUp(now)) {
			p.gate.pace.schedule(e.Now(), slowStartStarted)
		}
	default:
		registered := g.RegisteredAt(p.member.ID)
		if registered.Sub(e.startedAt) >= hostWarmUp && now.Sub(registered) < recentStart {
			p.gate.pace.schedule(e.Now(), slowStartStarted)
		}
	}
}

// inherit takes over what the gate of the endpoint's last incarnation or address has measured,
// and reports whether the endpoint has answered there.
func (g *gate) inherit(old *gate) bool {
	old.mu.Lock()
	defer old.mu.Unlock()
	if !old.pace.everAnswered {
		return false
	}
	g.serviceTime, g.roundTrip = old.serviceTime, old.roundTrip
	g.pace.base, g.pace.known, g.pace.primary = old.serviceTime, old.pace.known, old.pace.primary
	g.updateMaxLimit()
	return true
}

// updateRole records whether a pool's endpoint leads its group.
func (e *Engine) updateRole(g *group, p *pool) {
	if p.gate.pace == nil {
		return
	}
	lead := g.Lead()
	if lead.ID == "" || lead.Switching {
		return
	}
	p.gate.noteRole(lead.ID == p.member.ID, e.warmedUp(e.BootTime()))
}

// noteRole records whether the endpoint leads its group. On a host that has just started, a
// change tells of a new endpoint only if the host has heard of it before.
func (g *gate) noteRole(primary, warmedUp bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pace.noteRole(primary) && (warmedUp || g.pace.everAnswered) {
		g.pace.schedule(g.now(), slowStartPrimary)
	}
}

// noteFailure records that the endpoint could not be reached or did not answer.
func (g *gate) noteFailure() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pace != nil {
		g.pace.noteFailure(g.now())
	}
}

// beginPace begins the slow start that is due, if any. g.mu must be held.
func (g *gate) beginPace() {
	reason := g.pace.takeDue(g.now())
	if reason == "" {
		return
	}
	expected := g.serviceTime
	if !g.pace.everAnswered && g.pace.base == 0 {
		expected = 0
	}
	g.pace.begin(g.now(), reason, expected, g.running)
	g.limit = 1
}

// checkPace ends a slow start after its time, and reports whether one is in progress. g.mu must
// be held.
func (g *gate) checkPace() bool {
	if g.pace.expired(g.now()) {
		g.limit = g.maxLimit
		g.admitWaiting()
	}
	return g.pace.active
}

// pacedAnswer adapts the limit to the end of a request. g.mu must be held.
func (g *gate) pacedAnswer(a answer) {
	now := g.now()
	if a.failed {
		g.pace.noteFailure(now)
	} else {
		g.pace.noteAnswer()
	}
	if g.checkPace() {
		g.limit = g.pace.answer(now, g.limit, g.maxLimit, a)
	}
}

// paced reports whether the limit follows a slow start. g.mu must be held.
func (g *gate) paced() bool { return g.pace != nil && g.pace.active }

// expectedWait returns how long the given number of requests is expected to take. g.mu must be
// held.
func (g *gate) expectedWait(requests int) time.Duration {
	n, limit, wait := float64(requests), g.limit, 0.0
	if g.paced() && g.pace.doubling {
		for limit < g.maxLimit && n > limit {
			n -= limit
			wait += float64(g.serviceTime)
			limit = min(limit*slowStartGrowth, g.maxLimit)
		}
	}
	return time.Duration(wait + float64(g.serviceTime)*n/limit)
}
