// Package ratelimit decides how many operations each client account may send, across all entry hosts. It does
// no I/O and has no clock, goroutines or randomness; times are passed in as durations since boot, from a clock
// that includes suspended time. Nothing in it is safe for concurrent use.
//
// One entry host, which holds a lease, runs a Granter with a token bucket for each account. Every host runs a
// Spender, which requests tokens, and generates some itself while the granting host does not answer.
package ratelimit

import (
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// skewMargin covers the time by which charging a silent host may start after that host's fallback.
	skewMargin = 100 * time.Millisecond
	// silenceLimit is the time without an answer after which a host generates tokens itself, and the time
	// without a confirmed answer after which the granting host charges for that.
	silenceLimit = 600 * time.Millisecond
	// FallbackTime is how long a host may use its fallback rates, counted from the sending of its last answered
	// request. It does not end with the lease, so that the lease can be shorter than the failures that the fallback
	// bridges.
	FallbackTime = 12 * time.Second
	// fallbackPart is the part of an account's rate that all hosts together may generate without the granting
	// host. The rest is what a granting host may grant while fallback rates of a former epoch are in use. It covers
	// the usual use of 40% of the limit either way.
	fallbackPart = 0.5
)

// Limit is the rate limit of an account.
type Limit struct {
	// Rate is in operations per second, Burst in operations.
	Rate, Burst float64
}

// Limits holds the limits by account. An account without an entry is not limited.
type Limits map[session.Account]Limit

// Bounds says by how much an account may exceed its limit in a window: the operations sent in it are at most
// (rate x Window + burst) x (1 + Overage) + Slack.
type Bounds struct {
	Window         time.Duration
	Overage, Slack float64
}

// DefaultBounds returns the bounds of the contract.
func DefaultBounds() Bounds {
	return Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
}

// Allowed returns the most operations that may be sent in any window under limit l.
func (b Bounds) Allowed(l Limit) float64 {
	return (l.Rate*b.Window.Seconds()+l.Burst)*(1+b.Overage) + b.Slack
}

// Validity returns how long a token may be used, counted from the sending of the request for it.
func (b Bounds) Validity(l Limit) time.Duration { return b.plan(l).validity }

// StartInterval returns the least time between two terms that start with filled buckets.
func (b Bounds) StartInterval() time.Duration { return b.Window + maxValidity + time.Second }

// depth returns the size of the token bucket. A bucket that never holds a whole token would admit nothing.
func (l Limit) depth() float64 {
	if l.Rate > 0 {
		return max(l.Burst, 1)
	}
	return l.Burst
}

// blocked reports whether the limit admits nothing.
func (l Limit) blocked() bool {
	return l.Rate <= 0 && l.Burst < 1
}
