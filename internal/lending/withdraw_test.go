package lending

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// callResult is how a call ended.
type callResult struct {
	handle uint64
	err    error
}

// newNarrowPair returns a pair whose endpoint has one connection, on which a call hangs. Its result is
// sent to the channel.
func newNarrowPair(t *testing.T, withdrawn <-chan struct{}) (*lendingPair, <-chan callResult) {
	t.Helper()
	p := newPair(t)
	p.lender.Engine.Apply(&engine.Declared{Version: 1, Groups: map[session.Group]engine.GroupPolicy{"g": {MaxConnections: 1}}})
	p.lender.Engine.Group("g").Register(1, p.member)
	result := make(chan callResult, 1)
	go func() { result <- p.withdrawable("hang", time.Minute, withdrawn) }()
	for p.dials.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	return p, result
}

// withdrawable runs a call that may be withdrawn.
func (p *lendingPair) withdrawable(text string, wait time.Duration, withdrawn <-chan struct{}) callResult {
	now := time.Now()
	a, err := p.b.Run(p.address(), p.member, 0, engine.Call{
		QueueDeadline: now.Add(time.Minute), Deadline: now.Add(wait), Withdrawn: withdrawn, Ops: []engine.Op{{Kind: engine.OpBegin, Text: text}},
	})
	return callResult{a.Handle, err}
}

func (p *lendingPair) address() string { return strings.TrimPrefix(p.server.URL, "http://") }

// waitForCalls waits until the lender runs a number of calls.
func (p *lendingPair) waitForCalls(t *testing.T, want int) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if n, _ := p.lender.InUse(); n == want {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("the lender does not run %d calls", want)
		}
	}
}

// TestWithdrawnCall guards against calls in doubt that were not sent: a borrower that stopped waiting
// took a call that still waited at its lender for one that may have run.
func TestWithdrawnCall(t *testing.T) {
	for _, tt := range []struct {
		name  string
		limit time.Duration
	}{{"it is withdrawn", time.Minute}, {"its deadline passes", 50 * time.Millisecond}} {
		t.Run(tt.name, func(t *testing.T) {
			withdrawn := make(chan struct{})
			p, hanging := newNarrowPair(t, withdrawn)
			waiting := make(chan callResult, 1)
			go func() { waiting <- p.withdrawable("wait", tt.limit, withdrawn) }()
			p.waitForCalls(t, 2)
			if tt.limit == time.Minute {
				close(withdrawn)
			}
			if got := <-waiting; !errors.Is(got.err, engine.ErrWithdrawn) || engine.Sent(got.err) {
				t.Errorf("a call that waits gives %v, want one that says that it was not sent", got.err)
			}
			p.waitForCalls(t, 1)
			p.hang <- struct{}{}
			got := <-hanging
			if got.err != nil || got.handle == 0 {
				t.Errorf("a call that was sent gives %v, want its answer", got.err)
			}
			// The withdrawn call gets a connection now.
			p.b.EndLoan(p.address(), got.handle)
			for p.dials.Load() < 2 {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(20 * time.Millisecond)
			p.mu.Lock()
			defer p.mu.Unlock()
			if len(p.kinds) != 1 {
				t.Errorf("the endpoint received %d requests, want 1", len(p.kinds))
			}
		})
	}
}

// TestLeavingLenderWithWaitingCall guards against writes in doubt beside planned restarts: a call that
// still waited for a connection when its lender exited ended with a broken link.
func TestLeavingLenderWithWaitingCall(t *testing.T) {
	p, hanging := newNarrowPair(t, nil)
	waiting := make(chan callResult, 1)
	go func() { waiting <- p.withdrawable("wait", time.Minute, nil) }()
	p.waitForCalls(t, 2)
	go p.lender.Leave(time.Now().Add(10 * time.Second))
	select {
	case got := <-waiting:
		if !errors.Is(got.err, engine.ErrLenderUnavailable) || engine.Sent(got.err) {
			t.Errorf("a call that waits gives %v, want one that says that it was not sent", got.err)
		}
	case <-time.After(5 * time.Second):
		t.Error("a call that waits is not answered")
	}
	p.hang <- struct{}{}
	if got := <-hanging; got.err != nil {
		t.Errorf("a call that was sent gives %v, want its answer", got.err)
	}
}

// TestCallAtLeavingLender guards against writes in doubt beside planned restarts: a call that arrived
// while its lender waited for the answer of another one was neither run nor answered.
func TestCallAtLeavingLender(t *testing.T) {
	p, hanging := newNarrowPair(t, nil)
	go p.lender.Leave(time.Now().Add(10 * time.Second))
	p.waitForLeaving()
	if got := p.withdrawable("wait", 100*time.Millisecond, nil); !errors.Is(got.err, engine.ErrLenderUnavailable) || engine.Sent(got.err) {
		t.Errorf("a call that arrives gives %v, want one that says that it was not sent", got.err)
	}
	p.hang <- struct{}{}
	if got := <-hanging; got.err != nil {
		t.Errorf("a call that was sent gives %v, want its answer", got.err)
	}
}

// waitForLeaving waits until the lender begins no call any more.
func (p *lendingPair) waitForLeaving() {
	for leaving := false; !leaving; time.Sleep(time.Millisecond) {
		p.lender.mu.Lock()
		for b := range p.lender.links {
			b.mu.Lock()
			leaving = b.leaving
			b.mu.Unlock()
		}
		p.lender.mu.Unlock()
	}
}
