package engine

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// accountPool returns a pool of an endpoint with the given slots, of whose connections this
// host may open limit. The endpoint accepts capacity connections.
func accountPool(slots, limit, capacity int) (p *pool, e *countingEndpoint) {
	e = &countingEndpoint{capacity: capacity, opened: make(map[session.Account]int)}
	p = &pool{member: replicaset.Member{Slots: slots}, dial: e.dial, now: time.Now, gate: newGate(time.Now, slots)}
	p.share, p.limit, p.lends = limit, limit, true
	return p, e
}

// countingEndpoint counts its connections by account.
type countingEndpoint struct {
	capacity int
	// opening, if set, is received from before a connection is opened.
	opening chan struct{}

	mu              sync.Mutex
	open, most      int
	dialing, atOnce int
	opened          map[session.Account]int
}

func (e *countingEndpoint) dial(_ context.Context, _ replicaset.Member, a session.Account) (*Conn, error) {
	e.mu.Lock()
	e.dialing++
	e.atOnce = max(e.atOnce, e.dialing)
	e.mu.Unlock()
	if e.opening != nil {
		<-e.opening
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dialing--
	if e.open >= e.capacity {
		return nil, &DialError{Code: TooManyConnections}
	}
	e.open++
	e.most = max(e.most, e.open)
	e.opened[a]++
	return &Conn{Close: func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.open--
	}}, nil
}

func (p *pool) mustAcquire(t *testing.T, a session.Account) *Conn {
	t.Helper()
	c, err := p.acquire(time.Now().Add(5*time.Second), connNeed{account: a, class: classRead})
	if err != nil {
		t.Fatalf("no connection for account %q: %v", a, err)
	}
	if c.account != a {
		t.Fatalf("account %q got a connection of account %q", a, c.account)
	}
	return c
}

// TestThousandRareAccounts covers many accounts that each send little: the pool has fewer
// connections than there are accounts, and never opens more than its limit.
func TestThousandRareAccounts(t *testing.T) {
	p, e := accountPool(4, 10, 10)
	for round := range 2 {
		for i := range 1000 {
			p.release(p.mustAcquire(t, session.Account(fmt.Sprintf("account-%d", i))))
		}
		if open, _, _ := p.stats(); open > 10 || e.most > 10 {
			t.Fatalf("round %d: %d connections are open, %d at most, want 10 at most", round, open, e.most)
		}
	}
	if p.evicted < 1900 {
		t.Errorf("%d connections were closed for other accounts, want about 2000", p.evicted)
	}
}

// TestFrequentAccountKeepsItsConnection covers an account with steady work beside many rare
// ones: the connection that was used longest ago is closed, not the one in steady use.
func TestFrequentAccountKeepsItsConnection(t *testing.T) {
	p, e := accountPool(4, 10, 10)
	for i := range 500 {
		p.release(p.mustAcquire(t, "steady"))
		p.release(p.mustAcquire(t, session.Account(fmt.Sprintf("account-%d", i))))
	}
	if n := e.opened["steady"]; n != 1 {
		t.Errorf("the account in steady use opened %d connections, want 1", n)
	}
}

// TestHotAccountHandsOver covers an account whose requests always wait for its connections: a
// request of another account gets its turn, although no connection is ever idle.
func TestHotAccountHandsOver(t *testing.T) {
	p, _ := accountPool(4, 3, 3)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if c, err := p.acquire(time.Now().Add(time.Second), connNeed{account: "hot", class: classRead}); err == nil {
					time.Sleep(time.Millisecond)
					p.release(c)
				}
			}
		})
	}
	for open, _, waiting := p.stats(); open < 3 || waiting == 0; open, _, waiting = p.stats() {
		time.Sleep(time.Millisecond)
	}
	p.release(p.mustAcquire(t, "calm"))
	close(stop)
	wg.Wait()
}

// TestOpeningIsBounded covers all accounts at once after a loss of power: only a part of the
// endpoint's slots opens connections at a time.
func TestOpeningIsBounded(t *testing.T) {
	p, e := accountPool(4, 20, 20)
	e.opening = make(chan struct{})
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			p.release(p.mustAcquire(t, session.Account(fmt.Sprintf("account-%d", i))))
		})
	}
	for range 16 {
		e.opening <- struct{}{}
	}
	wg.Wait()
	if want := p.maxOpening(); e.atOnce > want {
		t.Errorf("%d connections were opened at once, want %d at most", e.atOnce, want)
	}
}

// TestFullEndpointSwapsConnections covers an endpoint that has no connection left for this
// host: an idle connection of another account makes room.
func TestFullEndpointSwapsConnections(t *testing.T) {
	p, e := accountPool(4, 20, 5)
	for i := range 5 {
		p.release(p.mustAcquire(t, session.Account(fmt.Sprintf("account-%d", i))))
	}
	p.release(p.mustAcquire(t, "next"))
	if e.most > 5 {
		t.Errorf("%d connections were open, the endpoint takes 5", e.most)
	}
}

// TestControlUsesAnyConnection covers control requests at an endpoint whose connections all
// belong to accounts: they must not wait for one of their own.
func TestControlUsesAnyConnection(t *testing.T) {
	p, _ := accountPool(4, 2, 2)
	p.release(p.mustAcquire(t, "a"))
	p.release(p.mustAcquire(t, "b"))
	c := p.takeAnyIdle()
	if c == nil || c.account != "b" {
		t.Fatal("a control request gets no idle connection of an account")
	}
	p.release(c)
	p.release(p.mustAcquire(t, noAccount))
}

// TestPublicDatabaseBesideAccounts guards against a request without an account that waits to its
// deadline, while connections of accounts become idle and others get them.
func TestPublicDatabaseBesideAccounts(t *testing.T) {
	p, _ := accountPool(4, 1, 1)
	p.fair = func() bool { return true }
	c := p.mustAcquire(t, "a")
	got := make(chan error, 1)
	go func() {
		c, err := p.acquire(time.Now().Add(500*time.Millisecond), connNeed{class: classRead})
		if err == nil {
			p.release(c)
		}
		got <- err
	}()
	for p.counts().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	p.release(c)
	if err := <-got; err != nil {
		t.Errorf("a request of a public database beside an idle connection of an account: %v", err)
	}
}
