package lending

import (
	"fmt"
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// accountRequest is the form of a request on links of hosts that use accounts.
type accountRequest struct {
	_        struct{} `cbor:",toarray"`
	Request  request
	Account  session.Account
	SendByMS int64
	Limits   *limitsRequest
	TargetMS int64
	Weight   float64
	SentMS   int64
}

// accountResponse is the form of a response on links of hosts that use accounts.
type accountResponse struct {
	_        struct{} `cbor:",toarray"`
	Response response
	Limits   *limitsResponse
}

// maxWeight is the maximum weight of an account in a request.
const maxWeight = 1000

// check validates what a request has on links of hosts that use accounts.
func (a accountRequest) check() error {
	if len(a.Account) > maxAccountName {
		return fmt.Errorf("%w: account name of %d bytes", errMalformed, len(a.Account))
	}
	if a.SendByMS < 0 || a.SendByMS > maxCallTime.Milliseconds() {
		return fmt.Errorf("%w: %d ms to send the call", errMalformed, a.SendByMS)
	}
	if a.SentMS < 0 || a.SentMS > maxMS {
		return fmt.Errorf("%w: sent at %d ms", errMalformed, a.SentMS)
	}
	return a.checkSchedule()
}

// checkSchedule validates the target and the weight of a request.
func (a accountRequest) checkSchedule() error {
	if a.TargetMS < -maxCallTime.Milliseconds() || a.TargetMS > maxCallTime.Milliseconds() {
		return fmt.Errorf("%w: %d ms to the target latency", errMalformed, a.TargetMS)
	}
	// The condition is false for NaN, too.
	if a.Weight >= 0 && a.Weight <= maxWeight {
		return nil
	}
	return fmt.Errorf("%w: weight %g", errMalformed, a.Weight)
}

// remainingTarget returns the time left until a target in ms, within the bounds of a request.
func remainingTarget(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	limit := maxCallTime.Milliseconds()
	if ms := min(max(millis(time.Until(t)), -limit), limit); ms != 0 {
		return ms
	}
	return -1
}

// targetBy returns the target of a request, zero if it has none.
func targetBy(now time.Time, ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(ms) * time.Millisecond)
}
