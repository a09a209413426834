package caller

import (
	"sync"
	"time"
)

// RetryBudget bounds retries to a rate, so that an outage is not multiplied.
// The exported fields are set before use.
type RetryBudget struct {
	// PerSecond is the rate at which the budget fills.
	PerSecond float64
	// Burst is the most that it holds.
	Burst float64

	mu    sync.Mutex
	have  float64
	since time.Time
}

// Take uses one retry of the budget, if there is one.
func (b *RetryBudget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.since.IsZero() {
		b.since = now
		b.have = b.Burst
	}
	b.have = min(b.Burst, b.have+now.Sub(b.since).Seconds()*b.PerSecond)
	b.since = now
	if b.have < 1 {
		return false
	}
	b.have--
	return true
}

// Left returns how many retries the budget holds.
func (b *RetryBudget) Left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.since.IsZero() {
		return b.Burst
	}
	return b.have
}
