package caller

import (
	"context"
	"slices"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/pkg/result"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// ReadPolicy selects the endpoints for reads. The zero value is the default:
// a replica that satisfies the session token and the staleness bound, else
// the primary.
type ReadPolicy struct {
	// PrimaryOnly sends every read to the primary.
	PrimaryOnly bool
	// AnyReplica ignores the session token, relaxes the staleness bound to
	// one hour and sends reads to any replica within it.
	AnyReplica bool
}

// sqlReadOnly is the SQLSTATE with which a replica refuses a write.
const sqlReadOnly = "25006"

// runRead runs a statement classified as a read on the cheapest replica that
// includes the session's point and is fresh enough, else on the primary. If
// there is no such endpoint, the request fails.
func (c *callerSession) runRead(ctx context.Context, b *batch, o *Outcome) error {
	r := core.ReadRequest{Need: c.params.token.Point(c.groupName), MaxAge: c.maxAge()}
	if c.srv.Reads.PrimaryOnly {
		return c.runWrite(ctx, b)
	}
	if c.srv.Reads.AnyReplica {
		r.Need, r.MaxAge = session.Point{}, time.Hour
	}
	for {
		choice, err := c.group.RouteRead(ctx, r, c.srv.ReadWait)
		o.ReplicaEligible = o.ReplicaEligible || choice.ReplicaEligible
		if err != nil {
			return err
		}
		if !choice.Replica {
			return c.runWrite(ctx, b)
		}
		done, err := c.readFromReplica(ctx, b, r, choice, o)
		if done || err != nil {
			return err
		}
		if slices.Contains(r.Avoid, choice.Member) && !c.backOff(ctx) {
			return result.New(result.NoFreshMember, "no endpoint of %s answers", c.groupName)
		}
		r.Avoid = append(r.Avoid, choice.Member)
	}
}

// readFromReplica tries one replica. It reports false if another endpoint
// should be tried, which is safe because statements on a replica have no
// effects.
func (c *callerSession) readFromReplica(ctx context.Context, b *batch, r core.ReadRequest, choice core.Choice, o *Outcome) (bool, error) {
	pc, err := c.acquireConn(ctx, choice.Member, core.ClassRead)
	if err != nil {
		if result.CodeOf(err) == result.EndpointRefused {
			return false, nil
		}
		return false, err
	}
	resp, err := c.exchange(pc.conn, b, true)
	if err != nil {
		pc.release(nil)
		if resp != nil && resp.streamed && err != errDisconnect {
			return false, result.New(result.AnswerLost, "the replica was lost within its answer: %w", err)
		}
		return c.handleReadFailure(err)
	}
	pc.release(resp)
	if resp.streamed {
		return c.finishRead(ctx, resp, r, o)
	}
	if resp.sqlState == sqlReadOnly {
		return true, c.runWrite(ctx, b)
	}
	// Another endpoint may serve the read after admin_shutdown or
	// serialization_failure.
	if resp.sqlState == "57P01" || resp.sqlState == "40001" {
		return false, nil
	}
	return c.finishRead(ctx, resp, r, o)
}

// handleReadFailure decides whether a read that lost its replica is retried
// on another endpoint.
func (c *callerSession) handleReadFailure(err error) (bool, error) {
	if err == errDisconnect {
		return false, err
	}
	if !c.srv.Retries.Take(c.srv.Clock.Now()) {
		return false, result.New(result.EndpointRefused, "the replica was lost: %w", err)
	}
	return false, nil
}

// finishRead checks that the data read includes the required point and cannot
// be lost, then sends the response. If the check fails, the read is retried;
// a response that was partly sent cannot be, so its session is closed.
func (c *callerSession) finishRead(ctx context.Context, resp *response, r core.ReadRequest, o *Outcome) (bool, error) {
	if !c.srv.Reads.AnyReplica {
		ok := resp.hasPoint && c.group.ReadIncludes(resp.point, r.Need) && c.awaitDurability(ctx, resp) == core.Safe
		if !ok && !resp.streamed {
			return false, nil
		}
		if !ok {
			return false, errDisconnect
		}
	}
	if resp.hasPoint {
		c.params.token.Observe(c.groupName, resp.point)
	}
	o.Replica = true
	return true, c.sendResponse(resp)
}
