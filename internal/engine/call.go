package engine

import (
	"errors"
	"fmt"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// Want is the session state that requests run under.
type Want struct {
	Values map[string]string
	// Shape is that of the prepared statement among the requests, if any.
	Shape *Shape
}

// Call is some requests to one endpoint, which run one after the other until
// one of them is not done.
type Call struct {
	// Until bounds the wait before the first request is sent, Deadline the answers.
	Until, Deadline time.Time
	// Class orders those who wait, the lowest first.
	Class int
	Want  Want
	// Proof asks for a proof that the endpoint leads its group, from whoever holds
	// the connection, before the first request is sent.
	Proof bool
	// Fresh, if set, leaves the position that the endpoint must have for the first
	// request to whoever holds the connection.
	Fresh *Fresh
	// AnyState marks requests that do not depend on a session's state.
	AnyState bool
	Ops      []Op
}

// Fresh is how old a read may be, at the time when its call arrives, and what its
// session has seen.
type Fresh struct {
	MaxAge time.Duration
	Seen   session.Point
}

// notSent marks an error of a call of which the endpoint got no request.
type notSent struct{ err error }

// Error says why nothing was sent.
func (e *notSent) Error() string { return e.err.Error() }

// Unwrap returns why nothing was sent.
func (e *notSent) Unwrap() error { return e.err }

// NotSent marks an error: the endpoint got none of the call's requests.
func NotSent(err error) error { return &notSent{err} }

// Sent reports whether the endpoint may have got a request of a call that
// failed.
func Sent(err error) bool {
	var e *notSent
	return err != nil && !errors.As(err, &e)
}

// Run brings the connection to the state that the call wants and runs its
// requests. It returns the outcomes of those that ran; the last one may be a
// refusal. After an error the connection must not be used again, unless the
// error says that nothing was sent.
func (c *Conn) Run(call Call) ([]Outcome, error) {
	if c.Far != nil {
		return c.Far(call)
	}
	if c.gate != nil && !call.AnyState && !call.endsWrites() {
		if err := c.gate.enter(call.Until, call.Class); err != nil {
			return nil, NotSent(err)
		}
		began := c.gate.now()
		out, err := c.run(call)
		c.gate.leave(c.gate.now().Sub(began), len(out) > 0 && out[len(out)-1].Code == Busy)
		return out, err
	}
	return c.run(call)
}

// endsWrites reports whether the call waits for replicas: it does not hold one
// of the endpoint's slots meanwhile.
func (c Call) endsWrites() bool { return len(c.Ops) > 0 && c.Ops[len(c.Ops)-1].Commits }

func (c *Conn) run(call Call) ([]Outcome, error) {
	if !call.AnyState {
		if err := c.prepareFor(call); err != nil {
			return nil, err
		}
	}
	var all []Outcome
	for _, op := range call.Ops {
		if op.Kind == OpExecute {
			op.Name = c.prepared[op.Shape]
		}
		out, err := c.do(call.Deadline, op)
		all = append(all, out...)
		if err != nil {
			return all, err
		}
		if o := out[0]; o.Code != Done {
			c.broken = c.broken || o.Code == NoStatement
			return all, nil
		}
	}
	return all, nil
}

// prepareFor brings the connection to the state that a call wants.
func (c *Conn) prepareFor(call Call) error {
	setup := c.setup(call.Want.Values, call.Want.Shape)
	if len(setup) == 0 {
		return nil
	}
	out, err := c.do(call.Deadline, setup...)
	if err != nil {
		return NotSent(err)
	}
	for i, o := range out {
		if o.Code != Done {
			c.broken = true
			return NotSent(fmt.Errorf("%w: %s", errSetup, o.Code))
		}
		c.learned(setup[i])
	}
	return nil
}

// do sends requests at once and marks the connection broken on an error.
func (c *Conn) do(deadline time.Time, ops ...Op) ([]Outcome, error) {
	out, err := c.Do(deadline, ops...)
	if n := len(out); n > 0 {
		c.state = out[n-1].State
	}
	if err != nil {
		c.broken = true
	}
	return out, err
}

// perform runs a call at a member and notes what its answers tell of the member
// and of its group.
func (e *Engine) perform(g *group, m replicaset.Member, c *Conn, call Call) ([]Outcome, error) {
	sentAt := e.Boot()
	g.Began(sentAt, m.ID)
	out, err := c.Run(call)
	now := e.Boot()
	e.noteCommit(g, call, out, err)
	if err != nil {
		switch {
		case errors.Is(err, errOverloaded):
			g.Skipped(now, m.ID)
			g.Overloaded(now, m.ID)
		case notTried(err):
			g.Skipped(now, m.ID)
		default:
			g.Ended(now, m.ID, now.Sub(sentAt), false, session.Point{})
		}
		return out, err
	}
	if len(out) == 0 {
		g.Ended(now, m.ID, now.Sub(sentAt), true, session.Point{})
		return out, nil
	}
	o := out[len(out)-1]
	g.Ended(now, m.ID, now.Sub(sentAt), true, o.Point)
	e.sample(g, m, sentAt, o.Point)
	switch o.Code {
	case Behind:
		g.Behind(now, m.ID, call.needed(g, now))
	case Busy:
		g.Overloaded(now, m.ID)
	}
	return out, nil
}

// needed is the position that the endpoint was to have.
func (c Call) needed(g *group, now replicaset.Instant) session.Point {
	if c.Fresh == nil {
		return c.Ops[0].After
	}
	need, _ := g.Need(now, c.Fresh.MaxAge, c.Fresh.Seen)
	return need
}

// noteCommit notes whether a call that ends writes was answered.
func (e *Engine) noteCommit(g *group, call Call, out []Outcome, err error) {
	switch {
	case !call.endsWrites():
	case Sent(err):
		g.Committed(e.Boot(), false)
	case err == nil && len(out) == len(call.Ops) && !out[len(out)-1].Code.notRun():
		g.Committed(e.Boot(), true)
	}
}

// notTried reports whether a call failed for want of a connection or of time, or
// because the endpoint refused a connection: it says nothing against the endpoint.
func notTried(err error) bool {
	var refused *DialError
	return errors.Is(err, errNoProof) || errors.Is(err, errNoPosition) || errors.Is(err, errOverloaded) || errors.Is(err, errFull) || errors.Is(err, errNoConnection) ||
		errors.Is(err, ErrLenderAway) || errors.As(err, &refused)
}
