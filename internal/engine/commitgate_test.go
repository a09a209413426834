package engine

import (
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// commitConn returns a connection whose commits wait for replicas until release is closed.
func commitConn(g *gate, sent chan<- string, release <-chan struct{}) *Conn {
	return &Conn{gate: g, account: "a", Do: func(_ time.Time, ops ...Op) ([]Outcome, error) {
		sent <- ops[0].Text
		<-release
		return []Outcome{{}}, nil
	}}
}

// TestWritesPassTheGate guards against an account that takes all slots of an endpoint by writes
// outside of transactions, which went past the gate. While a write waits for replicas, it must not
// keep others from the endpoint. The end of a transaction is never refused.
func TestWritesPassTheGate(t *testing.T) {
	tests := []struct {
		name   string
		fair   bool
		class  int
		passes bool
	}{
		{"write where accounts are in use", true, classWrite, false},
		{"write where they are not", false, classWrite, true},
		{"end of a transaction", true, classInTransaction, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newGate(time.Now, 1)
			g.fair = func() bool { return tt.fair }
			for g.running < int(g.limit) {
				_ = g.enter(time.Now().Add(time.Minute), queued{class: classRead})
			}
			sent, release := make(chan string, 2), make(chan struct{})
			call := Call{QueueDeadline: time.Now().Add(time.Minute), Class: tt.class, Ops: []Op{{Text: "W", Commits: true}}}
			done := make(chan error, 1)
			go func() {
				_, err := commitConn(g, sent, release).Run(call)
				done <- err
			}()
			if !tt.passes {
				for g.report().Waiting[tt.class] == 0 {
					time.Sleep(time.Millisecond)
				}
				g.leave(initialServiceTime, false)
			}
			<-sent
			full := 2
			for end := time.Now().Add(2 * time.Second); !tt.passes && g.report().Running == full; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("a write that waits for replicas keeps its place")
				}
			}
			before := g.report().Running
			close(release)
			if err := <-done; err != nil {
				t.Error(err)
			}
			if after := g.report().Running; after != before {
				t.Errorf("%d requests hold places after the answer, want %d", after, before)
			}
		})
	}
}

// TestAnsweredWriteFreesItsPlaceOnce guards against a place that is freed by both the answer and
// the timer.
func TestAnsweredWriteFreesItsPlaceOnce(t *testing.T) {
	g := newGate(time.Now, 1)
	g.fair = func() bool { return true }
	sent, release := make(chan string, 2), make(chan struct{})
	close(release)
	call := Call{QueueDeadline: time.Now().Add(time.Minute), Class: classWrite, Ops: []Op{{Text: "W", Commits: true}}}
	if _, err := commitConn(g, sent, release).Run(call); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * initialServiceTime)
	if n := g.report().Running; n != 0 {
		t.Errorf("%d requests are in flight, want none", n)
	}
}

// TestWriteIsRefusedAtOnce guards against a write that is tried again until its deadline although
// its endpoint can't serve it in time.
func TestWriteIsRefusedAtOnce(t *testing.T) {
	e := newPinnedEngine(&pinnedEndpoint{})
	e.Apply(&Declared{
		Version: 2, Groups: map[session.Group]GroupPolicy{"g": {MaxConnections: 2, Synchronous: true}},
		Databases: map[string]Database{"db": {Group: "g", StatementTimeout: 2 * time.Second}},
		Accounts:  map[session.Account]Account{"a": {Name: "a", Priority: 1}},
		Keys:      map[KeyDigest]session.Account{DigestKey("k"): "a"},
	})
	defer saturate(e)()
	m, _ := e.group("g").Member("p")
	gate := e.pool(e.group("g"), m).gate
	gate.mu.Lock()
	gate.serviceTime = time.Minute
	gate.mu.Unlock()
	s, o := e.Open("db", "k")
	if s == nil {
		t.Fatal(o)
	}
	began := time.Now()
	if o := s.Run(Statement{Kind: Write, ID: "a-1", Text: "WRITE 1"}); o.Code != Busy {
		t.Errorf("the write is answered with %s", o.Code)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("the refusal took %s", took)
	}
}
