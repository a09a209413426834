package engine

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// sparse is a host that borrows all connections from one that holds them. Both
// count what they ask of endpoints.
type sparse struct {
	now                replicaset.Instant
	borrower, lender   *Engine
	questions, afterAt atomic.Int64
	calls              atomic.Int64
}

func newSparse() *sparse {
	w := &sparse{now: replicaset.Instant(time.Minute)}
	w.lender = holder(&w.now)
	lead := replicaset.Status{Role: replicaset.Primary, Term: 1, Received: session.Point{Term: 1, Position: 7}}
	follows := replicaset.Status{Role: replicaset.Replica, Term: 1, Received: session.Point{Term: 1, Position: 7}}
	w.lender.Dial = func(_ context.Context, m replicaset.Member) (*Conn, error) {
		return &Conn{Endpoint: m.ID, Close: func() {}, Do: func(_ time.Time, ops ...Op) ([]Outcome, error) {
			if ops[0].Kind == OpStatus {
				w.questions.Add(1)
				st := follows
				if m.ID == "old" {
					st = lead
				}
				return []Outcome{{Report: st}}, nil
			}
			if ops[0].Kind != OpRollback {
				w.afterAt.Store(int64(ops[0].After.Position))
			}
			return []Outcome{{Rows: []string{"x"}, Digest: "d", Point: session.Point{Term: 1, Position: 7}}}, nil
		}}, nil
	}
	w.borrower = holder(&w.now)
	w.borrower.Lenders = func(replicaset.Member, int) ([]string, int) { return []string{"h1", "h2"}, 2 }
	w.borrower.Dial = func(context.Context, replicaset.Member) (*Conn, error) { return nil, errors.New("not reached") }
	w.borrower.Return = func(string, uint64) {}
	w.borrower.Borrow = func(_ string, m replicaset.Member, _ uint64, call Call) (FarAnswer, error) {
		if call.Ops[0].Kind != OpRollback {
			w.calls.Add(1)
		}
		loan, err := w.lender.Lend(m.Group, m.ID, call)
		if err != nil {
			return FarAnswer{}, NotSent(err)
		}
		defer loan.End()
		out, err := loan.Run(call)
		return FarAnswer{Outcomes: out, Known: loan.Known()}, err
	}
	w.borrower.Apply(&Declared{
		Version: 2, Groups: map[session.Group]GroupPolicy{"g": {MaxConnections: 9, Synchronous: true}},
		Databases: map[string]Database{
			"bounded": {Group: "g", Consistency: Bounded, MaxAge: 1500 * time.Millisecond, StatementTimeout: 2 * time.Second},
			"session": {Group: "g", Consistency: Session, MaxAge: 1500 * time.Millisecond, StatementTimeout: 2 * time.Second},
		},
	})
	return w
}

// TestSparseReads answers the load of hundreds of hosts that each read a group
// every few seconds: what they knew is too old by then, and the host that lends
// the connection has a young position. A read is one message, and no endpoint is
// asked for its status.
func TestSparseReads(t *testing.T) {
	w := newSparse()
	g := w.lender.Group("g")
	for range 5 {
		w.now = w.now.Add(3 * time.Second)
		g.Prove(g.Lead(), w.now)
		g.Sample("old", w.now.Add(-400*time.Millisecond), session.Point{Term: 1, Position: 6})
		for _, database := range []string{"bounded", "session"} {
			s, _ := w.borrower.Open(database)
			if o := s.Run(Statement{ID: "1", Kind: Read, Text: "READ 7"}); o.Code != Done {
				t.Fatalf("a %s read ends with %s: %s", database, o.Code, o.Reason)
			}
			if got := w.afterAt.Load(); got != 6 {
				t.Errorf("a %s read asked the endpoint for position %d, want 6", database, got)
			}
		}
		s, _ := w.borrower.Open("bounded")
		s.Run(Statement{Kind: Begin, ReadOnly: true})
		if o := s.Run(Statement{ID: "2", Kind: Read, Text: "READ 7"}); o.Code != Done {
			t.Fatalf("a read transaction ends with %s: %s", o.Code, o.Reason)
		}
		s.Close()
	}
	if w.questions.Load() != 0 || w.calls.Load() != 15 {
		t.Errorf("15 reads took %d calls and %d questions", w.calls.Load(), w.questions.Load())
	}
}

// TestSparseReadSeesOwnWrites checks that the position which a lender chooses has
// what the session has seen, and is as young as the route wants.
func TestSparseReadSeesOwnWrites(t *testing.T) {
	w := newSparse()
	g := w.lender.Group("g")
	g.Prove(g.Lead(), w.now)
	g.Sample("old", w.now, session.Point{Term: 1, Position: 5})
	s, _ := w.borrower.Open("session")
	s.see("g", session.Point{Term: 1, Position: 6})
	if o := s.Run(Statement{ID: "1", Kind: Read, Text: "READ 7"}); o.Code != Done || w.afterAt.Load() != 6 {
		t.Errorf("a read after the session's write at 6 asked for %d and ends with %s", w.afterAt.Load(), o.Code)
	}
	w.now = w.now.Add(1500 * time.Millisecond)
	if o := s.Run(Statement{ID: "2", Kind: Read, Text: "READ 7"}); o.Code != Done || w.afterAt.Load() != 7 {
		t.Errorf("with a position too old, a read asked for %d and ends with %s", w.afterAt.Load(), o.Code)
	}
	if w.questions.Load() == 0 {
		t.Error("nobody asked for a younger position")
	}
}

// TestSparseReadWithoutPosition checks that a host asks itself where the one that
// lends can find no position, and that the read is not lost.
func TestSparseReadWithoutPosition(t *testing.T) {
	w := newSparse()
	borrow := w.borrower.Borrow
	w.borrower.Borrow = func(address string, m replicaset.Member, handle uint64, call Call) (FarAnswer, error) {
		if call.Fresh != nil {
			return FarAnswer{}, NotSent(ErrNoPosition)
		}
		return borrow(address, m, handle, call)
	}
	s, _ := w.borrower.Open("bounded")
	if o := s.Run(Statement{ID: "1", Kind: Read, Text: "READ 7"}); o.Code != Done || w.afterAt.Load() != 7 {
		t.Errorf("a read asked for %d and ends with %s: %s", w.afterAt.Load(), o.Code, o.Reason)
	}
}

// TestHoldersAskOne answers the load of six hosts that hold connections to the
// members of a group, and each keep a young proof and position for those who
// borrow: only the two that hold the primary's ask endpoints.
func TestHoldersAskOne(t *testing.T) {
	tests := []struct {
		name   string
		knows  replicaset.Knowledge
		err    error
		silent bool
	}{
		{"the primary's holder knows", replicaset.Knowledge{
			Lead: "old", Term: 1, Point: session.Point{Term: 1, Position: 9}, SampleAge: 100 * time.Millisecond, ProofAge: 200 * time.Millisecond,
		}, nil, true},
		{"it knows nothing young", replicaset.Knowledge{Lead: "old", Term: 1, SampleAge: -1, ProofAge: -1}, nil, false},
		{"it knows another primary", replicaset.Knowledge{Lead: "next", Term: 2, Point: session.Point{Term: 2, Position: 9}}, nil, false},
		{"it is away", replicaset.Knowledge{}, ErrLenderAway, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newSparse()
			e := w.lender
			e.Lenders = func(m replicaset.Member, _ int) ([]string, int) {
				if m.ID == "old" {
					return []string{"h1", "h2"}, 2
				}
				return []string{""}, 1
			}
			e.Borrow = func(_ string, m replicaset.Member, _ uint64, call Call) (FarAnswer, error) {
				c, _ := e.Dial(context.Background(), m)
				out, err := c.Do(call.Deadline, call.Ops...)
				return FarAnswer{Outcomes: out}, err
			}
			e.Return = func(string, uint64) {}
			e.Learn = func(string, session.Group, time.Time) (replicaset.Knowledge, error) { return tt.knows, tt.err }
			g := e.group("g")
			<-e.renew(g).done
			if k := g.Known(w.now); k.ProofAge < 0 || k.SampleAge < 0 {
				t.Errorf("the holder has no proof or no position: %+v", k)
			}
			if asked := w.questions.Load() > 0; asked == tt.silent {
				t.Errorf("%d questions to endpoints", w.questions.Load())
			}
		})
	}
}
