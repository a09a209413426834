package caller

import (
	"context"
	"slices"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/pkg/result"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// ReadPolicy varies where reads go. The zero value is the product's own.
type ReadPolicy struct {
	// PrimaryOnly sends every read to the primary.
	PrimaryOnly bool
	// AnyReplica sends reads to replicas without looking at token and age.
	AnyReplica bool
}

// sqlReadOnly is the code with which a replica refuses a write.
const sqlReadOnly = "25006"

// read serves a statement that is taken for a read: from the nearest replica
// that holds what the session has seen and is fresh enough, else from the
// primary, else not at all.
func (c *callerSession) read(ctx context.Context, b *batch, o *Outcome) error {
	r := core.ReadRequest{Need: c.params.token.Point(c.groupName), MaxAge: c.maxAge()}
	if c.srv.Reads.PrimaryOnly {
		return c.write(ctx, b)
	}
	if c.srv.Reads.AnyReplica {
		r.Need, r.MaxAge = session.Point{}, time.Hour
	}
	for {
		choice, err := c.group.RouteRead(ctx, r, c.srv.ReadWait)
		o.Lawful = o.Lawful || choice.Lawful
		if err != nil {
			return err
		}
		if !choice.Replica {
			return c.write(ctx, b)
		}
		done, err := c.readReplica(ctx, b, r, choice, o)
		if done || err != nil {
			return err
		}
		if slices.Contains(r.Avoid, choice.Member) && !c.pause(ctx) {
			return result.New(result.NoFreshMember, "no endpoint of %s answers", c.groupName)
		}
		r.Avoid = append(r.Avoid, choice.Member)
	}
}

// readReplica tries one replica; it reports false when another endpoint is to
// be tried. Nothing that a replica runs has an effect, so a repeat is safe.
func (c *callerSession) readReplica(ctx context.Context, b *batch, r core.ReadRequest, choice core.Choice, o *Outcome) (bool, error) {
	l, err := c.lend(ctx, choice.Member, core.ClassRead)
	if err != nil {
		if result.CodeOf(err) == result.EndpointRefused {
			return false, nil
		}
		return false, err
	}
	a, err := c.exchange(l.conn, b, true)
	l.giveBack(a)
	if err != nil {
		return c.readBroken(err)
	}
	if a.streamed {
		return c.finishRead(ctx, a, r, o)
	}
	if a.sqlState == sqlReadOnly {
		return true, c.write(ctx, b)
	}
	if a.sqlState == "57P01" || a.sqlState == "40001" {
		return false, nil
	}
	return c.finishRead(ctx, a, r, o)
}

func (c *callerSession) readBroken(err error) (bool, error) {
	if err == errHangUp {
		return false, err
	}
	if !c.srv.Retries.Take(c.srv.Clock.Now()) {
		return false, result.New(result.EndpointRefused, "the replica was lost: %w", err)
	}
	return false, nil
}

// finishRead checks what the replica says it has read before the answer is
// complete, and passes it on.
func (c *callerSession) finishRead(ctx context.Context, a *answer, r core.ReadRequest, o *Outcome) (bool, error) {
	if !c.srv.Reads.AnyReplica {
		ok := a.hasPoint && c.group.Sees(a.point, r.Need) && c.settled(ctx, a) == core.Safe
		if !ok && !a.streamed {
			return false, nil
		}
		if !ok {
			return false, errHangUp
		}
	}
	if a.hasPoint {
		c.params.token.Observe(c.groupName, a.point)
	}
	o.Replica = true
	return true, c.deliver(a)
}
