package engine

import (
	"errors"
	"sync"
	"time"
)

const (
	// spareSlots is how many requests beyond an endpoint's slots one host has
	// under way there, so that a slot that gets free finds work.
	spareSlots = 1
	// defaultSlots stands for an endpoint that does not say how many it has.
	defaultSlots = 3
	// gateCut is the factor by which the limit falls when the endpoint sheds
	// load, at most once each gateCutEvery.
	gateCut      = 0.7
	gateCutEvery = 100 * time.Millisecond
	// gateGrowth is what the limit grows for a full round of answers.
	gateGrowth = 0.2
	// firstService is taken for the duration of a request before one was seen.
	firstService = 10 * time.Millisecond
	// serviceWeight is the share of a new duration in the average.
	serviceWeight = 0.1
	// leastWork stands for the work of a request that seems to take less: clocks
	// and ways vary by as much.
	leastWork = time.Millisecond
	// mostOnWay bounds the requests on the way for each slot of a far endpoint.
	mostOnWay = 16
)

// errOverloaded says that more waits already than can be served in time.
var errOverloaded = errors.New("more waits for the endpoint than it serves in time")

// gate bounds what this host has under way at one endpoint. Work waits here, in
// order of class, and not in the endpoint's own queue, which refuses what does
// not fit. What would wait for too long is turned away at once.
type gate struct {
	now func() time.Time

	mu    sync.Mutex
	slots float64
	// most is the largest limit: what the endpoint runs, and what is on its way
	// there and back meanwhile.
	most    float64
	limit   float64
	running int
	// service is the duration of a request as seen from here, roundTrip the part of
	// it that is spent on the way.
	service   time.Duration
	roundTrip time.Duration
	cutAt     time.Time
	waiting   []*entrant
}

// entrant is a call that waits at a gate.
type entrant struct {
	class int
	ready chan struct{}
}

func newGate(now func() time.Time, slots int) *gate {
	if slots <= 0 {
		slots = defaultSlots
	}
	most := float64(slots + spareSlots)
	return &gate{now: now, slots: float64(slots), most: most, limit: most, service: firstService}
}

// distance takes the round trip to the endpoint. By Little's law a far endpoint
// works on little if requests on their way count like those that it runs.
func (g *gate) distance(roundTrip time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.roundTrip == 0 || roundTrip < g.roundTrip {
		g.service += roundTrip - g.roundTrip
		g.roundTrip = roundTrip
		g.bound()
	}
}

// bound sets the largest limit for the present durations.
func (g *gate) bound() {
	work := max(g.service-g.roundTrip, leastWork)
	onWay := min(float64(g.roundTrip)/float64(work), mostOnWay)
	most := g.slots*(1+onWay) + spareSlots
	if most > g.most {
		g.limit += most - g.most
	}
	g.most = most
	g.limit = min(g.limit, most)
}

// enter waits for a place. It fails at once if none is expected to be free in
// time, and otherwise when the time is over.
func (g *gate) enter(until time.Time, class int) error {
	g.mu.Lock()
	if len(g.waiting) == 0 && g.running < int(g.limit) {
		g.running++
		g.mu.Unlock()
		return nil
	}
	at := len(g.waiting)
	for at > 0 && g.waiting[at-1].class > class {
		at--
	}
	rest := until.Sub(g.now())
	if expected := time.Duration(float64(g.service) * float64(at+1) / g.limit); expected > rest {
		g.mu.Unlock()
		return errOverloaded
	}
	e := &entrant{class: class, ready: make(chan struct{})}
	g.waiting = append(g.waiting, nil)
	copy(g.waiting[at+1:], g.waiting[at:])
	g.waiting[at] = e
	g.mu.Unlock()
	return g.wait(e, rest)
}

// serves reports whether that many requests are expected to be served in time.
func (g *gate) serves(requests int, until time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Duration(float64(g.service)*float64(requests)/g.limit) <= until.Sub(g.now())
}

func (g *gate) wait(e *entrant, rest time.Duration) error {
	t := time.NewTimer(rest)
	defer t.Stop()
	select {
	case <-e.ready:
		return nil
	case <-t.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, o := range g.waiting {
		if o == e {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			return errOverloaded
		}
	}
	return nil
}

// leave gives the place on. shed tells that the endpoint refused the work as too
// much.
func (g *gate) leave(took time.Duration, shed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if now := g.now(); !shed {
		g.service += time.Duration(serviceWeight * float64(took-g.service))
		g.bound()
		g.limit = min(g.most, g.limit+gateGrowth/g.limit)
	} else if now.Sub(g.cutAt) >= gateCutEvery {
		g.limit, g.cutAt = max(1, g.limit*gateCut), now
	}
	for len(g.waiting) > 0 && g.running < int(g.limit) {
		g.running++
		close(g.waiting[0].ready)
		g.waiting = g.waiting[1:]
	}
}
