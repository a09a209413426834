package engine

import (
	"errors"
	"testing"
	"time"
)

// TestGateTurnsAway covers a group whose only fresh member cannot serve all of
// its reads. A read that cannot be served in time is refused at once, and the
// endpoint never gets more requests than the gate's limit, so that it sheds no
// load.
func TestGateTurnsAway(t *testing.T) {
	g := newGate(time.Now, 2)
	const service = 20 * time.Millisecond
	for range 40 {
		if err := g.enter(time.Now().Add(time.Second), queued{class: classRead}); err != nil {
			t.Fatal(err)
		}
		g.leave(service, false)
	}
	for range 2 + spareSlots {
		if err := g.enter(time.Now().Add(time.Second), queued{class: classRead}); err != nil {
			t.Fatal(err)
		}
	}
	results := make(chan error, 100)
	began := time.Now()
	for range cap(results) {
		go func() { results <- g.enter(time.Now().Add(5*service), queued{class: classRead}) }()
	}
	refused := 0
	for range cap(results) / 2 {
		if err := <-results; !errors.Is(err, errOverloaded) {
			t.Fatalf("a request beyond the limit is not refused: %v", err)
		}
		refused++
	}
	if took := time.Since(began); took > 4*service {
		t.Errorf("%d refusals took %s, want them immediately", refused, took)
	}
}

// TestGateOrder covers transactions that hold scarce connections: their
// statements go before new work, whenever they arrived.
func TestGateOrder(t *testing.T) {
	g := newGate(time.Now, 1)
	for g.running < int(g.limit) {
		_ = g.enter(time.Now().Add(time.Second), queued{class: classRead})
	}
	order := make(chan int, 3)
	for i, class := range []int{classRead, classWrite, classInTransaction} {
		go func() {
			if g.enter(time.Now().Add(5*time.Second), queued{class: class}) == nil {
				order <- class
				g.leave(time.Millisecond, false)
			}
		}()
		for waiting := 0; waiting <= i; time.Sleep(time.Millisecond) {
			g.mu.Lock()
			waiting = len(g.waiting)
			g.mu.Unlock()
		}
	}
	g.leave(time.Millisecond, false)
	for _, want := range []int{classInTransaction, classWrite, classRead} {
		if got := <-order; got != want {
			t.Errorf("class %d is admitted next, want %d", got, want)
		}
	}
}

// TestGateYields covers an endpoint that sheds load because other hosts use it
// as well. The limit of this host falls, and rises again when the endpoint
// serves its requests.
func TestGateYields(t *testing.T) {
	now := time.Now()
	g := newGate(func() time.Time { return now }, 3)
	for range 50 {
		now = now.Add(gateDecreaseInterval)
		if err := g.enter(now.Add(time.Second), queued{class: classRead}); err != nil {
			t.Fatal(err)
		}
		g.leave(time.Millisecond, true)
	}
	if g.limit != 1 {
		t.Errorf("the limit is %f after refusals, want 1", g.limit)
	}
	for range 100 {
		_ = g.enter(now.Add(time.Second), queued{class: classRead})
		g.leave(time.Millisecond, false)
	}
	if g.limit != g.maxLimit {
		t.Errorf("the limit is %f after answers, want %f", g.limit, g.maxLimit)
	}
}

// TestGateFarEndpoint covers a distant endpoint: requests in transit must not
// take the place of those that the endpoint could run.
func TestGateFarEndpoint(t *testing.T) {
	const work = 10 * time.Millisecond
	tests := []struct {
		roundTrip   time.Duration
		slots, want int
	}{
		{200 * time.Microsecond, 2, 2 + spareSlots},
		{24 * time.Millisecond, 2, 6 + spareSlots},
		{70 * time.Millisecond, 2, 15 + spareSlots},
		{70 * time.Millisecond, 8, 63 + spareSlots},
		{time.Second, 1, 16 + spareSlots},
	}
	for _, tt := range tests {
		g := newGate(time.Now, tt.slots)
		g.noteRoundTrip(tt.roundTrip)
		for range 100 {
			if err := g.enter(time.Now().Add(time.Minute), queued{class: classRead}); err != nil {
				t.Fatal(err)
			}
			g.leave(tt.roundTrip+work, false)
		}
		admitted := 0
		for admitted < 200 && g.running < int(g.limit) {
			_ = g.enter(time.Now().Add(time.Minute), queued{class: classRead})
			admitted++
		}
		if admitted < tt.want-1 || admitted > tt.want+1 {
			t.Errorf("round trip %s, %d slots: %d requests in flight, want about %d", tt.roundTrip, tt.slots, admitted, tt.want)
		}
	}
}

// leave ends a request of which only the duration is known, and whether the endpoint refused it as
// too much load.
func (g *gate) leave(took time.Duration, shed bool) {
	g.end(queued{}, answer{took: took, shed: shed})
}
