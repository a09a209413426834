package engine

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
)

// TestDetour covers a primary that is alive but cut off from some hosts. They
// reach it through a host that is not cut off, and return to direct connections
// once the network path is back.
func TestDetour(t *testing.T) {
	var open atomic.Bool
	var borrowed atomic.Int64
	e := &Engine{Zone: "z", Now: time.Now, BootTime: func() replicaset.Instant { return 1 }, Event: func(Event) {}}
	e.Dial = func(context.Context, replicaset.Member, session.Account) (*Conn, error) {
		if !open.Load() {
			return nil, errors.New("i/o timeout")
		}
		return &Conn{Close: func() {}}, nil
	}
	e.Lenders = func(replicaset.Member, int, session.Account) ([]string, int) { return nil, 0 }
	e.Detours = func(replicaset.Member) []string { return []string{"away", "near"} }
	e.Borrow = func(address string, _ replicaset.Member, _ uint64, _ Call) (RemoteResult, error) {
		if address == "away" {
			return RemoteResult{}, NotSent(ErrLenderUnavailable)
		}
		borrowed.Add(1)
		return RemoteResult{Outcomes: []Outcome{{}}}, nil
	}
	m := replicaset.Member{ID: "m", Group: "g", Address: "m", Role: replicaset.Primary}
	p := e.pool(e.group("g"), m)
	for range 3 {
		c, err := e.acquireConn(p, time.Now().Add(time.Second), connNeed{class: classRead})
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
	for end := time.Now().Add(5 * time.Second); p.markedUnreachable(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("direct connections are not used again")
		}
	}
	if c, err := e.acquireConn(p, time.Now().Add(time.Second), connNeed{class: classRead}); err != nil || c.EndLoan != nil {
		t.Errorf("a connection is borrowed although the endpoint can be reached (%v)", err)
	}
}

// TestNonHolderGivesBack covers a start of all hosts at once while connections
// are scarce. A host that opened connections before it knew the holders must
// give them back, or the holders never get any.
func TestNonHolderGivesBack(t *testing.T) {
	now := time.Now()
	closed := 0
	e := &Engine{Zone: "z", Now: func() time.Time { return now }, BootTime: func() replicaset.Instant { return 1 }, Event: func(Event) {}}
	e.Dial = func(context.Context, replicaset.Member, session.Account) (*Conn, error) {
		return &Conn{Close: func() { closed++ }}, nil
	}
	m := replicaset.Member{ID: "m", Group: "g", Address: "m", Role: replicaset.Primary}
	p := e.pool(e.group("g"), m)
	c, err := e.acquireConn(p, now.Add(time.Second), connNeed{class: classRead})
	if err != nil {
		t.Fatal(err)
	}
	p.release(c)
	e.Lenders = func(replicaset.Member, int, session.Account) ([]string, int) { return []string{"h1", "h2", ""}, 2 }
	now = now.Add(surplusIdleTimeout + time.Millisecond)
	e.Maintain()
	if closed != 1 {
		t.Errorf("%d connections were closed, want 1", closed)
	}
}

// TestHolderCutOff covers a partition between an endpoint and one of the two
// hosts that hold its connections. The host that is cut off refuses loans
// without a dial each time, and borrowers use the other one.
func TestHolderCutOff(t *testing.T) {
	now := replicaset.Instant(time.Minute)
	cut := newHolderEngine(&now)
	var dials atomic.Int64
	cut.Dial = func(context.Context, replicaset.Member, session.Account) (*Conn, error) {
		dials.Add(1)
		return nil, errors.New("i/o timeout")
	}
	deadline := time.Now().Add(time.Minute)
	call := Call{QueueDeadline: deadline, Deadline: deadline, Class: classRead, Ops: []Op{{Text: "READ 7"}}}
	for range 5 {
		if _, err := cut.Lend("g", "next", call); !errors.Is(err, ErrEndpointUnreachable) {
			t.Fatalf("lending a connection to an unreachable endpoint returns %v", err)
		}
	}
	if n := dials.Load(); n != 1 {
		t.Errorf("%d dials for five calls, want one", n)
	}
	e := newHolderEngine(&now)
	var asked []string
	e.Lenders = func(replicaset.Member, int, session.Account) ([]string, int) { return []string{"cut", "well"}, 2 }
	e.Borrow = func(address string, _ replicaset.Member, _ uint64, _ Call) (RemoteResult, error) {
		asked = append(asked, address)
		if address == "cut" {
			return RemoteResult{}, NotSent(ErrEndpointUnreachable)
		}
		return RemoteResult{Outcomes: []Outcome{{}}}, nil
	}
	m, _ := e.group("g").Member("next")
	c, err := e.acquireConn(e.pool(e.group("g"), m), deadline, connNeed{class: classRead})
	if err == nil {
		_, err = c.Run(call)
	}
	if err != nil || len(asked) != 2 {
		t.Errorf("the other holder is not asked: %v, %v", asked, err)
	}
}

// TestNobodyReaches covers an endpoint that is gone. A borrower finds that out
// with one dial, and is refused at once afterwards.
func TestNobodyReaches(t *testing.T) {
	now := replicaset.Instant(time.Minute)
	e := newHolderEngine(&now)
	var dials atomic.Int64
	e.Dial = func(context.Context, replicaset.Member, session.Account) (*Conn, error) {
		dials.Add(1)
		return nil, errors.New("i/o timeout")
	}
	e.Lenders = func(replicaset.Member, int, session.Account) ([]string, int) { return []string{"h1", "h2"}, 2 }
	e.Borrow = func(string, replicaset.Member, uint64, Call) (RemoteResult, error) {
		return RemoteResult{}, NotSent(ErrEndpointUnreachable)
	}
	m, _ := e.group("g").Member("next")
	p := e.pool(e.group("g"), m)
	deadline := time.Now().Add(time.Minute)
	for range 5 {
		c, err := e.acquireConn(p, deadline, connNeed{class: classRead})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Run(Call{QueueDeadline: deadline, Deadline: deadline, Ops: []Op{{Text: "READ 7"}}}); err == nil || Sent(err) {
			t.Fatalf("a call to an endpoint that is gone returns %v", err)
		}
	}
	if n := dials.Load(); n != 1 {
		t.Errorf("%d dials for five calls, want one", n)
	}
}
