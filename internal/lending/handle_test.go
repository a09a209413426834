package lending

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// transactionEndpoint is an endpoint that keeps the statements of each committed
// transaction. A statement's text begins with the session that owns it.
type transactionEndpoint struct {
	mu        sync.Mutex
	committed [][]string
	open      int
}

func (p *transactionEndpoint) dial(context.Context, replicaset.Member, session.Account) (*engine.Conn, error) {
	var statements []string
	begun := false
	end := func(commit bool) {
		if !begun {
			return
		}
		if commit {
			p.committed = append(p.committed, statements)
		}
		statements, begun = nil, false
		p.open--
	}
	return &engine.Conn{
		Close: func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			end(false)
		},
		Do: func(_ time.Time, ops ...engine.Op) ([]engine.Outcome, error) {
			p.mu.Lock()
			defer p.mu.Unlock()
			var out []engine.Outcome
			for _, op := range ops {
				_, verb, _ := strings.Cut(op.Text, " ")
				switch {
				case op.Kind == engine.OpBegin && !begun:
					begun = true
					p.open++
				case verb == "COMMIT", op.Kind == engine.OpRollback:
					end(verb == "COMMIT")
				case begun && op.Text != "":
					statements = append(statements, op.Text)
				}
				o := engine.Outcome{Digest: "d"}
				if begun {
					o.State = engine.InTransaction
				}
				out = append(out, o)
			}
			return out, nil
		},
	}, nil
}

// openTransactions returns the number of transactions that are open.
func (p *transactionEndpoint) openTransactions() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// handleSim runs sessions with transactions at a lender, whose links break and whose
// process restarts meanwhile.
type handleSim struct {
	endpoint *transactionEndpoint
	member   replicaset.Member
	b        *Borrower
	server   *httptest.Server
	// sessions has the handle and the statements of each session's transaction.
	sessions [handleSessions]struct {
		handle     uint64
		statements []string
		count      int
	}
	acked [][]string
}

const (
	handleSessions = 4
	// loanEndLimit is how long the transactions of a link that has broken may stay open.
	loanEndLimit = time.Second
)

func newHandleSim() *handleSim {
	s := &handleSim{
		endpoint: &transactionEndpoint{}, member: replicaset.Member{ID: "m", Group: "g", Address: "m", Role: replicaset.Primary},
		b: &Borrower{DialContext: (&net.Dialer{}).DialContext, OnDown: func(string) {}},
	}
	s.server = httptest.NewUnstartedServer(nil)
	s.startLender()
	s.server.Start()
	return s
}

// startLender replaces the lender by one without any loans, as a restart does.
func (s *handleSim) startLender() {
	e := &engine.Engine{Now: time.Now, BootTime: func() replicaset.Instant { return 1 }, Event: func(engine.Event) {}, Dial: s.endpoint.dial}
	// Each session may have a connection of its own.
	e.Apply(&engine.Declared{Version: 1, Groups: map[session.Group]engine.GroupPolicy{"g": {MaxConnections: 2 * handleSessions}}})
	e.Group("g").Register(1, s.member)
	s.server.Config.Handler = &Lender{Engine: e, Unavailable: func() bool { return false }}
}

func (s *handleSim) address() string { return strings.TrimPrefix(s.server.URL, "http://") }

// cut breaks the link and waits until the borrower has noticed.
func (s *handleSim) cut() {
	s.b.mu.Lock()
	l := s.b.links[s.address()]
	s.b.mu.Unlock()
	if l == nil {
		return
	}
	<-l.ready
	l.cancel()
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.b.mu.Lock()
		now := s.b.links[s.address()]
		s.b.mu.Unlock()
		if now != l {
			return
		}
	}
}

func (s *handleSim) run(handle uint64, op engine.Op) (uint64, error) {
	deadline := time.Now().Add(time.Second)
	a, err := s.b.Run(s.address(), s.member, handle, engine.Call{QueueDeadline: deadline, Deadline: deadline, Ops: []engine.Op{op}})
	if err == nil && a.Outcomes[0].Code != engine.Done {
		err = fmt.Errorf("%s", a.Outcomes[0].Code)
	}
	return a.Handle, err
}

// step runs one operation of a session, or breaks the link. It returns what is wrong
// with the result, "" if nothing is.
func (s *handleSim) step(n int) string {
	const kinds = 6
	i, kind := n/kinds, n%kinds
	x := &s.sessions[i]
	switch {
	case kind == 0 && i == 0:
		s.cut()
		s.startLender()
	case kind == 0:
		s.cut()
	case kind < 3 && x.handle == 0:
		x.statements = nil
		x.handle, _ = s.run(0, engine.Op{Kind: engine.OpBegin})
	case x.handle == 0:
	case kind < 5:
		x.count++
		text := fmt.Sprintf("s%d %d", i, x.count)
		handle, err := s.run(x.handle, engine.Op{Text: text})
		x.statements = append(x.statements, text)
		if x.handle = handle; err == nil && handle == 0 {
			return "a statement has ended its transaction"
		}
	default:
		_, err := s.run(x.handle, engine.Op{Text: fmt.Sprintf("s%d COMMIT", i)})
		x.handle = 0
		if err == nil {
			s.acked = append(s.acked, x.statements)
		}
	}
	return ""
}

// check compares what the endpoint has committed with what sessions were told.
func (s *handleSim) check() string {
	s.cut()
	for end := time.Now().Add(loanEndLimit); s.endpoint.openTransactions() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return "a transaction is open after its link has broken"
		}
	}
	s.endpoint.mu.Lock()
	defer s.endpoint.mu.Unlock()
	if fmt.Sprint(s.endpoint.committed) != fmt.Sprint(s.acked) {
		return fmt.Sprintf("committed %v, sessions were told of %v", s.endpoint.committed, s.acked)
	}
	return ""
}

// TestHandlesAcrossLinks guards against a COMMIT that is acknowledged to one session and
// commits the transaction of another one: the link to the lender has broken, and handles
// of the next link count from 1 again.
func TestHandlesAcrossLinks(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(1)
	params.MinSuccessfulTests = 200
	properties := gopter.NewProperties(params)
	properties.Property("a session's work stays its own", prop.ForAll(
		func(steps []int) string {
			s := newHandleSim()
			defer s.server.Close()
			defer s.server.CloseClientConnections()
			for _, n := range steps {
				if fault := s.step(n); fault != "" {
					return fault
				}
			}
			return s.check()
		},
		gen.SliceOfN(40, gen.IntRange(0, handleSessions*6-1)),
	))
	properties.TestingRun(t)
}
