package engine

import (
	"errors"
	"fmt"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// SessionState is the session state that a call's requests need on the connection.
type SessionState struct {
	Values map[string]string
	// Body is the body of the prepared statement that the requests execute, if
	// any.
	Body *PreparedBody
}

// Call is a sequence of requests to one endpoint. They run one after the other
// until one does not end with Done.
type Call struct {
	// QueueDeadline bounds the wait before the first request is sent, Deadline the wait
	// for the answers.
	QueueDeadline, Deadline time.Time
	// Class is the priority class in queues. Lower classes go first.
	Class        int
	SessionState SessionState
	// Proof requires a proof that the endpoint leads its group. The host that
	// holds the connection obtains it before it sends the first request.
	Proof bool
	// Freshness, if set, tells the host that holds the connection to choose the log
	// position that the endpoint must have reached for the first request.
	Freshness *Freshness
	// Account is the account that the call runs for. The connection has to be one of its own.
	Account session.Account
	// SendBy is when the first request has to be sent, 0 for no limit. It bounds how many
	// operations of an account run in a window of its limit.
	SendBy replicaset.Instant
	// TargetBy is when the call has to be answered to meet its target latency, zero for no
	// target. Weight is its account's share of an endpoint relative to other accounts, 0 for
	// the usual one.
	TargetBy time.Time
	Weight   float64
	// AnyState marks requests that do not depend on session state.
	AnyState bool
	// Begin, if set, is called before the first request is sent. The call is not sent if it
	// returns false.
	Begin func() bool
	// Withdrawn, if set, is closed when the caller does not wait for the call any more. A lending
	// host then says whether it has sent the call, and does not send it from then on.
	Withdrawn <-chan struct{}
	Ops       []Op
}

// Freshness is the staleness bound of a read, measured when its call arrives, and
// the log position that its session has seen.
type Freshness struct {
	MaxAge time.Duration
	Seen   session.Point
}

// notSent wraps the error of a call of which the endpoint received no request.
type notSent struct{ err error }

// Error returns the text of the wrapped error.
func (e *notSent) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *notSent) Unwrap() error { return e.err }

// NotSent marks an error to say that the endpoint received none of the call's
// requests.
func NotSent(err error) error { return &notSent{err} }

// Sent reports whether the endpoint may have received a request of a call that
// failed with err.
func Sent(err error) bool {
	var e *notSent
	return err != nil && !errors.As(err, &e)
}

// Run gives the connection the session state that the call needs and runs its
// requests. It returns the outcomes of those that ran; the last one may be a
// refusal. After an error that is not marked by NotSent, the connection must not
// be used again.
func (c *Conn) Run(call Call) ([]Outcome, error) {
	if c.RunRemote != nil {
		if call.givenUp() {
			return nil, NotSent(errGivenUp)
		}
		return c.RunRemote(call)
	}
	if c.gate != nil && !call.AnyState && c.gate.admits(call) {
		return c.runAdmitted(call)
	}
	if c.tooLate(call) {
		return nil, NotSent(errSendByPassed)
	}
	return c.run(call)
}

// runAdmitted runs a call after the endpoint's gate has admitted it.
func (c *Conn) runAdmitted(call Call) ([]Outcome, error) {
	r := queued{class: call.Class, account: c.account, weight: call.Weight, targetBy: call.TargetBy}
	if err := c.gate.enter(call.QueueDeadline, r); err != nil {
		return nil, NotSent(err)
	}
	if c.tooLate(call) {
		c.gate.cancel()
		return nil, NotSent(errSendByPassed)
	}
	a := answer{commits: call.commitsWrites()}
	if a.commits {
		a.place = c.gate.freeWhenDone()
	}
	began := c.gate.now()
	out, err := c.run(call)
	a.took, a.shed, a.failed = c.gate.now().Sub(began), len(out) > 0 && out[len(out)-1].Code == Busy, err != nil && !notAttempted(err)
	c.gate.end(r, a)
	return out, err
}

// tooLate reports whether the time by which a call has to be sent has passed.
func (c *Conn) tooLate(call Call) bool {
	return call.SendBy != 0 && c.bootTime != nil && c.bootTime() > call.SendBy
}

// givenUp reports whether the call must not be sent any more.
func (c Call) givenUp() bool { return c.Begin != nil && !c.Begin() }

// commitsWrites reports whether the call ends with a commit of writes. While such a
// call waits for replicas, it occupies no slot of the endpoint.
func (c Call) commitsWrites() bool { return len(c.Ops) > 0 && c.Ops[len(c.Ops)-1].Commits }

func (c *Conn) run(call Call) ([]Outcome, error) {
	if !call.AnyState {
		if err := c.applyState(call); err != nil {
			return nil, err
		}
		// The requests that set up the connection may have taken the time that was left.
		if c.tooLate(call) {
			return nil, NotSent(errSendByPassed)
		}
	}
	if call.givenUp() {
		return nil, NotSent(errGivenUp)
	}
	var all []Outcome
	for _, op := range call.Ops {
		if op.Kind == OpExecute {
			op.Name = c.prepared[op.Body]
		}
		idle := c.state == Idle
		out, err := c.send(call.Deadline, op)
		all = append(all, out...)
		if err != nil {
			return all, err
		}
		if idle && c.state != Idle && op.Kind != OpBegin && op.Kind != OpBeginRead {
			c.broken = true
			return all, errStrayTransaction
		}
		if o := out[0]; o.Code != Done {
			c.broken = c.broken || o.Code == NoStatement
			return all, nil
		}
	}
	return all, nil
}

// applyState gives the connection the session state that a call needs.
func (c *Conn) applyState(call Call) error {
	setup := c.setupOps(call.SessionState.Values, call.SessionState.Body)
	if len(setup) == 0 {
		return nil
	}
	out, err := c.send(call.Deadline, setup...)
	if err != nil {
		return NotSent(err)
	}
	for i, o := range out {
		if o.Code != Done {
			c.broken = true
			return NotSent(fmt.Errorf("%w: %s", errSetup, o.Code))
		}
		c.noteSetup(setup[i])
	}
	return nil
}

// send sends requests in one batch. An error marks the connection broken.
func (c *Conn) send(deadline time.Time, ops ...Op) ([]Outcome, error) {
	out, err := c.Do(deadline, ops...)
	if n := len(out); n > 0 {
		c.state = out[n-1].State
	}
	if err != nil {
		c.broken = true
	}
	return out, err
}

// perform runs a call at a member and records what the answers reveal about the
// member and its group.
func (e *Engine) perform(g *group, m replicaset.Member, c *Conn, call Call) ([]Outcome, error) {
	sentAt := e.BootTime()
	g.StatementStarted(sentAt, m.ID)
	out, err := e.runConfirmed(g, m, c, call)
	now := e.BootTime()
	e.noteCommit(g, call, out, err)
	if err != nil {
		switch {
		case errors.Is(err, errOverloaded):
			g.StatementNotSent(now, m.ID)
			g.RecordOverload(now, m.ID)
		case notAttempted(err):
			g.StatementNotSent(now, m.ID)
		case errors.Is(err, ErrOutOfStep):
			// The endpoint has answered.
			g.StatementEnded(now, m.ID, now.Sub(sentAt), true, session.Point{})
		default:
			g.StatementEnded(now, m.ID, now.Sub(sentAt), false, session.Point{})
		}
		return out, err
	}
	if len(out) == 0 {
		g.StatementEnded(now, m.ID, now.Sub(sentAt), true, session.Point{})
		return out, nil
	}
	o := out[len(out)-1]
	g.StatementEnded(now, m.ID, now.Sub(sentAt), true, o.Point)
	if o.Code == Done && o.Digest != "" {
		// Any other answer may be a copy of an earlier one, with a position of before.
		e.recordSample(g, m, sentAt, o.Point)
	}
	switch o.Code {
	case Behind:
		g.RecordBehind(now, m.ID, call.minPosition(g, now))
	case Busy:
		g.RecordOverload(now, m.ID)
	}
	return out, nil
}

// recordSample records the log position of the primary if the member was proved
// to lead when the request was sent.
func (e *Engine) recordSample(g *group, m replicaset.Member, sentAt replicaset.Instant, p session.Point) {
	if p != (session.Point{}) && g.Lead().ID == m.ID && g.HasProof(sentAt, ProofTime) {
		g.Sample(m.ID, sentAt, p)
	}
}

// minPosition returns the log position that the call required of the endpoint.
func (c Call) minPosition(g *group, now replicaset.Instant) session.Point {
	if c.Freshness == nil {
		return c.Ops[0].MinPosition
	}
	need, _ := g.RequiredPoint(now, c.Freshness.MaxAge, c.Freshness.Seen)
	return need
}

// noteCommit records whether a call that commits writes was answered.
func (e *Engine) noteCommit(g *group, call Call, out []Outcome, err error) {
	switch {
	case !call.commitsWrites():
	case Sent(err):
		g.RecordCommitAnswer(e.BootTime(), false)
	case err == nil && len(out) == len(call.Ops) && !out[len(out)-1].Code.notRun():
		g.RecordCommitAnswer(e.BootTime(), true)
	}
}

// notAttempted reports whether a call failed before it was tried, for lack of a
// connection, a proof, a position or time, because the endpoint refused a
// connection, or because of the account's limit. Such an error does not indicate a fault of the endpoint.
func notAttempted(err error) bool {
	var refused *DialError
	return errors.Is(err, errNoProof) || errors.Is(err, errNoPosition) || errors.Is(err, errOverloaded) || errors.Is(err, errSendByPassed) || errors.Is(err, errGivenUp) || errors.Is(err, errFull) || errors.Is(err, errNoConnection) ||
		errors.Is(err, ErrLenderUnavailable) || errors.As(err, &refused) || limitReached(err)
}
