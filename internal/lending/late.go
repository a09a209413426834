package lending

import (
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
)

// clockDrift is how far the clocks of two hosts may drift apart, as a fraction.
const clockDrift = 200e-6

// transit estimates how long requests of a link are on their way, beyond what the fastest of them
// took, from the time of sending on the borrower's clock. The link may be congested, or this host
// may have been frozen.
type transit struct {
	known bool
	// least is the least difference of the two clocks that a request has shown, at notedAt.
	least   time.Duration
	notedAt replicaset.Instant
}

// late returns how late a request is that arrives now.
func (t *transit) late(now, sentAt replicaset.Instant) time.Duration {
	difference := now.Sub(sentAt)
	t.least += time.Duration(clockDrift * float64(now.Sub(t.notedAt)))
	if !t.known || difference < t.least {
		t.known, t.least = true, difference
	}
	t.notedAt = now
	return difference - t.least
}

// setSendBy sets the time on this host's clock by which a request has to be sent to the endpoint.
func (b *borrowerLink) setSendBy(q *request) {
	if q.SendByMS <= 0 {
		return
	}
	now := b.lender.Engine.BootTime()
	left := time.Duration(q.SendByMS)*time.Millisecond - b.transit.late(now, replicaset.Instant(time.Duration(q.SentMS)*time.Millisecond))
	// 0 would mean no limit.
	q.sendBy = max(now.Add(left), 1)
}
