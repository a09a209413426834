package engine

import (
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// TestStatementsCarryTargetAndWeight checks what the holder of an endpoint's connections is told of
// a statement: the weight of its account and the target of the statement itself, not that of the
// first one of its transaction. Where accounts are not in use, it is told nothing.
func TestStatementsCarryTargetAndWeight(t *testing.T) {
	for _, inUse := range []bool{true, false} {
		now := time.Now()
		e := &Engine{
			Zone: "z", Now: func() time.Time { return now }, BootTime: func() replicaset.Instant { return replicaset.Instant(time.Minute) },
			Lenders: func(replicaset.Member, int, session.Account) ([]string, int) { return []string{"holder", "other"}, 2 },
			EndLoan: func(string, uint64) {},
		}
		var calls []Call
		e.Borrow = func(_ string, _ replicaset.Member, _ uint64, c Call) (RemoteResult, error) {
			calls = append(calls, c)
			r := RemoteResult{Knowledge: replicaset.Knowledge{SampleAge: -1, ProofAge: -1}}
			for range c.Ops {
				r.Outcomes = append(r.Outcomes, Outcome{State: InTransaction})
			}
			r.Handle = 1
			return r, nil
		}
		d := &Declared{
			Version: 1, Groups: map[session.Group]GroupPolicy{"g": {MaxConnections: 9}},
			Databases: map[string]Database{"db": {Group: "g", StatementTimeout: time.Second, TargetLatency: 80 * time.Millisecond}},
		}
		if inUse {
			d.Accounts = map[session.Account]Account{"a": {Name: "a", Priority: 0}}
			d.Keys = map[KeyDigest]session.Account{DigestKey("k"): "a"}
		}
		e.Apply(d)
		g := e.Group("g")
		g.Register(e.BootTime(), replicaset.Member{ID: "p", Group: "g", Address: "p", Zone: "z", Role: replicaset.Primary, Slots: 1})
		g.SetLead(e.BootTime(), replicaset.Lead{ID: "p", Term: 1, Version: 1})
		s, o := e.Open("db", "k")
		if s == nil {
			t.Fatal(o)
		}
		s.Run(Statement{Kind: Begin})
		for range 2 {
			now = now.Add(50 * time.Millisecond)
			s.Run(Statement{Kind: Read, Text: "READ 1"})
			c := calls[len(calls)-1]
			want, weight := now.Add(80*time.Millisecond), 2.0
			if !inUse {
				want, weight = time.Time{}, 0
			}
			if !c.TargetBy.Equal(want) || c.Weight != weight {
				t.Errorf("accounts in use %t: the target is %s and the weight %g, want %s and %g", inUse, c.TargetBy, c.Weight, want, weight)
			}
		}
		if len(calls) != 2 {
			t.Errorf("%d calls, want 2", len(calls))
		}
	}
}

// TestWeightOfPriorities checks that priority 0 counts more than 1, and that none counts nothing.
func TestWeightOfPriorities(t *testing.T) {
	for priority, want := range map[int]float64{-1: 2, 0: 2, 1: 1, 2: 0.5, 5: 1.0 / 16, 1000: 1.0 / 16} {
		if got := shareOf(priority); got != want {
			t.Errorf("priority %d has the weight %g, want %g", priority, got, want)
		}
	}
}
