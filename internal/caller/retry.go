package caller

import (
	"sync"
	"time"
)

// RetryBudget is a token bucket that bounds the rate of retries, so that
// retries do not amplify an outage. The exported fields are set before use.
type RetryBudget struct {
	// PerSecond is the refill rate.
	PerSecond float64
	// Burst is the capacity.
	Burst float64

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

// Take consumes one retry and reports whether one was available.
func (b *RetryBudget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.refilledAt.IsZero() {
		b.refilledAt = now
		b.tokens = b.Burst
	}
	b.tokens = min(b.Burst, b.tokens+now.Sub(b.refilledAt).Seconds()*b.PerSecond)
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Available returns the number of retries left after the last call of Take.
func (b *RetryBudget) Available() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.refilledAt.IsZero() {
		return b.Burst
	}
	return b.tokens
}
