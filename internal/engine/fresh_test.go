package engine

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// holder is an engine that holds the connections to all members of a group.
func holder(now *replicaset.Instant) *Engine {
	lead := replicaset.Status{Role: replicaset.Primary, Term: 1, Received: session.Point{Term: 1, Position: 7}}
	follows := replicaset.Status{Role: replicaset.Replica, Term: 1, Received: session.Point{Term: 1, Position: 6}}
	e := reporters(now, map[replicaset.EndpointID]*replicaset.Status{"old": &lead, "next": &follows, "third": &follows})
	e.Lenders = func(replicaset.Member, int) ([]string, int) { return []string{""}, 1 }
	e.Apply(&Declared{Version: 1, Groups: map[session.Group]GroupPolicy{"g": {MaxConnections: 9, Synchronous: true}}})
	e.Group("g").SetLead(1, replicaset.Lead{ID: "old", Term: 1, Version: 1})
	return e
}

// TestHolderKeepsFresh answers the load of many hosts that each read a group
// seldom: the host that they borrow from has a proof and a position before they
// need them, while it is in demand, and connections before the first one.
func TestHolderKeepsFresh(t *testing.T) {
	now := replicaset.Instant(time.Minute)
	e := holder(&now)
	g := e.group("g")
	eventually := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal(what)
			}
			e.Maintain()
		}
	}
	lead, _ := g.Member("old")
	eventually("no connection is opened ahead of demand", func() bool {
		open, _, _ := e.pool(g, lead).load()
		return open == 1+warmSpare
	})
	eventually("the first to come finds no proof and no position", func() bool {
		k := g.Known(now)
		return k.ProofAge >= 0 && k.SampleAge >= 0
	})
	deadline := time.Now().Add(time.Second)
	loan, err := e.Lend("g", "old", Call{Until: deadline, Deadline: deadline, Class: classRead})
	if err != nil {
		t.Fatal(err)
	}
	loan.End()
	eventually("a holder in demand has no proof and no position", func() bool {
		k := g.Known(now)
		return k.ProofAge >= 0 && k.SampleAge >= 0 && k.Point.Position == 7
	})
	now = now.Add(freshProof + freshSample)
	eventually("a holder in demand lets its knowledge grow old", func() bool {
		k := g.Known(now)
		return k.ProofAge == 0 && k.SampleAge == 0
	})
	for _, m := range g.Members() {
		e.pool(g, m).used(now)
	}
	now = now.Add(demandTime)
	e.Maintain()
	time.Sleep(20 * time.Millisecond)
	if k := g.Known(now); k.ProofAge == 0 {
		t.Error("endpoints are asked although nobody has borrowed for a while")
	}
}

// TestLoanNeedsProof checks that a host lends for a read of the latest state only
// what it can prove to lead.
func TestLoanNeedsProof(t *testing.T) {
	now := replicaset.Instant(time.Minute)
	e := holder(&now)
	deadline := time.Now().Add(time.Second)
	call := Call{Until: deadline, Deadline: deadline, Class: classRead, Proof: true}
	if _, err := e.Lend("g", "old", call); err != nil {
		t.Errorf("the primary is not lent: %v", err)
	}
	if _, err := e.Lend("g", "next", call); !errors.Is(err, ErrNoProof) {
		t.Errorf("a replica is lent as the primary: %v", err)
	}
	e.Group("g").SetLead(1, replicaset.Lead{ID: "old", Term: 1, Switching: true, Version: 2})
	if _, err := e.Lend("g", "old", call); !errors.Is(err, ErrNoProof) {
		t.Errorf("a primary that is being replaced is lent: %v", err)
	}
}

// TestLendersCutOff answers the load of hosts that a partition separates from
// those that hold an endpoint's connections, but not from the endpoint: they use
// a few connections of their own, for statements and for questions.
func TestLendersCutOff(t *testing.T) {
	now := replicaset.Instant(time.Minute)
	e := holder(&now)
	asked := 0
	e.Lenders = func(replicaset.Member, int) ([]string, int) { return []string{"h1", "h2", "h3"}, 2 }
	e.Borrow = func(string, replicaset.Member, uint64, Call) (FarAnswer, error) {
		asked++
		return FarAnswer{}, NotSent(ErrLenderAway)
	}
	e.Return = func(string, uint64) {}
	g := e.group("g")
	m, _ := g.Member("next")
	p := e.pool(g, m)
	for range 2 * strayLimit {
		c, err := e.acquire(p, time.Now().Add(time.Second), classRead, nil)
		if err != nil {
			t.Fatal(err)
		}
		deadline := time.Now().Add(time.Second)
		if _, err := c.Run(Call{Until: deadline, Deadline: deadline, Class: classRead, Ops: []Op{{Text: "READ 7"}}}); err != nil {
			t.Fatalf("a statement fails although the endpoint is reached: %v", err)
		}
		p.release(c)
	}
	if open, _, _ := p.load(); open > strayLimit || asked != 2*strayLimit*maxLenders {
		t.Errorf("%d connections are open and %d hosts were asked, want at most %d and %d", open, asked, strayLimit, 2*strayLimit*maxLenders)
	}
	if st, err := e.status(m, time.Second); err != nil || st.Role != replicaset.Replica {
		t.Errorf("a question gives %v, %v", st, err)
	}
}

// TestLenderSuspects checks that a host that lends notices an endpoint that it
// does not reach: it may be the only one that would.
func TestLenderSuspects(t *testing.T) {
	now := replicaset.Instant(time.Minute)
	e := holder(&now)
	e.Dial = func(context.Context, replicaset.Member) (*Conn, error) { return nil, errors.New("i/o timeout") }
	deadline := time.Now().Add(time.Second)
	if _, err := e.Lend("g", "old", Call{Until: deadline, Deadline: deadline}); err == nil {
		t.Fatal("an endpoint that is not reached is lent")
	}
	if silent, _ := e.Group("g").Trouble(); silent == 0 {
		t.Error("the primary is not suspected")
	}
}

// TestOneQuestionForAllReads answers the load after the restart of all hosts: no
// position of the primary is known, and reads that replicas can serve must not all
// fall to the primary.
func TestOneQuestionForAllReads(t *testing.T) {
	now := replicaset.Instant(time.Minute)
	lead := replicaset.Status{Role: replicaset.Primary, Term: 1, Received: session.Point{Term: 1, Position: 7}}
	follows := replicaset.Status{Role: replicaset.Replica, Term: 1, Received: session.Point{Term: 1, Position: 7}}
	e := reporters(&now, map[replicaset.EndpointID]*replicaset.Status{"old": &lead, "next": &follows, "third": &follows})
	var mu sync.Mutex
	reads := make(map[replicaset.EndpointID]int)
	dial := e.Dial
	e.Dial = func(ctx context.Context, m replicaset.Member) (*Conn, error) {
		c, err := dial(ctx, m)
		do := c.Do
		c.Do = func(deadline time.Time, ops ...Op) ([]Outcome, error) {
			if ops[0].Kind != OpStatement {
				return do(deadline, ops...)
			}
			mu.Lock()
			defer mu.Unlock()
			reads[m.ID]++
			return []Outcome{{Rows: []string{"x"}, Digest: "d", Point: session.Point{Term: 1, Position: 7}}}, nil
		}
		return c, err
	}
	e.Apply(&Declared{
		Version: 1, Groups: map[session.Group]GroupPolicy{"g": {MaxConnections: 9, Synchronous: true}},
		Databases: map[string]Database{"d": {Group: "g", Consistency: Bounded, MaxAge: 1500 * time.Millisecond, StatementTimeout: 2 * time.Second}},
	})
	e.Group("g").SetLead(1, replicaset.Lead{ID: "old", Term: 1, Version: 1})
	// With slots for all reads, the primary has no part in their load.
	for _, m := range e.Group("g").Members() {
		m.Slots = 40
		e.Group("g").Register(now, m)
	}
	var wg sync.WaitGroup
	for range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s, _ := e.Open("d")
			if o := s.Run(Statement{ID: "1", Kind: Read, Text: "READ 7"}); o.Code != Done {
				t.Errorf("a read ends with %s: %s", o.Code, o.Reason)
			}
		}()
	}
	wg.Wait()
	if reads["old"] > 0 {
		t.Errorf("the primary served %d of 40 reads, want replicas to serve all: %v", reads["old"], reads)
	}
}
