package engine

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// TestSamplesHaveDigests guards against the log position of an answer that may be a copy of an
// earlier one, and is taken for the primary's present position: stale reads and false proofs of commits.
func TestSamplesHaveDigests(t *testing.T) {
	for _, tt := range []struct {
		name   string
		op     Op
		answer Outcome
		want   session.Position
	}{
		{"statement", Op{ID: "1", Text: "READ 1"}, Outcome{Digest: "d"}, 5},
		{"rollback", Op{Kind: OpRollback}, Outcome{}, 0},
		{"start of a transaction", Op{Kind: OpBegin}, Outcome{State: InTransaction}, 0},
		{"refusal", Op{ID: "1", Text: "READ 1"}, Outcome{Code: Busy}, 0},
	} {
		now := replicaset.Instant(time.Minute)
		e := newHolderEngine(&now)
		tt.answer.Point = session.Point{Term: 1, Position: 5}
		e.Dial = func(_ context.Context, m replicaset.Member, _ session.Account) (*Conn, error) {
			return &Conn{Endpoint: m.ID, Close: func() {}, Do: func(time.Time, ...Op) ([]Outcome, error) {
				return []Outcome{tt.answer}, nil
			}}, nil
		}
		g := e.group("g")
		g.RecordProof(g.Lead(), now)
		deadline := time.Now().Add(time.Second)
		call := Call{QueueDeadline: deadline, Deadline: deadline, AnyState: true, Ops: []Op{tt.op}}
		loan, err := e.Lend("g", "old", call)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := loan.Run(call); err != nil {
			t.Fatal(err)
		}
		if p := g.Knowledge(now).Point; p.Position != tt.want {
			t.Errorf("%s: the position of the primary is taken to be %d, want %d", tt.name, p.Position, tt.want)
		}
	}
}

// TestOutOfStepIsNoFailure guards against an endpoint that is avoided because the answers of one of its
// connections could not be matched.
func TestOutOfStepIsNoFailure(t *testing.T) {
	now := replicaset.Instant(time.Minute)
	e := newHolderEngine(&now)
	e.Dial = func(_ context.Context, m replicaset.Member, _ session.Account) (*Conn, error) {
		return &Conn{Endpoint: m.ID, Close: func() {}, Do: func(time.Time, ...Op) ([]Outcome, error) {
			return nil, ErrOutOfStep
		}}, nil
	}
	g := e.group("g")
	first := func() replicaset.EndpointID {
		order, _ := g.ReadOrder(now, session.Point{}, nil)
		return order[0].ID
	}
	best := first()
	deadline := time.Now().Add(time.Second)
	call := Call{QueueDeadline: deadline, Deadline: deadline, AnyState: true, Ops: []Op{{ID: "1", Text: "READ 1"}}}
	loan, err := e.Lend("g", best, call)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := loan.Run(call); !errors.Is(err, ErrOutOfStep) {
		t.Fatal(err)
	}
	if got := first(); got != best {
		t.Errorf("reads go to %s first after a connection to %s was out of step", got, best)
	}
}

// TestOutOfStepIsNoSilence guards against a replica that counts as gone, so that a promotion does not
// wait for it, because the answers of one of its connections could not be matched.
func TestOutOfStepIsNoSilence(t *testing.T) {
	now := replicaset.Instant(time.Minute)
	e := newHolderEngine(&now)
	e.Dial = func(_ context.Context, m replicaset.Member, _ session.Account) (*Conn, error) {
		return &Conn{Endpoint: m.ID, Close: func() {}, Do: func(time.Time, ...Op) ([]Outcome, error) {
			return nil, ErrOutOfStep
		}}, nil
	}
	m, _ := e.Group("g").Member("next")
	if _, err := e.ControlDirect(context.Background(), m, Op{Kind: OpPause, Term: 2}); !Refused(err) {
		t.Errorf("a control request that ends with %v counts as not answered", err)
	}
}
