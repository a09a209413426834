package ratelimit

import (
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// VerdictKind says what to do with an operation.
type VerdictKind int

const (
	// Allowed means that the operation must be sent before Until.
	Allowed VerdictKind = iota
	// Unknown means that the operation must wait and Retry after the next Receive, or after RetryAfter if that
	// is not 0, for at most WaitLimit.
	Unknown
	// Exceeded means that the operation must be refused, with RetryAfter.
	Exceeded
)

// Verdict is the result of Take and Retry.
type Verdict struct {
	Kind VerdictKind
	// Until is 0 if the account is not limited.
	Until, RetryAfter time.Duration
}

// Spender decides at one host which operations may be sent. Its exported fields are set before use.
type Spender struct {
	Bounds      Bounds
	Host        string
	Incarnation Incarnation
}

// SetLimits replaces the limits.
func (s *Spender) SetLimits(limits map[session.Account]Limit) {}

// Take decides about a new operation. If it returns Unknown, the operation counts as waiting until Retry returns
// another verdict or Abandon is called.
func (s *Spender) Take(now time.Duration, a session.Account) Verdict { return Verdict{} }

// Retry decides about a waiting operation.
func (s *Spender) Retry(now time.Duration, a session.Account) Verdict { return Verdict{} }

// Abandon ends the wait of an operation without a verdict and returns the time after which the client may retry.
// refused is false if the client has gone.
func (s *Spender) Abandon(now time.Duration, a session.Account, refused bool) time.Duration { return 0 }

// WaitLimit returns how long an operation that begins to wait now should wait before it is refused.
func (s *Spender) WaitLimit(now time.Duration, a session.Account) time.Duration { return 0 }

// Request returns the message to send to the granting host, and whether one is due.
func (s *Spender) Request(now time.Duration) (Request, bool) { return Request{}, false }

// Receive processes a response to the request sent at sentAt. Afterwards every waiting operation must Retry.
func (s *Spender) Receive(now, sentAt time.Duration, r Response) {}

// NextRequest returns the time at which Request is due if there is no further demand.
func (s *Spender) NextRequest(now time.Duration) time.Duration { return 0 }

// Stats returns the counters.
func (s *Spender) Stats(now time.Duration) SpenderStats { return SpenderStats{} }
