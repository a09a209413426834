package caller

import (
	"context"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/pkg/result"
)

// refusalSQLStates are the SQLSTATEs of a statement that was refused before
// it had any lasting effect: read_only_sql_transaction, admin_shutdown,
// cannot_connect_now and too_many_connections.
var refusalSQLStates = []string{sqlReadOnly, "57P01", "57P03", "53300"}

func (resp *response) refused() bool {
	for _, s := range refusalSQLStates {
		if resp.sqlState == s {
			return true
		}
	}
	return false
}

// runWrite runs a statement on the primary. It is retried only if the
// endpoint refused it without running it.
func (c *callerSession) runWrite(ctx context.Context, b *batch) error {
	for {
		pc, err := c.acquirePrimary(ctx)
		if err != nil {
			return err
		}
		resp, err := c.exchange(pc.conn, b, false)
		if err != nil {
			pc.release(nil)
			return result.New(result.OutcomeUnknown, "the primary was lost before it answered: %w", err)
		}
		if resp.status == 'T' || resp.status == 'E' {
			c.tx = &transaction{pooled: pc, status: resp.status}
			return c.sendResponse(resp)
		}
		pc.release(resp)
		if resp.refused() && !resp.complete {
			if c.backOff(ctx) {
				continue
			}
			return result.New(result.EndpointRefused, "the primary refused the statement (%s)", resp.sqlState)
		}
		return c.acknowledge(ctx, resp)
	}
}

// acknowledge sends the primary's response once no failover can lose the data
// it shows.
func (c *callerSession) acknowledge(ctx context.Context, resp *response) error {
	if !resp.hasPoint {
		return result.New(result.AckMissing, "the primary reported no position")
	}
	// AckWait bounds this wait. StatementWait must not cut it short.
	switch c.awaitDurability(context.WithoutCancel(ctx), resp) {
	case core.Safe:
		c.params.token.Observe(c.groupName, resp.point)
		c.lastAcked = resp.point
		return c.sendResponse(resp)
	case core.Lost:
		return result.New(result.AckMissing, "the write at %s was lost with its primary", resp.point)
	}
	return result.New(result.AckMissing, "the write at %s was not confirmed by a majority in time", resp.point)
}
