package engine

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// newStatusEngine returns an engine whose endpoints answer every request with
// their status.
func newStatusEngine(now *replicaset.Instant, reports map[replicaset.EndpointID]*replicaset.Status) *Engine {
	e := &Engine{
		Zone: "z", Now: time.Now, BootTime: func() replicaset.Instant { return *now },
		Event: func(Event) {},
	}
	e.Dial = func(_ context.Context, m replicaset.Member, _ session.Account) (*Conn, error) {
		return &Conn{Endpoint: m.ID, Close: func() {}, Do: func(time.Time, ...Op) ([]Outcome, error) {
			return []Outcome{{Report: *reports[m.ID]}}, nil
		}}, nil
	}
	for _, id := range []replicaset.EndpointID{"old", "next", "third"} {
		role := replicaset.Replica
		if id == "old" {
			role = replicaset.Primary
		}
		e.Group("g").Register(*now, replicaset.Member{ID: id, Group: "g", Address: string(id), Zone: "z", Role: role, Slots: 1})
	}
	return e
}

func TestProof(t *testing.T) {
	tests := []struct {
		name              string
		old, next, third  replicaset.Status
		proved            bool
		recordedTerm      session.Term
		switchingRecorded bool
	}{
		{
			name: "replicas follow", recordedTerm: 1, proved: true,
			old:   replicaset.Status{Role: replicaset.Primary, Term: 1},
			next:  replicaset.Status{Role: replicaset.Replica, Term: 1},
			third: replicaset.Status{Role: replicaset.Replica, Term: 1},
		},
		{
			name: "replicas are paused", recordedTerm: 1,
			old:   replicaset.Status{Role: replicaset.Primary, Term: 1},
			next:  replicaset.Status{Role: replicaset.Replica, Term: 1, PausedTerm: 2},
			third: replicaset.Status{Role: replicaset.Replica, Term: 1, PausedTerm: 2},
		},
		{
			// A host that is cut off from the store asked a replica of the next
			// term, learned the old primary's own term, and took that for a
			// proof.
			name:  "a host without the store's record sees the next term",
			old:   replicaset.Status{Role: replicaset.Primary, Term: 1},
			next:  replicaset.Status{Role: replicaset.Primary, Term: 2},
			third: replicaset.Status{Role: replicaset.Replica, Term: 2},
		},
		{
			// For some milliseconds after a promotion, a replica does not know
			// of it and reports that it follows the old primary.
			name: "a replica does not know of the promotion", recordedTerm: 1,
			old:   replicaset.Status{Role: replicaset.Replica, Term: 1},
			next:  replicaset.Status{Role: replicaset.Replica, Term: 1, PausedTerm: 3},
			third: replicaset.Status{Role: replicaset.Replica, Term: 1},
		},
		{
			name: "a switch is recorded", recordedTerm: 1, switchingRecorded: true,
			old:   replicaset.Status{Role: replicaset.Primary, Term: 1},
			next:  replicaset.Status{Role: replicaset.Replica, Term: 1},
			third: replicaset.Status{Role: replicaset.Replica, Term: 1},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := replicaset.Instant(time.Minute)
			e := newStatusEngine(&now, map[replicaset.EndpointID]*replicaset.Status{"old": &tt.old, "next": &tt.next, "third": &tt.third})
			g := e.group("g")
			if tt.recordedTerm != 0 {
				g.SetLead(1, replicaset.Lead{ID: "old", Term: tt.recordedTerm, Version: 7, Switching: tt.switchingRecorded})
			}
			if err := e.prove(g, g.Lead(), now, nil); (err == nil) != tt.proved {
				t.Fatalf("prove returns %v, want proved %t", err, tt.proved)
			}
		})
	}
}

// TestProofAges checks that a proof is valid for statements that arrive within
// ProofTime, and for none that arrive later.
func TestProofAges(t *testing.T) {
	now := replicaset.Instant(time.Minute)
	following := replicaset.Status{Role: replicaset.Replica, Term: 1}
	primary := replicaset.Status{Role: replicaset.Primary, Term: 1}
	e := newStatusEngine(&now, map[replicaset.EndpointID]*replicaset.Status{"old": &primary, "next": &following, "third": &following})
	g := e.group("g")
	g.SetLead(1, replicaset.Lead{ID: "old", Term: 1, Version: 7})
	if err := e.prove(g, g.Lead(), now, nil); err != nil {
		t.Fatal(err)
	}
	following.PausedTerm = 2
	if err := e.prove(g, g.Lead(), now.Add(ProofTime), nil); err != nil {
		t.Errorf("within ProofTime: %v", err)
	}
	if err := e.prove(g, g.Lead(), now.Add(ProofTime+time.Millisecond), nil); err == nil {
		t.Error("after ProofTime the old primary of a paused group still counts as leading")
	}
}

// TestProofByRecord covers a primary whose replicas are both unreachable: it
// keeps serving reads while the store shows that no switch has begun.
func TestProofByRecord(t *testing.T) {
	lead := replicaset.Lead{ID: "old", Term: 1, Version: 7}
	switching, newer := lead, lead
	switching.Switching = true
	newer.Version = 8
	tests := []struct {
		name     string
		recorded replicaset.Lead
		err      error
		proved   bool
	}{
		{"no switch has begun", lead, nil, true},
		{"a switch has begun", switching, nil, false},
		{"the record is newer than what this host knows", newer, nil, false},
		{"the store is unreachable", replicaset.Lead{}, errors.New("timeout"), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := replicaset.Instant(time.Minute)
			e := newStatusEngine(&now, nil)
			e.Dial = func(context.Context, replicaset.Member, session.Account) (*Conn, error) {
				return nil, errors.New("i/o timeout")
			}
			readAt := now.Add(-200 * time.Millisecond)
			e.RecordedLead = func(session.Group) (replicaset.Lead, replicaset.Instant, error) { return tt.recorded, readAt, tt.err }
			g := e.group("g")
			g.SetLead(1, lead)
			if err := e.prove(g, g.Lead(), now, nil); (err == nil) != tt.proved {
				t.Fatalf("prove returns %v, want proved %t", err, tt.proved)
			}
			if g.HasProof(readAt.Add(ProofTime+1), ProofTime) {
				t.Error("the proof counts as newer than the reading of the record")
			}
		})
	}
}

// TestProofOverOwnConnection covers a primary that has no connection left after
// a restart of all hosts. A reader that holds a connection queries the primary
// over it. Otherwise, if the term was not known either, each request for a proof
// waited for a connection that only the waiting callers held, and the group was
// not served again.
func TestProofOverOwnConnection(t *testing.T) {
	for _, known := range []session.Term{0, 1} {
		t.Run(fmt.Sprintf("known term %d", known), func(t *testing.T) { proveOverOwnConnection(t, known) })
	}
}

func proveOverOwnConnection(t *testing.T, known session.Term) {
	t.Helper()
	now := replicaset.Instant(time.Minute)
	following := replicaset.Status{Role: replicaset.Replica, Term: 1}
	primary := replicaset.Status{Role: replicaset.Primary, Term: 1}
	e := newStatusEngine(&now, map[replicaset.EndpointID]*replicaset.Status{"old": &primary, "next": &following, "third": &following})
	g := e.group("g")
	if known != 0 {
		g.SetLead(1, replicaset.Lead{ID: "old", Term: known, Version: 7})
	}
	m, _ := g.Member("old")
	deadline := time.Now().Add(time.Second)
	c, err := e.pool(g, m).acquire(deadline, connNeed{class: classRead})
	if err != nil {
		t.Fatal(err)
	}
	dial := e.Dial
	e.Dial = func(ctx context.Context, m replicaset.Member, a session.Account) (*Conn, error) {
		if m.ID == "old" {
			return nil, &DialError{Code: TooManyConnections}
		}
		return dial(ctx, m, a)
	}
	e.pool(g, m).dial = e.Dial
	if err := e.prove(g, g.Lead(), now, c); err != nil {
		t.Errorf("with a connection to the primary: %v", err)
	}
}
