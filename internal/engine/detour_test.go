package engine

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
)

// TestDetour answers a primary that is cut off from some hosts but lives: those
// reach it through a host that it is not cut off from, and go back to the
// direct way when it is open again.
func TestDetour(t *testing.T) {
	var open atomic.Bool
	var borrowed atomic.Int64
	e := &Engine{Zone: "z", Now: time.Now, Boot: func() replicaset.Instant { return 1 }, Event: func(Event) {}}
	e.Dial = func(context.Context, replicaset.Member) (*Conn, error) {
		if !open.Load() {
			return nil, errors.New("i/o timeout")
		}
		return &Conn{Close: func() {}}, nil
	}
	e.Lenders = func(replicaset.Member, int) ([]string, int) { return nil, 0 }
	e.Detours = func(replicaset.Member) []string { return []string{"away", "near"} }
	e.Borrow = func(address string, _ replicaset.Member, _ uint64, _ Call) (FarAnswer, error) {
		if address == "away" {
			return FarAnswer{}, NotSent(ErrLenderAway)
		}
		borrowed.Add(1)
		return FarAnswer{Outcomes: []Outcome{{}}}, nil
	}
	m := replicaset.Member{ID: "m", Group: "g", Address: "m", Role: replicaset.Primary}
	p := e.pool(e.group("g"), m)
	for range 3 {
		c, err := e.acquire(p, time.Now().Add(time.Second), classRead, nil)
		if err == nil {
			_, err = c.Run(Call{Ops: []Op{{Text: "READ 7"}}})
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	if n := borrowed.Load(); n != 3 {
		t.Errorf("%d of 3 connections were borrowed", n)
	}
	open.Store(true)
	for end := time.Now().Add(5 * time.Second); p.cutOff(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the direct way is not taken again")
		}
	}
	if c, err := e.acquire(p, time.Now().Add(time.Second), classRead, nil); err != nil || c.GiveBack != nil {
		t.Errorf("a connection is borrowed though the endpoint is reached (%v)", err)
	}
}

// TestNonHolderGivesBack answers the start of all hosts at once before scarce
// connections: a host that opened some before it knew who holds them gives them
// back, or the holders never get any.
func TestNonHolderGivesBack(t *testing.T) {
	now := time.Now()
	closed := 0
	e := &Engine{Zone: "z", Now: func() time.Time { return now }, Boot: func() replicaset.Instant { return 1 }, Event: func(Event) {}}
	e.Dial = func(context.Context, replicaset.Member) (*Conn, error) {
		return &Conn{Close: func() { closed++ }}, nil
	}
	m := replicaset.Member{ID: "m", Group: "g", Address: "m", Role: replicaset.Primary}
	p := e.pool(e.group("g"), m)
	c, err := e.acquire(p, now.Add(time.Second), classRead, nil)
	if err != nil {
		t.Fatal(err)
	}
	p.release(c)
	e.Lenders = func(replicaset.Member, int) ([]string, int) { return []string{"h1", "h2", ""}, 2 }
	now = now.Add(surplusIdle + time.Millisecond)
	e.Maintain()
	if closed != 1 {
		t.Errorf("%d connections were given back, want 1", closed)
	}
}

// TestHolderCutOff answers a partition between an endpoint and one of the two hosts
// that hold its connections: whoever borrows goes to the other one, and that host
// itself goes through another, without waiting for a dial each time.
func TestHolderCutOff(t *testing.T) {
	now := replicaset.Instant(time.Minute)
	cut := holder(&now)
	var dials atomic.Int64
	cut.Dial = func(context.Context, replicaset.Member) (*Conn, error) {
		dials.Add(1)
		return nil, errors.New("i/o timeout")
	}
	deadline := time.Now().Add(time.Minute)
	call := Call{Until: deadline, Deadline: deadline, Class: classRead, Ops: []Op{{Text: "READ 7"}}}
	for range 5 {
		if _, err := cut.Lend("g", "next", call); !errors.Is(err, ErrUnreached) {
			t.Fatalf("an endpoint that is not reached gives %v", err)
		}
	}
	if n := dials.Load(); n != 1 {
		t.Errorf("%d dials for five calls, want one", n)
	}
	e := holder(&now)
	var asked []string
	e.Lenders = func(replicaset.Member, int) ([]string, int) { return []string{"cut", "well"}, 2 }
	e.Borrow = func(address string, _ replicaset.Member, _ uint64, _ Call) (FarAnswer, error) {
		asked = append(asked, address)
		if address == "cut" {
			return FarAnswer{}, NotSent(ErrUnreached)
		}
		return FarAnswer{Outcomes: []Outcome{{}}}, nil
	}
	m, _ := e.group("g").Member("next")
	c, err := e.acquire(e.pool(e.group("g"), m), deadline, classRead, nil)
	if err == nil {
		_, err = c.Run(call)
	}
	if err != nil || len(asked) != 2 {
		t.Errorf("the other holder is not asked: %v, %v", asked, err)
	}
}

// TestNobodyReaches answers an endpoint that is gone: those who borrow find that
// out once, and are refused at once afterwards.
func TestNobodyReaches(t *testing.T) {
	now := replicaset.Instant(time.Minute)
	e := holder(&now)
	var dials atomic.Int64
	e.Dial = func(context.Context, replicaset.Member) (*Conn, error) {
		dials.Add(1)
		return nil, errors.New("i/o timeout")
	}
	e.Lenders = func(replicaset.Member, int) ([]string, int) { return []string{"h1", "h2"}, 2 }
	e.Borrow = func(string, replicaset.Member, uint64, Call) (FarAnswer, error) {
		return FarAnswer{}, NotSent(ErrUnreached)
	}
	m, _ := e.group("g").Member("next")
	p := e.pool(e.group("g"), m)
	deadline := time.Now().Add(time.Minute)
	for range 5 {
		c, err := e.acquire(p, deadline, classRead, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Run(Call{Until: deadline, Deadline: deadline, Ops: []Op{{Text: "READ 7"}}}); err == nil || Sent(err) {
			t.Fatalf("a call to an endpoint that is gone gives %v", err)
		}
	}
	if n := dials.Load(); n != 1 {
		t.Errorf("%d dials for five calls, want one", n)
	}
}
