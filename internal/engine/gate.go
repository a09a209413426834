package engine

import (
	"errors"
	"sync"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/fairqueue"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// spareSlots is how many requests beyond an endpoint's slots one host keeps
	// in flight there, so that a slot that becomes free finds work.
	spareSlots = 1
	// defaultSlots is assumed for an endpoint that does not report its slots.
	defaultSlots = 3
	// gateDecrease is the factor by which the limit is reduced when the endpoint
	// sheds load, at most once per gateDecreaseInterval.
	gateDecrease         = 0.7
	gateDecreaseInterval = 100 * time.Millisecond
	// gateIncrease is how much the limit grows per round of answers: as many
	// answers as the limit.
	gateIncrease = 0.2
	// initialServiceTime is assumed for the duration of a request until one was
	// measured.
	initialServiceTime = 10 * time.Millisecond
	// serviceTimeWeight is the weight of a new duration in the moving average.
	serviceTimeWeight = 0.1
	// minWork is the least processing time assumed for a request. Clocks and
	// network paths vary by as much.
	minWork = time.Millisecond
	// maxInTransitPerSlot bounds the requests in transit for each slot of a
	// distant endpoint.
	maxInTransitPerSlot = 16
)

// errOverloaded reports that more requests wait for an endpoint than it can
// serve in time.
var errOverloaded = errors.New("endpoint overloaded: more requests are waiting than it can serve in time")

// gate is an admission gate with an adaptive concurrency limit for the requests
// of this host to one endpoint. Requests wait here, in order of class, and not
// in the endpoint's own queue, which refuses what does not fit. A request that
// would wait too long is rejected at once.
type gate struct {
	now func() time.Time

	mu    sync.Mutex
	slots float64
	// maxLimit is the upper bound of limit: the requests that the endpoint runs,
	// and those in transit meanwhile.
	maxLimit float64
	limit    float64
	running  int
	// serviceTime is the average duration of a request as seen by this host, and
	// roundTrip the part of it that the network takes.
	serviceTime time.Duration
	roundTrip   time.Duration
	decreasedAt time.Time
	waiting     []*gateWaiter
	// fair reports whether requests are ordered by account and target, and queue has those
	// that are. They are checked for lost deadlines at checkedAt.
	fair      func() bool
	queue     fairqueue.Queue[chan error]
	checkedAt time.Time
	// pace is the slow start of the endpoint, nil where it is not in use.
	pace *pace
}

// queued describes a request to the queue of an endpoint.
type queued struct {
	// class is the priority class, lowest first.
	class   int
	account session.Account
	// weight is the account's share of the capacity relative to others, 0 for the usual one.
	weight float64
	// targetBy is when the request has to be answered to meet its target latency, zero for
	// no target.
	targetBy time.Time
}

// gateWaiter is a request that waits for admission.
type gateWaiter struct {
	class int
	ready chan struct{}
}

func newGate(now func() time.Time, slots int) *gate {
	if slots <= 0 {
		slots = defaultSlots
	}
	maxLimit := float64(slots + spareSlots)
	return &gate{now: now, slots: float64(slots), maxLimit: maxLimit, limit: maxLimit, serviceTime: initialServiceTime}
}

// noteRoundTrip records the round trip to the endpoint if it is the shortest so
// far. By Little's law, a distant endpoint would be underused if requests in
// transit counted like those that it runs.
func (g *gate) noteRoundTrip(roundTrip time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.roundTrip == 0 || roundTrip < g.roundTrip {
		g.serviceTime += roundTrip - g.roundTrip
		g.roundTrip = roundTrip
		g.updateMaxLimit()
	}
}

// updateMaxLimit sets maxLimit for the current durations.
func (g *gate) updateMaxLimit() {
	work := max(g.serviceTime-g.roundTrip, minWork)
	inTransit := min(float64(g.roundTrip)/float64(work), maxInTransitPerSlot)
	maxLimit := g.slots*(1+inTransit) + spareSlots
	if maxLimit > g.maxLimit && !g.paced() {
		g.limit += maxLimit - g.maxLimit
	}
	g.maxLimit = maxLimit
	g.limit = min(g.limit, maxLimit)
}

// enter waits for admission. It fails at once if admission is not expected in
// time, and otherwise when the time has passed.
func (g *gate) enter(until time.Time, r queued) error {
	g.mu.Lock()
	if g.pace != nil {
		g.beginPace()
		g.checkPace()
	}
	if g.waitingRequests() == 0 && g.running < int(g.limit) {
		g.running++
		g.mu.Unlock()
		return nil
	}
	if g.fair != nil && g.fair() {
		return g.enterFair(until, r)
	}
	class := r.class
	at := len(g.waiting)
	for at > 0 && g.waiting[at-1].class > class {
		at--
	}
	rest := until.Sub(g.now())
	if g.expectedWait(at+1) > rest {
		g.mu.Unlock()
		return errOverloaded
	}
	e := &gateWaiter{class: class, ready: make(chan struct{})}
	g.waiting = append(g.waiting, nil)
	copy(g.waiting[at+1:], g.waiting[at:])
	g.waiting[at] = e
	g.mu.Unlock()
	return g.wait(e, rest)
}

// canServe reports whether the given number of requests is expected to be served
// in time.
func (g *gate) canServe(requests int, until time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.expectedWait(requests) <= until.Sub(g.now())
}

// wait waits until a queued request is admitted or the time has passed.
func (g *gate) wait(e *gateWaiter, rest time.Duration) error {
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

// cancel ends an admission that was not used.
func (g *gate) cancel() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.admitWaiting()
}

// end ends an admitted request, adjusts the limit, and admits waiting requests.
func (g *gate) end(r queued, a answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.place.free() {
		g.running--
	}
	if a.commits {
		// How long it waited for replicas tells nothing of the endpoint.
		a.took = min(a.took, g.serviceTime)
	}
	if g.pace != nil {
		g.pacedAnswer(a)
	}
	if now := g.now(); !a.shed {
		if !a.commits {
			g.chargeExtra(r, a.took)
			g.serviceTime += time.Duration(serviceTimeWeight * float64(a.took-g.serviceTime))
		}
		g.updateMaxLimit()
		if !g.paced() {
			g.limit = min(g.maxLimit, g.limit+gateIncrease/g.limit)
		}
	} else if !g.paced() && now.Sub(g.decreasedAt) >= gateDecreaseInterval {
		g.limit, g.decreasedAt = max(1, g.limit*gateDecrease), now
	}
	g.admitWaiting()
	g.refuseOverdue()
}

// admitWaiting admits waiting requests up to the limit.
func (g *gate) admitWaiting() {
	for len(g.waiting) > 0 && g.running < int(g.limit) {
		g.running++
		close(g.waiting[0].ready)
		g.waiting = g.waiting[1:]
	}
	g.admitFair()
}
