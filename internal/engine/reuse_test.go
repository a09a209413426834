package engine

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// pinnedEndpoint is a primary that checks which session's statements run on each of its
// connections. Statement IDs begin with the name of their session.
type pinnedEndpoint struct {
	mu         sync.Mutex
	violations []string
	committed  []string
	// refuse holds the texts that the endpoint answers with Busy, lose those that it runs
	// without an answer.
	refuse, lose string
	// onWrite, if set, is called when a write has run, before its answer.
	onWrite func()
}

// pinnedConn is the endpoint's side of one connection.
type pinnedConn struct {
	*pinnedEndpoint
	open, failed bool
	owner        string
	writes       []string
	values       map[string]string
}

func (d *pinnedEndpoint) dial(_ context.Context, m replicaset.Member, _ session.Account) (*Conn, error) {
	c := &pinnedConn{pinnedEndpoint: d, values: make(map[string]string)}
	return &Conn{Endpoint: m.ID, Close: func() {}, Do: func(_ time.Time, ops ...Op) ([]Outcome, error) {
		d.mu.Lock()
		defer d.mu.Unlock()
		var out []Outcome
		for _, op := range ops {
			o := c.serve(op)
			if d.lose != "" && strings.HasPrefix(op.Text, d.lose) {
				return out, errors.New("the answer was lost")
			}
			switch {
			case c.failed:
				o.State = FailedTransaction
			case c.open:
				o.State = InTransaction
			}
			out = append(out, o)
		}
		return out, nil
	}}, nil
}

func (c *pinnedConn) serve(op Op) Outcome {
	switch op.Kind {
	case OpBegin, OpBeginRead:
		c.open, c.owner, c.writes = true, "", nil
	case OpRollback:
		c.open, c.failed, c.writes = false, false, nil
	case OpSet:
		c.values[op.Name] = op.Value
	case OpReset:
		clear(c.values)
	case OpStatement:
		return c.statement(op)
	}
	return Outcome{}
}

func (c *pinnedConn) statement(op Op) Outcome {
	if c.refuse != "" && strings.HasPrefix(op.Text, c.refuse) {
		c.failed = c.open
		return Outcome{Code: Busy}
	}
	owner, _, _ := strings.Cut(op.ID, "-")
	if c.open && c.owner == "" {
		c.owner = owner
	}
	if c.open && c.owner != owner {
		c.violations = append(c.violations, fmt.Sprintf("%s %s ran inside the transaction of %s", op.ID, op.Text, c.owner))
	}
	if v, ok := c.values["who"]; ok && v != owner {
		c.violations = append(c.violations, fmt.Sprintf("%s %s ran with the values of %s", op.ID, op.Text, v))
	}
	switch {
	case op.Text == "COMMIT":
		c.committed = append(c.committed, c.writes...)
		c.open, c.failed = false, false
	case strings.HasPrefix(op.Text, "WRITE") && c.open:
		c.writes = append(c.writes, op.ID)
	case strings.HasPrefix(op.Text, "WRITE"):
		c.committed = append(c.committed, op.ID)
		if c.onWrite != nil {
			c.onWrite()
		}
	}
	return Outcome{Digest: "d", Point: session.Point{Term: 1, Position: 7}}
}

func newPinnedEngine(d *pinnedEndpoint) *Engine {
	e := &Engine{
		Zone: "z", Now: time.Now, BootTime: func() replicaset.Instant { return replicaset.Instant(time.Minute) },
		Event: func(Event) {}, Dial: d.dial,
	}
	e.Apply(&Declared{
		Version: 1, Groups: map[session.Group]GroupPolicy{"g": {MaxConnections: 2, Synchronous: true}},
		Databases: map[string]Database{"db": {Group: "g", StatementTimeout: 45 * time.Millisecond}},
	})
	g := e.Group("g")
	g.Register(e.BootTime(), replicaset.Member{ID: "p", Group: "g", Address: "p", Zone: "z", Role: replicaset.Primary, Slots: 1})
	g.SetLead(e.BootTime(), replicaset.Lead{ID: "p", Term: 1, Version: 1})
	g.RecordProof(g.Lead(), e.BootTime())
	// The store goes on showing no switch.
	recorded := g.Lead()
	e.RecordedLead = func(session.Group) (replicaset.Lead, replicaset.Instant, error) { return recorded, e.BootTime(), nil }
	return e
}

// saturate fills the admission gate of the primary and returns a function that empties it.
func saturate(e *Engine) (release func()) {
	g := e.group("g")
	m, _ := g.Member("p")
	gate := e.pool(g, m).gate
	n := 0
	for gate.enter(e.Now(), queued{class: classInTransaction}) == nil {
		n++
	}
	return func() {
		for range n {
			gate.leave(time.Millisecond, false)
		}
	}
}

// pinnedSession is a caller's session that numbers its statements.
type pinnedSession struct {
	*CallerSession
	name string
	n    int
}

func (s *pinnedSession) do(kind Kind, text string) (Outcome, string) {
	s.n++
	id := fmt.Sprintf("%s-%d", s.name, s.n)
	return s.Run(Statement{ID: id, Kind: kind, Text: text, Name: "who", Value: s.name}), id
}

func openPinned(t *testing.T, e *Engine, name string) *pinnedSession {
	s, o := e.Open("db", "")
	if s == nil {
		t.Fatalf("session %s is refused: %v", name, o)
	}
	return &pinnedSession{CallerSession: s, name: name}
}

// TestRefusedCommitLeavesNoTransaction guards against statements of one caller that run
// inside another caller's transaction: a COMMIT that was not sent, or not run, returned its
// connection to the pool with the transaction open.
func TestRefusedCommitLeavesNoTransaction(t *testing.T) {
	tests := []struct {
		name string
		// verb is the first statement of the transaction.
		verb   string
		refuse func(d *pinnedEndpoint, e *Engine) (release func())
	}{
		{"the admission gate refuses the commit of reads", "READ 1", func(_ *pinnedEndpoint, e *Engine) func() { return saturate(e) }},
		{"the endpoint is too busy for the commit of reads", "READ 1", refuseCommits},
		{"the endpoint is too busy for the commit of writes", "WRITE 1 x", refuseCommits},
		{"the answer to the commit of reads is lost", "READ 1", loseCommits},
		{"the answer to the commit of writes is lost", "WRITE 1 x", loseCommits},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			d := &pinnedEndpoint{}
			e := newPinnedEngine(d)
			a, b := openPinned(t, e, "a"), openPinned(t, e, "b")
			kind := Read
			if strings.HasPrefix(tt.verb, "WRITE") {
				kind = Write
			}
			a.do(Begin, "BEGIN")
			if o, _ := a.do(kind, tt.verb); o.Code != Done || o.State != InTransaction {
				t.Fatalf("the first statement ends with %s", o.Code)
			}
			release := tt.refuse(d, e)
			if o, _ := a.do(Commit, "COMMIT"); o.Code == Done {
				t.Fatal("the commit is not refused")
			}
			release()
			for range 4 {
				o, id := b.do(Write, "WRITE 2 y")
				d.mu.Lock()
				if o.Code == Done && !slices.Contains(d.committed, id) {
					t.Errorf("write %s was acknowledged and is not committed", id)
				}
				d.mu.Unlock()
			}
			d.mu.Lock()
			defer d.mu.Unlock()
			if len(d.violations) > 0 {
				t.Error(d.violations)
			}
		})
	}
}

// TestUnfinishedLoanIsNotReused guards against a lent connection that returns to the pool
// with the borrower's transaction open, after the lender's gate has refused its COMMIT.
func TestUnfinishedLoanIsNotReused(t *testing.T) {
	d := &pinnedEndpoint{}
	e := newPinnedEngine(d)
	call := func(ops ...Op) Call {
		deadline := e.Now().Add(30 * time.Millisecond)
		return Call{QueueDeadline: deadline, Deadline: deadline, Ops: ops}
	}
	begin := call(Op{Kind: OpBegin}, Op{ID: "a-1", Text: "READ 1"})
	loan, err := e.Lend("g", "p", begin)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := loan.Run(begin); err != nil {
		t.Fatal(err)
	}
	release := saturate(e)
	if _, err := loan.Run(call(Op{ID: "a-2", Text: "COMMIT"})); err == nil || Sent(err) {
		t.Fatalf("the commit ends with %v, want a refusal", err)
	}
	release()
	if loan.Finished() {
		t.Error("the loan counts as finished with its transaction open")
	}
	loan.Release()
	openPinned(t, e, "b").do(Write, "WRITE 2 y")
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.violations) > 0 {
		t.Error(d.violations)
	}
}

func refuseCommits(d *pinnedEndpoint, _ *Engine) func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refuse = "COMMIT"
	return func() { d.clear() }
}

func loseCommits(d *pinnedEndpoint, _ *Engine) func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lose = "COMMIT"
	return func() { d.clear() }
}

func (d *pinnedEndpoint) clear() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refuse, d.lose = "", ""
}

// TestConnectionsCarryNothingOver guards against a transaction or a session value of one
// caller on a connection of another, whatever is refused or lost before: three sessions run
// random statements, at random moments the gate is full, the endpoint is too busy, or
// answers are lost.
func TestConnectionsCarryNothingOver(t *testing.T) {
	params := gopter.DefaultTestParameters()
	params.MinSuccessfulTests = 40
	properties := gopter.NewProperties(params)
	properties.Property("nothing is carried over", prop.ForAllNoShrink(func(steps []int) string {
		d := &pinnedEndpoint{}
		e := newPinnedEngine(d)
		sessions := []*pinnedSession{openPinned(t, e, "a"), openPinned(t, e, "b"), openPinned(t, e, "c")}
		for _, n := range steps {
			s := sessions[n%3]
			single := s.State() == Idle
			end := playFault(d, e, n/18)
			kind, o, id := playStatement(s, n/3%6)
			end()
			d.mu.Lock()
			bad := slices.Clone(d.violations)
			if single && kind == Write && o.Code == Done && !slices.Contains(d.committed, id) {
				bad = append(bad, "write "+id+" was acknowledged and is not committed")
			}
			d.mu.Unlock()
			if len(bad) > 0 {
				return strings.Join(bad, "; ")
			}
		}
		return ""
	}, gen.SliceOfN(50, gen.IntRange(0, 3*6*4-1))))
	properties.TestingRun(t)
}

// playStatement runs one of six kinds of statements, the ends of transactions in open ones
// only.
func playStatement(s *pinnedSession, n int) (Kind, Outcome, string) {
	texts := map[Kind]string{
		Read: "READ 1", Write: "WRITE 1 x", Set: "SET who " + s.name, Begin: "BEGIN", Commit: "COMMIT", Rollback: "ROLLBACK",
	}
	kinds := []Kind{Read, Write, Set, Begin, Begin, Begin}
	if s.State() != Idle {
		kinds = []Kind{Read, Write, Set, Commit, Commit, Rollback}
	}
	o, id := s.do(kinds[n], texts[kinds[n]])
	return kinds[n], o, id
}

// playFault begins a fault in three cases out of four, and returns a function that ends it.
func playFault(d *pinnedEndpoint, e *Engine, n int) (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch n {
	case 0:
		return saturate(e)
	case 1:
		d.refuse = "COMMIT"
	case 2:
		d.lose = "READ"
	}
	return d.clear
}
