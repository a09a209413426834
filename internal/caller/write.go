package caller

import (
	"context"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/pkg/result"
)

// refusedStates are codes with which an endpoint refuses before it runs
// anything that lasts.
var refusedStates = []string{sqlReadOnly, "57P01", "57P03", "53300"}

func (a *answer) refused() bool {
	for _, s := range refusedStates {
		if a.sqlState == s {
			return true
		}
	}
	return false
}

// write runs a statement on the primary, once. It is sent again only when the
// endpoint said itself that it did not run it.
func (c *callerSession) write(ctx context.Context, b *batch) error {
	for {
		l, err := c.lendPrimary(ctx)
		if err != nil {
			return err
		}
		a, err := c.exchange(l.conn, b, false)
		if err != nil {
			l.giveBack(nil)
			return result.New(result.OutcomeUnknown, "the primary was lost before it answered: %w", err)
		}
		if a.status == 'T' || a.status == 'E' {
			c.tx = &transaction{lease: l, status: a.status}
			return c.deliver(a)
		}
		l.giveBack(a)
		if a.refused() && !a.complete {
			if c.pause(ctx) {
				continue
			}
			return result.New(result.EndpointRefused, "the primary refused the statement (%s)", a.sqlState)
		}
		return c.acknowledge(ctx, a)
	}
}

// acknowledge passes the primary's answer on when nothing that it shows can
// be lost by a promotion any more.
func (c *callerSession) acknowledge(ctx context.Context, a *answer) error {
	if !a.hasPoint {
		return result.New(result.AckMissing, "the primary reported no position")
	}
	// The wait for the acknowledgement has a bound of its own.
	switch c.settled(context.WithoutCancel(ctx), a) {
	case core.Safe:
		c.params.token.Observe(c.groupName, a.point)
		c.acked = a.point
		return c.deliver(a)
	case core.Lost:
		return result.New(result.AckMissing, "the write at %s was lost with its primary", a.point)
	}
	return result.New(result.AckMissing, "the write at %s was not confirmed by a majority in time", a.point)
}
