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

// newHolderEngine returns an engine that holds the connections to all members of
// a group.
func newHolderEngine(now *replicaset.Instant) *Engine {
	lead := replicaset.Status{Role: replicaset.Primary, Term: 1, Received: session.Point{Term: 1, Position: 7}}
	follows := replicaset.Status{Role: replicaset.Replica, Term: 1, Received: session.Point{Term: 1, Position: 6}}
	e := newStatusEngine(now, map[replicaset.EndpointID]*replicaset.Status{"old": &lead, "next": &follows, "third": &follows})
	e.Lenders = func(replicaset.Member, int, session.Account) ([]string, int) { return []string{""}, 1 }
	e.Apply(&Declared{Version: 1, Groups: map[session.Group]GroupPolicy{"g": {MaxConnections: 9, Synchronous: true}}})
	e.Group("g").SetLead(1, replicaset.Lead{ID: "old", Term: 1, Version: 1})
	return e
}

// TestHolderKeepsFresh covers many hosts that each read a group rarely. The host
// that they borrow from must have a proof and a log position before they need
// them, for as long as it is in demand, and must open connections before the
// first loan.
func TestHolderKeepsFresh(t *testing.T) {
	now := replicaset.Instant(time.Minute)
	e := newHolderEngine(&now)
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
		open, _, _ := e.pool(g, lead).stats()
		return open == 1+prewarmSpare
	})
	eventually("no proof and no position before the first loan", func() bool {
		k := g.Knowledge(now)
		return k.ProofAge >= 0 && k.SampleAge >= 0
	})
	deadline := time.Now().Add(time.Second)
	loan, err := e.Lend("g", "old", Call{QueueDeadline: deadline, Deadline: deadline, Class: classRead})
	if err != nil {
		t.Fatal(err)
	}
	loan.Release()
	eventually("a holder in demand has no proof and no position", func() bool {
		k := g.Knowledge(now)
		return k.ProofAge >= 0 && k.SampleAge >= 0 && k.Point.Position == 7
	})
	now = now.Add(proofRefreshAge + sampleRefreshAge)
	eventually("a holder in demand does not renew its proof and position", func() bool {
		k := g.Knowledge(now)
		return k.ProofAge == 0 && k.SampleAge == 0
	})
	for _, m := range g.Members() {
		e.pool(g, m).noteBorrowed(now)
	}
	now = now.Add(demandWindow)
	e.Maintain()
	time.Sleep(20 * time.Millisecond)
	if k := g.Knowledge(now); k.ProofAge == 0 {
		t.Error("endpoints are queried although no host has borrowed within demandWindow")
	}
}

// TestLoanNeedsProof checks that a connection is lent for a read of the latest
// state only if its endpoint is proved to lead.
func TestLoanNeedsProof(t *testing.T) {
	now := replicaset.Instant(time.Minute)
	e := newHolderEngine(&now)
	deadline := time.Now().Add(time.Second)
	call := Call{QueueDeadline: deadline, Deadline: deadline, Class: classRead, Proof: true}
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

// TestLendersCutOff covers a partition that separates hosts from the holders of
// an endpoint's connections, but not from the endpoint. They use a few
// connections of their own, for statements and for status requests.
func TestLendersCutOff(t *testing.T) {
	now := replicaset.Instant(time.Minute)
	e := newHolderEngine(&now)
	asked := 0
	e.Lenders = func(replicaset.Member, int, session.Account) ([]string, int) { return []string{"h1", "h2", "h3"}, 2 }
	e.Borrow = func(string, replicaset.Member, uint64, Call) (RemoteResult, error) {
		asked++
		return RemoteResult{}, NotSent(ErrLenderUnavailable)
	}
	e.EndLoan = func(string, uint64) {}
	g := e.group("g")
	m, _ := g.Member("next")
	p := e.pool(g, m)
	for range 2 * nonHolderLimit {
		c, err := e.acquireConn(p, time.Now().Add(time.Second), connNeed{class: classRead})
		if err != nil {
			t.Fatal(err)
		}
		deadline := time.Now().Add(time.Second)
		if _, err := c.Run(Call{QueueDeadline: deadline, Deadline: deadline, Class: classRead, Ops: []Op{{Text: "READ 7"}}}); err != nil {
			t.Fatalf("a statement fails although the endpoint can be reached: %v", err)
		}
		p.release(c)
	}
	if open, _, _ := p.stats(); open > nonHolderLimit || asked != 2*nonHolderLimit*maxLenders {
		t.Errorf("%d connections are open and %d hosts were asked, want at most %d and %d", open, asked, nonHolderLimit, 2*nonHolderLimit*maxLenders)
	}
	if st, err := e.status(m, time.Second); err != nil || st.Role != replicaset.Replica {
		t.Errorf("a status request returns %v, %v", st, err)
	}
}

// TestLenderSuspects checks that a lending host notices an endpoint that it
// cannot reach: it may be the only host that notices.
func TestLenderSuspects(t *testing.T) {
	now := replicaset.Instant(time.Minute)
	e := newHolderEngine(&now)
	e.Dial = func(context.Context, replicaset.Member, session.Account) (*Conn, error) {
		return nil, errors.New("i/o timeout")
	}
	deadline := time.Now().Add(time.Second)
	if _, err := e.Lend("g", "old", Call{QueueDeadline: deadline, Deadline: deadline}); err == nil {
		t.Fatal("a connection to an unreachable endpoint is lent")
	}
	if silent, _ := e.Group("g").UnansweredSince(); silent == 0 {
		t.Error("the primary is not recorded as silent")
	}
}

// TestOneQuestionForAllReads covers a restart of all hosts, after which no log
// position of the primary is known. Reads that replicas can serve must not all
// go to the primary.
func TestOneQuestionForAllReads(t *testing.T) {
	now := replicaset.Instant(time.Minute)
	lead := replicaset.Status{Role: replicaset.Primary, Term: 1, Received: session.Point{Term: 1, Position: 7}}
	follows := replicaset.Status{Role: replicaset.Replica, Term: 1, Received: session.Point{Term: 1, Position: 7}}
	e := newStatusEngine(&now, map[replicaset.EndpointID]*replicaset.Status{"old": &lead, "next": &follows, "third": &follows})
	var mu sync.Mutex
	reads := make(map[replicaset.EndpointID]int)
	dial := e.Dial
	e.Dial = func(ctx context.Context, m replicaset.Member, a session.Account) (*Conn, error) {
		c, err := dial(ctx, m, a)
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
	// With slots for all reads, none is sent to the primary because of load.
	for _, m := range e.Group("g").Members() {
		m.Slots = 40
		e.Group("g").Register(now, m)
	}
	var wg sync.WaitGroup
	for range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s, _ := e.Open("d", "")
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
