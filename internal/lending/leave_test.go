package lending

import (
	"context"
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
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// TestLeavingLenderTellsWhatHasNotRun guards against writes in doubt beside planned restarts: a call
// that reached a lender that was about to exit counted as one that may have run.
func TestLeavingLenderTellsWhatHasNotRun(t *testing.T) {
	p := newPair(t)
	results := map[string]chan error{"hang": make(chan error, 1), "late": make(chan error, 1)}
	call := func(text string) {
		_, _, err := p.run(0, time.Minute, engine.SessionState{}, engine.Op{Kind: engine.OpBegin, Text: text})
		results[text] <- err
	}
	go call("hang")
	for p.dials.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	left := make(chan struct{})
	go func() { p.lender.Leave(time.Now().Add(10 * time.Second)); close(left) }()
	time.Sleep(50 * time.Millisecond)
	go call("late")
	time.Sleep(50 * time.Millisecond)
	p.hang <- struct{}{}
	<-left
	if err := <-results["hang"]; err != nil {
		t.Errorf("a call that ran when the lender began to leave: %v, want its answer", err)
	}
	if err := <-results["late"]; !errors.Is(err, engine.ErrLenderUnavailable) || engine.Sent(err) {
		t.Errorf("a call that the lender has not run: %v, want an error that says so", err)
	}
	if _, _, err := p.run(0, time.Minute, engine.SessionState{}, engine.Op{Kind: engine.OpBegin, Text: "new"}); !errors.Is(err, engine.ErrLenderUnavailable) || engine.Sent(err) {
		t.Errorf("a call over a link that is opened then: %v, want an error that says that it has not run", err)
	}
	if len(p.kinds) != 1 {
		t.Errorf("the endpoint received %d requests, want 1", len(p.kinds))
	}
}

// TestLeavingLenderWithRunningCall guards against false promises: a call that still runs when the
// lender exits may have taken effect.
func TestLeavingLenderWithRunningCall(t *testing.T) {
	p := newPair(t)
	result := make(chan error, 1)
	go func() {
		_, _, err := p.run(0, time.Minute, engine.SessionState{}, engine.Op{Kind: engine.OpBegin, Text: "hang"})
		result <- err
	}()
	for p.dials.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	p.lender.Leave(time.Now().Add(50 * time.Millisecond))
	p.b.mu.Lock()
	for _, l := range p.b.links {
		// The process exits.
		l.cancel()
	}
	p.b.mu.Unlock()
	if err := <-result; !engine.Sent(err) {
		t.Errorf("a call that ran when the lender exited: %v, want an error that says that it may have run", err)
	}
}

// TestEvictedLinkTellsWhatHasNotRun guards against calls in doubt where links are many: a link that was
// closed for another one broke under a call that was on its way.
func TestEvictedLinkTellsWhatHasNotRun(t *testing.T) {
	p := newPair(t)
	memory := budget.New(budget.LineShares, 1, 0)
	p.lender.Budget = memory
	server := httptest.NewUnstartedServer(nil)
	server.Config = httplimit.Server(p.lender, httplimit.Limits{})
	server.Listener = httplimit.Listen(server.Listener, budget.Hosts, memory)
	server.Start()
	t.Cleanup(server.CloseClientConnections)
	address := strings.TrimPrefix(server.URL, "http://")
	open := func() *link {
		b := &Borrower{DialContext: (&net.Dialer{}).DialContext, OnDown: func(string) {}}
		l, err := b.awaitLink(address, 5*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	first := open()
	for range 100 {
		open()
		if first.ctx.Err() != nil {
			break
		}
	}
	<-first.ctx.Done()
	if err := first.endError(); engine.Sent(err) {
		t.Errorf("a call on a link that was closed for another one ends with %v, want an error that says that it has not run", err)
	}
}

// TestPanicAtLeavingLender guards against false promises: the link on which a call had panicked was
// closed as if the call had not been run.
func TestPanicAtLeavingLender(t *testing.T) {
	p := newPair(t)
	dial := p.lender.Engine.Dial
	p.lender.Engine.Dial = func(ctx context.Context, m replicaset.Member, a session.Account) (*engine.Conn, error) {
		c, err := dial(ctx, m, a)
		c.Do = func(time.Time, ...engine.Op) ([]engine.Outcome, error) {
			<-p.hang
			panic("the endpoint has received the call")
		}
		return c, err
	}
	reported := make(chan struct{})
	p.lender.Engine.Event = func(v engine.Event) {
		if v.Decision == "panic" {
			<-reported
		}
	}
	result := make(chan error, 1)
	go func() {
		_, _, err := p.run(0, time.Minute, engine.SessionState{}, engine.Op{Text: "WRITE 1 a", Commits: true})
		result <- err
	}()
	for p.dials.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	go p.lender.Leave(time.Now().Add(time.Second))
	p.waitForLeaving()
	p.hang <- struct{}{}
	time.AfterFunc(100*time.Millisecond, func() { close(reported) })
	if err := <-result; !engine.Sent(err) {
		t.Errorf("a call that panicked: %v, want an error that says that it may have run", err)
	}
}
