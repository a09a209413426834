package engine

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
)

func testPool(dial func(context.Context, replicaset.Member, session.Account) (*Conn, error)) (*pool, *time.Time) {
	now := time.Now()
	p := &pool{dial: dial, now: func() time.Time { return now }}
	p.setShare(0, 1)
	return p, &now
}

// TestPoolBacksOffFromFullEndpoint covers an endpoint whose connections are all
// taken by many hosts. When each waiting statement dialed again at once, the
// endpoint spent its time on refusals.
func TestPoolBacksOffFromFullEndpoint(t *testing.T) {
	dials := 0
	p := &pool{now: time.Now, dial: func(context.Context, replicaset.Member, session.Account) (*Conn, error) {
		dials++
		return nil, &DialError{Code: TooManyConnections}
	}}
	p.setShare(0, 1)
	const span = 10 * emptyBackoff
	for end := time.Now().Add(span); time.Now().Before(end); {
		_, err := p.acquire(time.Now().Add(time.Second), connNeed{class: classRead})
		var refused *DialError
		if !errors.As(err, &refused) {
			t.Fatalf("a full endpoint returns %v", err)
		}
	}
	if dials < 2 || dials > int(span/emptyBackoff)+1 {
		t.Errorf("%d dials in %s, want one each %s", dials, span, emptyBackoff)
	}
}

// TestPoolHandsOnWritesFirst covers transactions that hold all connections: a
// waiting write gets the next free one before waiting reads.
func TestPoolHandsOnWritesFirst(t *testing.T) {
	p, now := testPool(func(context.Context, replicaset.Member, session.Account) (*Conn, error) {
		return &Conn{Close: func() {}}, nil
	})
	deadline := now.Add(time.Minute)
	a, _ := p.acquire(deadline, connNeed{class: classRead})
	if b, err := p.acquire(deadline, connNeed{class: classRead}); err != nil || b == a {
		t.Fatal("no second connection")
	}
	got := make(chan string, 2)
	wait := func(class int, name string, waiting int) {
		go func() {
			c, err := p.acquire(deadline, connNeed{class: class})
			if err == nil {
				got <- name
				p.release(c)
			}
		}()
		for _, _, n := p.stats(); n < waiting; _, _, n = p.stats() {
			time.Sleep(time.Millisecond)
		}
	}
	wait(classRead, "read", 1)
	wait(classWrite, "write", 2)
	p.release(a)
	if first := <-got; first != "write" {
		t.Errorf("%s is served first", first)
	}
	<-got
}

// TestPoolFailsWaitersOfLostEndpoint covers an endpoint that fails with all of
// its connections: waiting requests must fail at once.
func TestPoolFailsWaitersOfLostEndpoint(t *testing.T) {
	up := true
	p, now := testPool(func(context.Context, replicaset.Member, session.Account) (*Conn, error) {
		if !up {
			return nil, errors.New("refused")
		}
		return &Conn{Close: func() {}}, nil
	})
	deadline := now.Add(time.Minute)
	a, _ := p.acquire(deadline, connNeed{class: classRead})
	b, _ := p.acquire(deadline, connNeed{class: classRead})
	failed := make(chan error, 1)
	go func() {
		_, err := p.acquire(deadline, connNeed{class: classRead})
		failed <- err
	}()
	for _, _, n := p.stats(); n < 1; _, _, n = p.stats() {
		time.Sleep(time.Millisecond)
	}
	up = false
	a.broken, b.broken = true, true
	p.release(a)
	p.release(b)
	if err := <-failed; err == nil {
		t.Error("a waiter got a connection to a dead endpoint")
	}
}

// TestPoolTurnsAway covers a primary that gets all reads: a request for a
// connection is refused at once when more are waiting than the primary can serve
// in time.
func TestPoolTurnsAway(t *testing.T) {
	p, now := testPool(func(context.Context, replicaset.Member, session.Account) (*Conn, error) {
		return &Conn{Close: func() {}}, nil
	})
	p.gate = newGate(p.now, 1)
	p.gate.serviceTime = 100 * time.Millisecond
	for range 2 {
		if _, err := p.acquire(now.Add(time.Second), connNeed{class: classRead}); err != nil {
			t.Fatal(err)
		}
	}
	results := make(chan error, 40)
	for range cap(results) {
		go func() {
			_, err := p.acquire(now.Add(time.Second), connNeed{class: classRead})
			results <- err
		}()
	}
	// In 1 s, twenty requests of 100 ms can be served, two at a time.
	for range cap(results) - 20 {
		if err := <-results; !errors.Is(err, errOverloaded) {
			t.Fatalf("a request behind more than can be served returns %v", err)
		}
	}
	if _, _, waiting := p.stats(); waiting != 20 {
		t.Errorf("%d wait, want 20", waiting)
	}
}

// TestPoolLeavesReserve covers a power loss of all hosts. Their connections stay
// open at the endpoints for seconds, and hosts that start again would find none
// left if each had kept its whole share.
func TestPoolLeavesReserve(t *testing.T) {
	tests := []struct {
		name    string
		lent    bool
		used    int
		idleFor time.Duration
		want    int
	}{
		{"just used", false, 3, reserveIdleTimeout, 3},
		{"own connections idle", false, 3, reserveIdleTimeout + time.Millisecond, minOpen},
		{"lent connections idle", true, 6, reserveIdleTimeout + time.Millisecond, 2 + prewarmSpare},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, now := testPool(func(context.Context, replicaset.Member, session.Account) (*Conn, error) {
				return &Conn{Close: func() {}}, nil
			})
			p.member.Slots = 2
			p.setShare(21, 7)
			if tt.lent {
				p.setHolderShare(2, true)
			}
			var open []*Conn
			for range tt.used {
				c, err := p.acquire(now.Add(time.Minute), connNeed{class: classRead})
				if err != nil {
					t.Fatal(err)
				}
				open = append(open, c)
			}
			for _, c := range open {
				p.release(c)
			}
			*now = now.Add(tt.idleFor)
			p.trim()
			if got, idle, _ := p.stats(); got != tt.want || idle != tt.want {
				t.Errorf("%d connections open, %d idle, want %d", got, idle, tt.want)
			}
		})
	}
}
