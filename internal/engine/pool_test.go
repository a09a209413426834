package engine

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
)

func testPool(dial func(context.Context, replicaset.Member) (*Conn, error)) (*pool, *time.Time) {
	now := time.Now()
	p := &pool{dial: dial, now: func() time.Time { return now }}
	p.setShare(0, 1)
	return p, &now
}

// TestPoolBacksOffFromFullEndpoint answers the load of many hosts before an
// endpoint whose connections are all taken: each statement that waited tried to
// connect again at once, and an endpoint spent its time on refusals.
func TestPoolBacksOffFromFullEndpoint(t *testing.T) {
	dials := 0
	p := &pool{now: time.Now, dial: func(context.Context, replicaset.Member) (*Conn, error) {
		dials++
		return nil, &DialError{Code: TooManyConnections}
	}}
	p.setShare(0, 1)
	const span = 10 * emptyBackoff
	for end := time.Now().Add(span); time.Now().Before(end); {
		_, err := p.own(time.Now().Add(time.Second), classRead, nil)
		var refused *DialError
		if !errors.As(err, &refused) {
			t.Fatalf("a full endpoint gives %v", err)
		}
	}
	if dials < 2 || dials > int(span/emptyBackoff)+1 {
		t.Errorf("%d dials in %s, want one each %s", dials, span, emptyBackoff)
	}
}

// TestPoolHandsOnWritesFirst answers the load of transactions that pin all
// connections: who waits for a write gets the next one before readers.
func TestPoolHandsOnWritesFirst(t *testing.T) {
	p, now := testPool(func(context.Context, replicaset.Member) (*Conn, error) { return &Conn{Close: func() {}}, nil })
	deadline := now.Add(time.Minute)
	a, _ := p.own(deadline, classRead, nil)
	if b, err := p.own(deadline, classRead, nil); err != nil || b == a {
		t.Fatal("no second connection")
	}
	got := make(chan string, 2)
	wait := func(class int, name string, waiting int) {
		go func() {
			c, err := p.own(deadline, class, nil)
			if err == nil {
				got <- name
				p.release(c)
			}
		}()
		for _, _, n := p.load(); n < waiting; _, _, n = p.load() {
			time.Sleep(time.Millisecond)
		}
	}
	wait(classRead, "read", 1)
	wait(classWrite, "write", 2)
	p.release(a)
	if first := <-got; first != "write" {
		t.Errorf("%s goes first", first)
	}
	<-got
}

// TestPoolFailsWaitersOfLostEndpoint answers an endpoint that dies with all
// connections: those who wait for one are told at once.
func TestPoolFailsWaitersOfLostEndpoint(t *testing.T) {
	up := true
	p, now := testPool(func(context.Context, replicaset.Member) (*Conn, error) {
		if !up {
			return nil, errors.New("refused")
		}
		return &Conn{Close: func() {}}, nil
	})
	deadline := now.Add(time.Minute)
	a, _ := p.own(deadline, classRead, nil)
	b, _ := p.own(deadline, classRead, nil)
	failed := make(chan error, 1)
	go func() {
		_, err := p.own(deadline, classRead, nil)
		failed <- err
	}()
	for _, _, n := p.load(); n < 1; _, _, n = p.load() {
		time.Sleep(time.Millisecond)
	}
	up = false
	a.broken, b.broken = true, true
	p.release(a)
	p.release(b)
	if err := <-failed; err == nil {
		t.Error("a waiter got a connection of a dead endpoint")
	}
}

// TestPoolTurnsAway answers the load of a primary that all reads fall to: those who
// wait for a connection are refused at once when more wait than it can serve, and
// the group counts as pressed.
func TestPoolTurnsAway(t *testing.T) {
	p, now := testPool(func(context.Context, replicaset.Member) (*Conn, error) { return &Conn{Close: func() {}}, nil })
	p.gate = newGate(p.now, 1)
	p.gate.service = 100 * time.Millisecond
	for range 2 {
		if _, err := p.own(now.Add(time.Second), classRead, nil); err != nil {
			t.Fatal(err)
		}
	}
	results := make(chan error, 40)
	for range cap(results) {
		go func() {
			_, err := p.own(now.Add(time.Second), classRead, nil)
			results <- err
		}()
	}
	// 1 s is enough for twenty of 100 ms, two at a time.
	for range cap(results) - 20 {
		if err := <-results; !errors.Is(err, errOverloaded) {
			t.Fatalf("who waits behind more than can be served gets %v", err)
		}
	}
	if _, _, waiting := p.load(); waiting != 20 {
		t.Errorf("%d wait, want 20", waiting)
	}
}

// TestPoolLeavesReserve answers the power loss of all hosts: what they had open
// holds its place at the endpoints for seconds, and hosts that start again find
// none left if each had kept its whole share.
func TestPoolLeavesReserve(t *testing.T) {
	tests := []struct {
		name   string
		lent   bool
		used   int
		before time.Duration
		want   int
	}{
		{"just used", false, 3, reserveIdle, 3},
		{"own connections at rest", false, 3, reserveIdle + time.Millisecond, keptIdle},
		{"lent connections at rest", true, 6, reserveIdle + time.Millisecond, 2 + warmSpare},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, now := testPool(func(context.Context, replicaset.Member) (*Conn, error) { return &Conn{Close: func() {}}, nil })
			p.member.Slots = 2
			p.setShare(21, 7)
			if tt.lent {
				p.shareWith(2, true)
			}
			var open []*Conn
			for range tt.used {
				c, err := p.own(now.Add(time.Minute), classRead, nil)
				if err != nil {
					t.Fatal(err)
				}
				open = append(open, c)
			}
			for _, c := range open {
				p.release(c)
			}
			*now = now.Add(tt.before)
			p.trim()
			if got, idle, _ := p.load(); got != tt.want || idle != tt.want {
				t.Errorf("%d connections open, %d idle, want %d", got, idle, tt.want)
			}
		})
	}
}
