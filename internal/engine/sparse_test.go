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

// lendingPair is a host that borrows all connections, and the host that lends
// them. It counts the calls to the lender and the status requests to endpoints,
// and records the last log position that an endpoint was required to have.
type lendingPair struct {
	now                      replicaset.Instant
	borrower, lender         *Engine
	statusCalls, minPosition atomic.Int64
	calls                    atomic.Int64
}

func newLendingPair() *lendingPair {
	p := &lendingPair{now: replicaset.Instant(time.Minute)}
	p.lender = newHolderEngine(&p.now)
	lead := replicaset.Status{Role: replicaset.Primary, Term: 1, Received: session.Point{Term: 1, Position: 7}}
	follows := replicaset.Status{Role: replicaset.Replica, Term: 1, Received: session.Point{Term: 1, Position: 7}}
	p.lender.Dial = func(_ context.Context, m replicaset.Member, _ session.Account) (*Conn, error) {
		return &Conn{Endpoint: m.ID, Close: func() {}, Do: func(_ time.Time, ops ...Op) ([]Outcome, error) {
			if ops[0].Kind == OpStatus {
				p.statusCalls.Add(1)
				st := follows
				if m.ID == "old" {
					st = lead
				}
				return []Outcome{{Report: st}}, nil
			}
			if ops[0].Kind != OpRollback {
				p.minPosition.Store(int64(ops[0].MinPosition.Position))
			}
			return []Outcome{{Rows: []string{"x"}, Digest: "d", Point: session.Point{Term: 1, Position: 7}}}, nil
		}}, nil
	}
	p.borrower = newHolderEngine(&p.now)
	p.borrower.Lenders = func(replicaset.Member, int, session.Account) ([]string, int) { return []string{"h1", "h2"}, 2 }
	p.borrower.Dial = func(context.Context, replicaset.Member, session.Account) (*Conn, error) {
		return nil, errors.New("unreachable")
	}
	p.borrower.EndLoan = func(string, uint64) {}
	p.borrower.Borrow = func(_ string, m replicaset.Member, _ uint64, call Call) (RemoteResult, error) {
		if call.Ops[0].Kind != OpRollback {
			p.calls.Add(1)
		}
		loan, err := p.lender.Lend(m.Group, m.ID, call)
		if err != nil {
			return RemoteResult{}, NotSent(err)
		}
		defer loan.Release()
		out, err := loan.Run(call)
		return RemoteResult{Outcomes: out, Knowledge: loan.Knowledge()}, err
	}
	p.borrower.Apply(&Declared{
		Version: 2, Groups: map[session.Group]GroupPolicy{"g": {MaxConnections: 9, Synchronous: true}},
		Databases: map[string]Database{
			"bounded": {Group: "g", Consistency: Bounded, MaxAge: 1500 * time.Millisecond, StatementTimeout: 2 * time.Second},
			"session": {Group: "g", Consistency: Session, MaxAge: 1500 * time.Millisecond, StatementTimeout: 2 * time.Second},
		},
	})
	return p
}

// TestSparseReads covers hundreds of hosts that each read a group every few
// seconds. What they know is too old by then, but the lending host has a recent
// position. A read takes one message, and no endpoint is asked for its status.
func TestSparseReads(t *testing.T) {
	p := newLendingPair()
	g := p.lender.Group("g")
	for range 5 {
		p.now = p.now.Add(3 * time.Second)
		g.RecordProof(g.Lead(), p.now)
		g.Sample("old", p.now.Add(-400*time.Millisecond), session.Point{Term: 1, Position: 6})
		for _, database := range []string{"bounded", "session"} {
			s, _ := p.borrower.Open(database, "")
			if o := s.Run(Statement{ID: "1", Kind: Read, Text: "READ 7"}); o.Code != Done {
				t.Fatalf("a %s read ends with %s: %s", database, o.Code, o.Reason)
			}
			if got := p.minPosition.Load(); got != 6 {
				t.Errorf("a %s read required position %d of the endpoint, want 6", database, got)
			}
		}
		s, _ := p.borrower.Open("bounded", "")
		s.Run(Statement{Kind: Begin, ReadOnly: true})
		if o := s.Run(Statement{ID: "2", Kind: Read, Text: "READ 7"}); o.Code != Done {
			t.Fatalf("a read transaction ends with %s: %s", o.Code, o.Reason)
		}
		s.Close()
	}
	if p.statusCalls.Load() != 0 || p.calls.Load() != 15 {
		t.Errorf("15 reads took %d calls and %d status requests", p.calls.Load(), p.statusCalls.Load())
	}
}

// TestSparseReadSeesOwnWrites checks that the position which a lending host
// chooses includes what the session has seen, and is as recent as the database
// requires.
func TestSparseReadSeesOwnWrites(t *testing.T) {
	p := newLendingPair()
	g := p.lender.Group("g")
	g.RecordProof(g.Lead(), p.now)
	g.Sample("old", p.now, session.Point{Term: 1, Position: 5})
	s, _ := p.borrower.Open("session", "")
	s.notePosition("g", session.Point{Term: 1, Position: 6})
	if o := s.Run(Statement{ID: "1", Kind: Read, Text: "READ 7"}); o.Code != Done || p.minPosition.Load() != 6 {
		t.Errorf("a read after the session's write at 6 required %d and ends with %s", p.minPosition.Load(), o.Code)
	}
	p.now = p.now.Add(1500 * time.Millisecond)
	if o := s.Run(Statement{ID: "2", Kind: Read, Text: "READ 7"}); o.Code != Done || p.minPosition.Load() != 7 {
		t.Errorf("with a position too old, a read required %d and ends with %s", p.minPosition.Load(), o.Code)
	}
	if p.statusCalls.Load() == 0 {
		t.Error("no status request was made for a newer position")
	}
}

// TestSparseReadWithoutPosition checks that a host determines the position
// itself if the lending host knows none, and that the read succeeds.
func TestSparseReadWithoutPosition(t *testing.T) {
	p := newLendingPair()
	borrow := p.borrower.Borrow
	p.borrower.Borrow = func(address string, m replicaset.Member, handle uint64, call Call) (RemoteResult, error) {
		if call.Freshness != nil {
			return RemoteResult{}, NotSent(ErrNoPosition)
		}
		return borrow(address, m, handle, call)
	}
	s, _ := p.borrower.Open("bounded", "")
	if o := s.Run(Statement{ID: "1", Kind: Read, Text: "READ 7"}); o.Code != Done || p.minPosition.Load() != 7 {
		t.Errorf("a read required %d and ends with %s: %s", p.minPosition.Load(), o.Code, o.Reason)
	}
}

// TestHoldersAskOne covers six hosts that hold connections to the members of a
// group, and that each keep a recent proof and position for borrowers. Only the
// two that hold the primary's connections query endpoints.
func TestHoldersAskOne(t *testing.T) {
	tests := []struct {
		name      string
		knows     replicaset.Knowledge
		err       error
		noQueries bool
	}{
		{"the primary's holder knows", replicaset.Knowledge{
			Lead: "old", Term: 1, Point: session.Point{Term: 1, Position: 9}, SampleAge: 100 * time.Millisecond, ProofAge: 200 * time.Millisecond,
		}, nil, true},
		{"it knows nothing recent", replicaset.Knowledge{Lead: "old", Term: 1, SampleAge: -1, ProofAge: -1}, nil, false},
		{"it knows another primary", replicaset.Knowledge{Lead: "next", Term: 2, Point: session.Point{Term: 2, Position: 9}}, nil, false},
		{"it is unavailable", replicaset.Knowledge{}, ErrLenderUnavailable, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newLendingPair()
			e := p.lender
			e.Lenders = func(m replicaset.Member, _ int, _ session.Account) ([]string, int) {
				if m.ID == "old" {
					return []string{"h1", "h2"}, 2
				}
				return []string{""}, 1
			}
			e.Borrow = func(_ string, m replicaset.Member, _ uint64, call Call) (RemoteResult, error) {
				c, _ := e.Dial(context.Background(), m, noAccount)
				out, err := c.Do(call.Deadline, call.Ops...)
				return RemoteResult{Outcomes: out}, err
			}
			e.EndLoan = func(string, uint64) {}
			e.FetchKnowledge = func(string, session.Group, time.Time) (replicaset.Knowledge, error) { return tt.knows, tt.err }
			g := e.group("g")
			<-e.startRefresh(g).done
			if k := g.Knowledge(p.now); k.ProofAge < 0 || k.SampleAge < 0 {
				t.Errorf("the holder has no proof or no position: %+v", k)
			}
			if asked := p.statusCalls.Load() > 0; asked == tt.noQueries {
				t.Errorf("%d status requests to endpoints", p.statusCalls.Load())
			}
		})
	}
}
