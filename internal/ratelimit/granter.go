package ratelimit

import (
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// Recovery says how a granter takes over.
type Recovery struct {
	// Epoch must be above all former ones.
	Epoch Epoch
	// ReducedUntil is the end of the lease of this host's former process, or 0 if another host held the lease
	// before and it has expired.
	ReducedUntil time.Duration
}

// Granter grants tokens to the hosts. Its exported fields are set before use.
type Granter struct {
	Bounds Bounds
}

// Start takes over granting, with empty buckets.
func (g *Granter) Start(now time.Duration, recovery Recovery) {}

// SetLimits replaces the limits.
func (g *Granter) SetLimits(now time.Duration, limits map[session.Account]Limit) {}

// Grant answers a request. The response must not be sent if its epoch is 0: the lease has ended at leaseEnd, the
// request is late or repeated, or its host knows a later epoch.
func (g *Granter) Grant(now, leaseEnd time.Duration, r Request) Response { return Response{} }

// Stats returns the counters.
func (g *Granter) Stats() GranterStats { return GranterStats{} }

// Busiest returns the n accounts with the most use, and the use of all others.
func (g *Granter) Busiest(n int) ([]Usage, float64) { return nil, 0 }
