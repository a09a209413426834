package lending

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/budget"
	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/httplimit"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// TestLenderThatWaitsForMemory guards against calls in doubt beside large texts: a lender that waited for
// memory read no pings, and its borrowers took the link for broken.
func TestLenderThatWaitsForMemory(t *testing.T) {
	m := replicaset.Member{ID: "m", Group: "g", Address: "m", Role: replicaset.Primary}
	var running atomic.Bool
	answer := make(chan struct{})
	e := &engine.Engine{Now: time.Now, BootTime: func() replicaset.Instant { return 1 }, Event: func(engine.Event) {}}
	e.Dial = func(context.Context, replicaset.Member, session.Account) (*engine.Conn, error) {
		return &engine.Conn{Close: func() {}, Do: func(_ time.Time, ops ...engine.Op) ([]engine.Outcome, error) {
			if ops[0].Text == "hang" {
				running.Store(true)
				<-answer
			}
			return make([]engine.Outcome, len(ops)), nil
		}}, nil
	}
	e.Apply(&engine.Declared{Version: 1, Groups: map[session.Group]engine.GroupPolicy{"g": {MaxConnections: 4}}})
	e.Group("g").Register(1, m)
	memory := budget.New(budget.LineShares, 1, 0)
	server := httptest.NewUnstartedServer(nil)
	server.Config = httplimit.Server(&Lender{Engine: e, Unavailable: func() bool { return false }, Budget: memory}, httplimit.Limits{})
	server.Listener = httplimit.Listen(server.Listener, budget.Hosts, memory)
	server.Start()
	t.Cleanup(server.CloseClientConnections)
	b := &Borrower{DialContext: (&net.Dialer{}).DialContext, OnDown: func(string) {}}
	run := func(text string) <-chan error {
		result := make(chan error, 1)
		until := time.Now().Add(time.Minute)
		go func() {
			_, err := b.Run(strings.TrimPrefix(server.URL, "http://"), m, 0, engine.Call{QueueDeadline: until, Deadline: until, Ops: []engine.Op{{Text: text}}})
			result <- err
		}()
		return result
	}
	hanging := run("hang")
	for !running.Load() {
		time.Sleep(time.Millisecond)
	}
	const step = 1 << 10
	reserved := 0
	for memory.Reserve(budget.Links, step) == nil {
		reserved += step
	}
	large := run(strings.Repeat("x", 1<<20))
	time.Sleep(3 * pingTimeout)
	memory.Release(budget.Links, reserved)
	if err := <-large; err != nil {
		t.Errorf("a large call gives %v", err)
	}
	close(answer)
	if err := <-hanging; err != nil {
		t.Errorf("a call that runs beside it gives %v", err)
	}
}
