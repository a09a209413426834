package engine

import (
	"errors"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// TestSendByAfterSetup guards against an operation that is sent after its admission has ended: the
// requests that set up the connection took the rest of the time, and were followed by the operation.
func TestSendByAfterSetup(t *testing.T) {
	now, sent := replicaset.Instant(time.Second), 0
	c := &Conn{bootTime: func() replicaset.Instant { return now }, gate: newGate(time.Now, 2)}
	c.gate.pace = &pace{}
	c.Do = func(_ time.Time, ops ...Op) ([]Outcome, error) {
		for _, op := range ops {
			if op.Kind == OpStatement {
				sent++
			}
		}
		now = now.Add(300 * time.Millisecond)
		return make([]Outcome, len(ops)), nil
	}
	call := Call{
		QueueDeadline: time.Now().Add(time.Second), SendBy: now.Add(200 * time.Millisecond),
		SessionState: SessionState{Values: map[string]string{"v": "1"}}, Ops: []Op{{Kind: OpStatement}},
	}
	if _, err := c.Run(call); !errors.Is(err, errSendByPassed) || Sent(err) || sent != 0 {
		t.Errorf("%d operations sent 100 ms after the end of the admission, error %v", sent, err)
	}
	if !c.gate.pace.failingSince.IsZero() || c.gate.running != 0 {
		t.Errorf("the endpoint counts as failing since %v, with %d requests in flight", c.gate.pace.failingSince, c.gate.running)
	}
	call.SendBy = now.Add(200 * time.Millisecond)
	if _, err := c.Run(call); err != nil || sent != 1 {
		t.Errorf("%d operations sent with a valid admission, error %v", sent, err)
	}
}

// TestLimitIsNoFailureOfTheEndpoint guards against an account at its limit that makes a host close
// the idle connections of an endpoint and count a failure of it.
func TestLimitIsNoFailureOfTheEndpoint(t *testing.T) {
	e := accountEngine(1, session.Account("mill"))
	g := e.group("g")
	m := replicaset.Member{ID: "a", Group: "g", Address: "a", Slots: 2, Started: 1}
	p := e.pool(g, m)
	p.idle, p.open = []*Conn{{account: "mill", Close: func() {}}}, 1
	s, o := e.Open("db", "key")
	if s == nil {
		t.Fatal(o)
	}
	e.Admit = func(time.Time, session.Account) (replicaset.Instant, error) {
		return 0, &LimitError{RetryAfter: time.Second}
	}
	until := time.Now().Add(time.Second)
	_, sent, err := s.runAttempt(attempt{g: g, member: m, queueDeadline: until, deadline: until}, query{})
	if err == nil || sent {
		t.Fatalf("an attempt beyond the limit was sent: %v, error %v", sent, err)
	}
	if open, idle, _ := p.stats(); open != 1 || idle != 1 {
		t.Errorf("%d connections open, %d idle after a refusal by the limit, want 1", open, idle)
	}
}

// TestTransactionOfRevokedKey guards against a transaction that was begun before its key was
// revoked, and starts at an endpoint any time later.
func TestTransactionOfRevokedKey(t *testing.T) {
	e := accountEngine(1, session.Account("mill"))
	s, o := e.Open("db", "key")
	if s == nil {
		t.Fatal(o)
	}
	var admitted []session.Account
	e.Admit = func(_ time.Time, a session.Account) (replicaset.Instant, error) {
		admitted = append(admitted, a)
		return 0, &LimitError{RetryAfter: time.Second}
	}
	s.Run(Statement{Kind: Begin})
	e.Apply(accountDeclaration(2, "plough"))
	s.Run(Statement{Kind: Write, Text: "w"})
	s.Run(Statement{Kind: Rollback})
	s.Run(Statement{Kind: Begin})
	e.Apply(accountDeclaration(3))
	if o := s.Run(Statement{Kind: Write, Text: "w"}); o.Code != UnknownAccount || o.State != FailedTransaction {
		t.Errorf("a transaction of a revoked key ends with %v in state %v", o.Code, o.State)
	}
	if len(admitted) != 1 || admitted[0] != "plough" {
		t.Errorf("admission was asked for accounts %q, want only the one that the key had moved to", admitted)
	}
}

// accountDeclaration returns a configuration in which the key "key" belongs to the given accounts.
func accountDeclaration(version uint64, accounts ...session.Account) *Declared {
	d := &Declared{
		Version: version, Databases: map[string]Database{"db": {Name: "db", Group: "g"}},
		Groups:   map[session.Group]GroupPolicy{"g": {MaxConnections: 4}},
		Accounts: make(map[session.Account]Account), Keys: make(map[KeyDigest]session.Account),
	}
	for _, a := range accounts {
		d.Accounts[a], d.Keys[DigestKey("key")] = Account{Name: a}, a
	}
	return d
}

func accountEngine(version uint64, accounts ...session.Account) *Engine {
	began := time.Now()
	e := &Engine{
		Zone: "z", Now: time.Now,
		BootTime: func() replicaset.Instant { return replicaset.Instant(time.Minute + time.Since(began)) },
	}
	e.Apply(accountDeclaration(version, accounts...))
	return e
}

// TestLimitReachedWhileWaiting guards against an operation that asks for admission again and again
// until its deadline, after its first admission had ended while it waited and the account had
// reached its limit meanwhile.
func TestLimitReachedWhileWaiting(t *testing.T) {
	tests := []struct {
		name       string
		statements []Statement
		bounded    bool
	}{
		{"write", []Statement{{Kind: Write}}, false},
		{"read of the latest state", []Statement{{Kind: Read}}, false},
		{"read", []Statement{{Kind: Read}}, true},
		{"transaction", []Statement{{Kind: Begin}, {Kind: Write}}, false},
		{"transaction of reads", []Statement{{Kind: Begin, ReadOnly: true}, {Kind: Read}}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := accountEngine(1, "mill")
			if tt.bounded {
				d := accountDeclaration(2, "mill")
				d.Databases["db"] = Database{Name: "db", Group: "g", Consistency: Bounded, MaxAge: time.Minute}
				e.Apply(d)
			}
			g := e.group("g")
			for _, id := range []replicaset.EndpointID{"a", "b"} {
				g.Register(e.BootTime(), replicaset.Member{ID: id, Group: "g", Address: string(id), Zone: "z", Role: replicaset.Replica, Slots: 2, Started: 1})
			}
			g.SetLead(e.BootTime(), replicaset.Lead{ID: "a", Term: 1, Version: 1})
			g.Sample("a", e.BootTime(), session.Point{Term: 1, Position: 1})
			asked := 0
			e.Admit = func(time.Time, session.Account) (replicaset.Instant, error) {
				if asked++; asked == 1 {
					return e.BootTime(), nil
				}
				return 0, &LimitError{RetryAfter: 700 * time.Millisecond}
			}
			s, o := e.Open("db", "key")
			for _, st := range tt.statements {
				o = s.Run(st)
			}
			if asked != 2 || o.Code != Busy || o.Reason != (&LimitError{RetryAfter: 700 * time.Millisecond}).Error() {
				t.Errorf("asked %d times for admission, want twice; refused as %v %q", asked, o.Code, o.Reason)
			}
		})
	}
}
