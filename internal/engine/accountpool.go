package engine

import (
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// A connection belongs to one account. Where there are more accounts than connections,
// an account that needs one takes the place of an idle connection of another account.
const (
	// openingShare is the part of an endpoint's slots that may open connections for
	// accounts at a time. Opening one takes a slot as long as a short statement does.
	openingShare = 0.5
	// handoverWait is how long a request waits for a connection of its own account to be
	// released while others take those of theirs. It is about the time in which a
	// connection is opened.
	handoverWait = 20 * time.Millisecond
)

// maxOpening returns how many connections may be opened for accounts at a time.
func (p *pool) maxOpening() int { return max(int(float64(p.member.Slots)*openingShare), 1) }

// reserveOpening reports whether a connection may be opened for an account now, and if so
// counts it. If the pool is at its limit, or the endpoint has none left, the idle connection
// that was used longest ago is closed to make room.
func (p *pool) reserveOpening(a session.Account) bool {
	if a != noAccount && p.opening >= p.maxOpening() {
		return false
	}
	// Without an account, only connections of accounts are closed: an idle one would have been used.
	mayEvict := a != noAccount || p.hasAccounts()
	if !p.canOpen() && !(mayEvict && p.evictIdle()) {
		return false
	}
	p.open++
	if a != noAccount {
		p.opening++
	}
	return true
}

// hasAccounts reports whether the pool has an idle connection of an account.
func (p *pool) hasAccounts() bool { return len(p.idle) > 0 && p.idle[0].account != noAccount }

// evictIdle closes the idle connection that was used longest ago. It returns false if none
// is idle.
func (p *pool) evictIdle() bool {
	if p.closed || len(p.idle) == 0 {
		return false
	}
	p.removeIdle(0).Close()
	p.open--
	p.evicted++
	return true
}

// endOpening ends the opening of a connection for an account, and lets waiting requests open
// the next ones.
func (p *pool) endOpening(a session.Account) {
	if a == noAccount {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	p.grantOpenings()
}

// grantOpenings lets waiting requests open connections, those of accounts as many as may be
// opened at a time. Where accounts are in use, a request without one can't use the connections
// that become idle either.
func (p *pool) grantOpenings() {
	accounts := p.fair != nil && p.fair()
	for w := p.firstWaiter(); w != nil && (accounts || w.account != noAccount) && p.reserveOpening(w.account); w = p.firstWaiter() {
		p.serve(w, grant{mayDial: true})
	}
}

// nextWaiter returns the request that gets a released connection of an account, or nil if the
// connection is to make room for another account.
func (p *pool) nextWaiter(a session.Account) *waiter {
	first := p.firstWaiter()
	if first == nil || first.account == a {
		return first
	}
	if p.now().Sub(first.since) >= handoverWait && p.opening < p.maxOpening() {
		return nil
	}
	if it := p.waitQueue().NextOf(a, p.now(), connectionCost); it != nil {
		return it.Value
	}
	return nil
}
