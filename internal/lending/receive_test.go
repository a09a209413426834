package lending

import (
	"errors"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/budget"
	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/httplimit"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
)

// TestAnswerWithoutMemory guards against a large answer that closes links of others, or its own, for
// its memory.
func TestAnswerWithoutMemory(t *testing.T) {
	p := newPair(t)
	b := budget.New(budget.LineShares, 1, 0)
	p.lender.Budget = b
	server := httptest.NewUnstartedServer(nil)
	server.Config = httplimit.Server(p.lender, httplimit.Limits{})
	server.Listener = httplimit.Listen(server.Listener, budget.Hosts, b)
	server.Start()
	t.Cleanup(server.CloseClientConnections)
	p.server = server
	_, handle, err := p.run(0, 5*time.Second, engine.SessionState{}, engine.Op{Kind: engine.OpBegin})
	if err != nil {
		t.Fatal(err)
	}
	other := b.Open(budget.Hosts, "other", func() { t.Error("the link of another host is closed") })
	other.BeginAnswer(budget.LinkAnswers, 1000)
	p.rows = []string{strings.Repeat("x", 1<<20)}
	if _, _, err := p.run(0, 5*time.Second, engine.SessionState{}, engine.Op{Text: "READ 7"}); !errors.Is(err, errMaybeRun) {
		t.Errorf("an answer without memory gives %v, want %v", err, errMaybeRun)
	}
	other.EndAnswer(budget.LinkAnswers, 1000)
	p.rows = []string{strings.Repeat("x", 1<<19)}
	if _, _, err := p.run(handle, 5*time.Second, engine.SessionState{}, engine.Op{Text: "READ 7"}); err != nil {
		t.Errorf("the transaction on the same link gives %v", err)
	}
}

// TestCallsWithoutMemory guards against calls that are queued without limit, and against
// transactions that can't be ended because of them.
func TestCallsWithoutMemory(t *testing.T) {
	s := &handleSim{
		endpoint: &transactionEndpoint{}, member: replicaset.Member{ID: "m", Group: "g", Address: "m", Role: replicaset.Primary},
		b: &Borrower{DialContext: (&net.Dialer{}).DialContext, OnDown: func(string) {}},
	}
	b := budget.New(budget.LineShares, 1, 0)
	s.server = httptest.NewUnstartedServer(nil)
	s.server.Config = httplimit.Server(nil, httplimit.Limits{})
	s.server.Listener = httplimit.Listen(s.server.Listener, budget.Hosts, b)
	s.startLender()
	lender, ok := s.server.Config.Handler.(*Lender)
	if !ok {
		t.Fatal("the server has no lender")
	}
	lender.Budget = b
	s.server.Start()
	t.Cleanup(s.server.Close)

	handle, err := s.run(0, engine.Op{Kind: engine.OpBegin})
	if err != nil || handle == 0 {
		t.Fatalf("BEGIN gives handle %d, %v", handle, err)
	}
	reserved := 0
	for b.Reserve(budget.SmallLinks, 1) == nil {
		reserved++
	}
	if _, err := s.run(0, engine.Op{Text: "0 READ 1"}); !errors.Is(err, engine.ErrOverloaded) {
		t.Errorf("a call without memory gives %v, want %v", err, engine.ErrOverloaded)
	}
	if _, err := s.run(handle, engine.Op{Text: "0 COMMIT"}); err != nil {
		t.Errorf("the end of a transaction gives %v", err)
	}
	b.Release(budget.SmallLinks, reserved)
	if _, err := s.run(0, engine.Op{Text: "0 " + strings.Repeat("x", 1<<20)}); err != nil {
		t.Errorf("a statement of 1 MiB gives %v", err)
	}
}
