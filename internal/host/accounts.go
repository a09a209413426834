package host

import (
	"sync"
	"time"

	"github.com/benbjohnson/clock"

	"github.com/cumintrestle/cumintrestle/pkg/result"
	"github.com/cumintrestle/cumintrestle/pkg/template"
)

// admitWait is how long a new connection waits for a larger share of its
// account's cap.
const admitWait = 2 * time.Second

// accountCaps counts the callers of each client account on this host against
// the share of the account's cap that this host holds.
type accountCaps struct {
	clock clock.Clock
	// hurry asks for a larger share.
	hurry func()

	mu      sync.Mutex
	caps    map[template.Account]*accountCap
	changed chan struct{}
}

type accountCap struct {
	held   int
	wanted int
	limit  int
}

func newAccountCaps(clk clock.Clock) *accountCaps {
	return &accountCaps{
		clock:   clk,
		caps:    make(map[template.Account]*accountCap),
		changed: make(chan struct{}),
	}
}

// of returns an account's counts. The caller holds mu.
func (a *accountCaps) of(name template.Account) *accountCap {
	c := a.caps[name]
	if c == nil {
		c = &accountCap{}
		a.caps[name] = c
	}
	return c
}

// admit takes one connection, waiting a moment for a larger share.
func (a *accountCaps) admit(name template.Account) error {
	timeout := a.clock.After(admitWait)
	a.mu.Lock()
	a.of(name).wanted++
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		a.of(name).wanted--
		a.mu.Unlock()
	}()
	for {
		a.mu.Lock()
		c := a.of(name)
		if c.held < c.limit {
			c.held++
			a.mu.Unlock()
			return nil
		}
		changed := a.changed
		a.mu.Unlock()
		a.hurry()
		select {
		case <-changed:
		case <-timeout:
			return result.New(result.TooManyConnections, "client account %q holds all connections that this host may give it", name)
		}
	}
}

func (a *accountCaps) leave(name template.Account) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.of(name).held--
	a.wake()
}

// wake wakes those that wait. The caller holds mu.
func (a *accountCaps) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *accountCaps) setLimit(name template.Account, n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.of(name)
	if c.limit != n {
		c.limit = n
		a.wake()
	}
}

// demand is what the account could use here, with some room to grow.
func (a *accountCaps) demand(name template.Account) int {
	const growth = 4
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.of(name)
	return c.held + c.wanted + (c.held+c.wanted)/growth + 1
}

func (a *accountCaps) held(name template.Account) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.of(name).held
}

func (a *accountCaps) counts(name template.Account) accountCap {
	a.mu.Lock()
	defer a.mu.Unlock()
	return *a.of(name)
}
