package host

import (
	"sync"
	"time"

	"github.com/benbjohnson/clock"

	"github.com/cumintrestle/cumintrestle/pkg/result"
	"github.com/cumintrestle/cumintrestle/pkg/template"
)

// admitTimeout is how long a new connection waits for this host's share of the
// account's connection cap to grow before it is refused.
const admitTimeout = 2 * time.Second

// accountCaps limits the callers' connections of each client account on this
// host to the host's share of the account's connection cap.
type accountCaps struct {
	clock clock.Clock
	// requestRound triggers a round of rebalancing, which may enlarge the share.
	requestRound func()

	mu   sync.Mutex
	caps map[template.Account]*accountCap
	// changed is closed and replaced when a waiting connection may be admitted.
	changed chan struct{}
}

// accountCap counts the admitted and the waiting connections of one account.
type accountCap struct {
	admitted int
	waiting  int
	limit    int
}

func newAccountCaps(clk clock.Clock) *accountCaps {
	return &accountCaps{
		clock:   clk,
		caps:    make(map[template.Account]*accountCap),
		changed: make(chan struct{}),
	}
}

// capFor returns the counts of an account, which it creates if needed. The
// caller holds mu.
func (a *accountCaps) capFor(name template.Account) *accountCap {
	c := a.caps[name]
	if c == nil {
		c = &accountCap{}
		a.caps[name] = c
	}
	return c
}

// admit counts a new connection of the account. At the limit it waits up to
// admitTimeout for room, and then refuses.
func (a *accountCaps) admit(name template.Account) error {
	timeout := a.clock.After(admitTimeout)
	a.mu.Lock()
	a.capFor(name).waiting++
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		a.capFor(name).waiting--
		a.mu.Unlock()
	}()
	for {
		a.mu.Lock()
		c := a.capFor(name)
		if c.admitted < c.limit {
			c.admitted++
			a.mu.Unlock()
			return nil
		}
		changed := a.changed
		a.mu.Unlock()
		a.requestRound()
		select {
		case <-changed:
		case <-timeout:
			return result.New(result.TooManyConnections, "client account %q holds all connections that this host may give it", name)
		}
	}
}

// release gives back what admit counted.
func (a *accountCaps) release(name template.Account) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.capFor(name).admitted--
	a.notifyWaiters()
}

// notifyWaiters wakes the goroutines waiting in admit. The caller holds mu.
func (a *accountCaps) notifyWaiters() {
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *accountCaps) setLimit(name template.Account, n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.capFor(name)
	if c.limit != n {
		c.limit = n
		a.notifyWaiters()
	}
}

// demand returns the number of connections that the account could use on this
// host: those admitted and waiting, plus a quarter and one as headroom.
func (a *accountCaps) demand(name template.Account) int {
	const headroomDivisor = 4
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.capFor(name)
	return c.admitted + c.waiting + (c.admitted+c.waiting)/headroomDivisor + 1
}

func (a *accountCaps) admitted(name template.Account) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.capFor(name).admitted
}

func (a *accountCaps) counts(name template.Account) accountCap {
	a.mu.Lock()
	defer a.mu.Unlock()
	return *a.capFor(name)
}
