package engine

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// pacedEndpoint is an endpoint behind a gate that always has more work than its limit.
type pacedEndpoint struct {
	t      *testing.T
	e      *Engine
	g      *gate
	member replicaset.Member
	now    time.Time
	events []string
}

const usualDuration = 10 * time.Millisecond

// newPacedEndpoint returns an endpoint that has been in use for a while, on a host that has run
// for an hour.
func newPacedEndpoint(t *testing.T) *pacedEndpoint {
	p := &pacedEndpoint{t: t, now: time.Now()}
	began := p.now.Add(-time.Minute)
	p.e = &Engine{
		Zone: "z", SlowStart: true, Now: func() time.Time { return p.now },
		BootTime: func() replicaset.Instant { return replicaset.Instant(p.now.Sub(began)) },
		Event: func(v Event) {
			if v.Decision == "slow_start" {
				p.events = append(p.events, v.Reason)
			}
		},
		Dial: func(context.Context, replicaset.Member, session.Account) (*Conn, error) {
			return nil, errors.New("no network")
		},
	}
	p.member = replicaset.Member{ID: "a", Group: "g", Address: "a", Zone: "z", Role: replicaset.Replica, Slots: 5, Started: 1}
	p.e.Group("g").SetLead(p.e.BootTime(), replicaset.Lead{ID: "other", Term: 1, Version: 1})
	p.register()
	p.now = p.now.Add(time.Hour)
	p.rounds(20, usualDuration)
	return p
}

func (p *pacedEndpoint) register() {
	p.e.Group("g").Register(p.e.BootTime(), p.member)
	p.g = p.e.pool(p.e.group("g"), p.member).gate
}

// round fills the limit, ends all requests, and returns how many there were. Those beyond
// capacity are refused by the endpoint.
func (p *pacedEndpoint) round(took time.Duration, capacity int) int {
	p.t.Helper()
	n := 0
	for ; n == 0 || p.g.running < int(p.g.limit); n++ {
		if err := p.g.enter(p.now.Add(time.Minute), queued{class: classRead}); err != nil {
			p.t.Fatal(err)
		}
	}
	p.now = p.now.Add(took)
	for i := range n {
		p.g.leave(took, i >= capacity)
	}
	return n
}

// rounds returns the numbers of requests in flight in a number of rounds.
func (p *pacedEndpoint) rounds(n int, took time.Duration) []int {
	p.t.Helper()
	var inFlight []int
	for range n {
		inFlight = append(inFlight, p.round(took, 1000))
	}
	return inFlight
}

// restart starts the endpoint again.
func (p *pacedEndpoint) restart() {
	p.member.Started++
	p.register()
}

// TestSlowStartOfHealthyEndpoint covers an endpoint that is at its usual speed at once. It must
// not stay idle: the limit reaches the slots in the fourth round of answers.
func TestSlowStartOfHealthyEndpoint(t *testing.T) {
	p := newPacedEndpoint(t)
	p.restart()
	if got, want := p.rounds(5, usualDuration), []int{1, 2, 4, 6, 6}; !slices.Equal(got, want) {
		t.Errorf("requests in flight in each round: %v, want %v", got, want)
	}
	if len(p.events) != 2 || !strings.Contains(p.events[0], slowStartStarted) || !strings.Contains(p.events[1], "ended") {
		t.Errorf("events %v, want the begin and the end of a slow start", p.events)
	}
}

// TestSlowStartOfColdEndpoint covers an endpoint with cold caches: it must not get more than one
// request at a time until it answers at its usual speed.
func TestSlowStartOfColdEndpoint(t *testing.T) {
	p := newPacedEndpoint(t)
	p.restart()
	if got := p.rounds(10, 20*usualDuration); slices.Max(got) > 1 {
		t.Errorf("a cold endpoint gets %v requests at a time", got)
	}
	if got, want := p.rounds(5, usualDuration), []int{1, 2, 4, 6, 6}; !slices.Equal(got, want) {
		t.Errorf("a warm endpoint gets %v requests at a time, want %v", got, want)
	}
}

// TestSlowStartOfSlowerEndpoint guards against an endpoint that stays slower than before, such as
// one on a smaller machine, and gets one request at a time forever.
func TestSlowStartOfSlowerEndpoint(t *testing.T) {
	p := newPacedEndpoint(t)
	p.restart()
	got := p.rounds(100, 10*usualDuration)
	if at := slices.Index(got, 6); at < 20 || at > 75 {
		t.Errorf("the slots are in use from round %d on, want between 20 and 75: %v", at, got)
	}
}

// TestSlowStartOfUnknownSpeed covers an endpoint of which this host knows no durations: its first
// answer sets what is usual.
func TestSlowStartOfUnknownSpeed(t *testing.T) {
	p := newPacedEndpoint(t)
	p.member = replicaset.Member{ID: "new", Group: "g", Address: "new", Zone: "z", Role: replicaset.Replica, Slots: 5, Started: 1}
	p.register()
	if got, want := p.rounds(5, 8*usualDuration), []int{1, 2, 4, 6, 6}; !slices.Equal(got, want) {
		t.Errorf("requests in flight in each round: %v, want %v", got, want)
	}
}

// TestSlowStartSlowForAWhile covers an endpoint that slows down during its slow start: the limit
// falls to one at the least, and rises again as it does otherwise.
func TestSlowStartSlowForAWhile(t *testing.T) {
	p := newPacedEndpoint(t)
	p.restart()
	p.rounds(2, usualDuration)
	slow := p.rounds(6, 10*usualDuration)
	if slow[0] != 4 || slow[5] != 1 {
		t.Errorf("requests in flight while the endpoint is slow: %v, want from 4 down to 1", slow)
	}
	got := p.rounds(40, usualDuration)
	if at := slices.Index(got, 6); at < 15 || at > 35 {
		t.Errorf("the slots are in use from round %d on, want between 15 and 35: %v", at, got)
	}
}

// TestSlowStartOfRefusingEndpoint covers an endpoint that can run two requests at first: it is
// neither flooded nor idle, and gets all that it can run once it can run more.
func TestSlowStartOfRefusingEndpoint(t *testing.T) {
	p := newPacedEndpoint(t)
	p.restart()
	refused, most, sum := 0, 0, 0
	for i := range 100 {
		n := p.round(usualDuration, 2)
		if i >= 5 {
			refused, most, sum = refused+max(n-2, 0), max(most, n), sum+n
		}
	}
	if refused > 20 || most > 3 || sum < 140 {
		t.Errorf("%d of %d requests were refused, at most %d in flight", refused, sum, most)
	}
	if got := p.rounds(40, usualDuration); got[39] != 6 {
		t.Errorf("requests in flight after the endpoint has recovered: %v", got)
	}
}

// TestSlowStartAfterFailure covers an endpoint that fails for a while and answers again.
func TestSlowStartAfterFailure(t *testing.T) {
	p := newPacedEndpoint(t)
	p.g.noteFailure()
	p.now = p.now.Add(failureTime / 2)
	if got := p.rounds(1, usualDuration); got[0] != 6 {
		t.Errorf("%d requests in flight after one failure, want as before", got[0])
	}
	p.g.noteFailure()
	p.now = p.now.Add(failureTime)
	p.g.noteFailure()
	if got, want := p.rounds(4, usualDuration), []int{1, 2, 4, 6}; !slices.Equal(got, want) {
		t.Errorf("requests in flight in each round: %v, want %v", got, want)
	}
}

// TestSlowStartOfNewPrimary covers a replica that becomes primary: it gets the work of the whole
// group at once.
func TestSlowStartOfNewPrimary(t *testing.T) {
	p := newPacedEndpoint(t)
	p.e.Group("g").SetLead(p.e.BootTime(), replicaset.Lead{ID: "a", Term: 2, Version: 2})
	p.register()
	if got, want := p.rounds(4, usualDuration), []int{1, 2, 4, 6}; !slices.Equal(got, want) {
		t.Errorf("requests in flight in each round: %v, want %v", got, want)
	}
}

// TestSlowStartIgnoresEarlierRequests guards against a limit that grows by the answers to requests
// that were in flight before the slow start.
func TestSlowStartIgnoresEarlierRequests(t *testing.T) {
	p := newPacedEndpoint(t)
	for range 6 {
		if err := p.g.enter(p.now.Add(time.Minute), queued{class: classRead}); err != nil {
			t.Fatal(err)
		}
	}
	p.e.Group("g").SetLead(p.e.BootTime(), replicaset.Lead{ID: "a", Term: 2, Version: 2})
	p.register()
	admitted := make(chan error, 1)
	go func() { admitted <- p.g.enter(p.now.Add(time.Minute), queued{class: classRead}) }()
	for p.g.report().Waiting[classRead] == 0 {
		time.Sleep(time.Millisecond)
	}
	for range 6 {
		p.g.leave(usualDuration, false)
	}
	if err := <-admitted; err != nil || p.g.limit != 1 || p.g.running != 1 {
		t.Errorf("%d requests in flight with the limit %f and error %v, want 1", p.g.running, p.g.limit, err)
	}
}

// TestSlowStartEndsWithoutWork covers an endpoint that is hardly used: after a bounded time
// without a problem it is as any other.
func TestSlowStartEndsWithoutWork(t *testing.T) {
	p := newPacedEndpoint(t)
	p.restart()
	p.rounds(1, usualDuration)
	p.now = p.now.Add(slowStartQuiet)
	if got := p.rounds(1, usualDuration); got[0] != 6 {
		t.Errorf("%d requests in flight after %s, want 6", got[0], slowStartQuiet)
	}
}

// TestNoSlowStartAfterLossOfPower covers a whole fleet that starts at once: a host that has just
// started and knows nothing of an endpoint gives it all that its slots take, also if the endpoint
// could not be reached at first, starts again or becomes primary meanwhile.
func TestNoSlowStartAfterLossOfPower(t *testing.T) {
	old := newPacedEndpoint(t)
	p := &pacedEndpoint{t: t, now: old.now, member: old.member}
	p.e = &Engine{Zone: "z", SlowStart: true, Now: func() time.Time { return p.now }, BootTime: func() replicaset.Instant { return replicaset.Instant(p.now.Sub(old.now) + time.Minute) }}
	p.e.Group("g").SetLead(p.e.BootTime(), replicaset.Lead{ID: "other", Term: 1, Version: 1})
	p.register()
	p.now = p.now.Add(2 * time.Second)
	p.g.noteFailure()
	p.now = p.now.Add(2 * time.Second)
	p.g.noteFailure()
	p.restart()
	p.e.Group("g").SetLead(p.e.BootTime(), replicaset.Lead{ID: "a", Term: 2, Version: 2})
	p.register()
	if got := p.rounds(1, usualDuration); got[0] != 6 {
		t.Errorf("%d requests in flight at first, want 6", got[0])
	}
}

// TestSlowStartOff checks that nothing changes where slow start is off.
func TestSlowStartOff(t *testing.T) {
	p := newPacedEndpoint(t)
	p.e.SlowStart = false
	p.member.ID, p.member.Started = "b", 1
	p.register()
	p.restart()
	if got := p.rounds(1, usualDuration); got[0] != 6 {
		t.Errorf("%d requests in flight at first, want 6", got[0])
	}
}
