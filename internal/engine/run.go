package engine

import (
	"errors"
	"os"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// rollbackTimeout bounds the end of a transaction that its caller gave up.
	rollbackTimeout = time.Second
	// answerMargin is kept back from a statement's timeout for the answer's way.
	answerMargin = 20 * time.Millisecond
	// defaultTimeout limits a statement where nothing is declared.
	defaultTimeout = time.Second
	// attemptFloor is the least time that one attempt of a read gets.
	attemptFloor = 350 * time.Millisecond
	// attemptFactor is how many expected durations one attempt of a read gets.
	attemptFactor = 8
	// retryPause is the wait before the same members are tried again, doubled up
	// to longestPause: what is refused again and again must not take the time of
	// those that serve.
	retryPause   = 15 * time.Millisecond
	longestPause = 120 * time.Millisecond
	// minAttempt is the least time in which an attempt is worth its start.
	minAttempt = 10 * time.Millisecond
)

// The classes of those that wait, the first first: statements of transactions
// that hold a connection, writes, reads.
const (
	classOpen = iota
	classWrite
	classRead
)

// work is a statement with what the engine found out about it.
type work struct {
	Statement
	writes bool
	shape  *Shape
}

// op returns the request for an endpoint.
func (w work) op(after session.Point) Op {
	if w.shape != nil {
		return Op{Kind: OpExecute, ID: w.ID, Shape: *w.shape, Text: w.Args, After: after}
	}
	return Op{Kind: OpStatement, ID: w.ID, Text: w.Text, After: after}
}

// want is the session state that a statement runs under.
func (s *CallerSession) want(w work) Want { return Want{Values: s.values, Shape: w.shape} }

func (s *CallerSession) deadline(r Database) time.Time {
	limit := r.StatementTimeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	return s.e.Now().Add(limit - answerMargin)
}

// single runs one statement outside of a transaction.
func (s *CallerSession) single(w work) Outcome {
	deadline := s.deadline(s.route)
	g := s.e.group(s.route.Group)
	if w.writes {
		return s.singleWrite(g, w, deadline)
	}
	if s.route.Consistency == Latest {
		return s.latestRead(g, w, deadline)
	}
	return s.staleRead(g, w, deadline)
}

// attempt is one try of a statement at one member.
type attempt struct {
	g      *group
	member replicaset.Member
	after  session.Point
	// fresh, if set, leaves the position to the host that holds the connection.
	fresh *Fresh
	class int
	// until bounds the wait for a connection, deadline the answer.
	until, deadline time.Time
	// proof asks for a proof that the member leads, for a caller who came then.
	proof bool
	lead  replicaset.Lead
	came  replicaset.Instant
}

// call returns requests of the attempt under the session's state.
func (a attempt) call(want Want, ops ...Op) Call {
	return Call{Until: a.until, Deadline: a.deadline, Class: a.class, Proof: a.proof, Fresh: a.fresh, Want: want, Ops: ops}
}

// connect gets a connection for an attempt. Where the attempt needs a proof that
// the member leads, or a position, a host that lends the connection gives it.
func (s *CallerSession) connect(a *attempt, p *pool) (*Conn, error) {
	c, err := s.e.acquire(p, a.until, a.class, s.values)
	if err != nil || c.Far != nil {
		return c, err
	}
	if a.proof {
		err = s.e.prove(a.g, a.lead, a.came, c)
	}
	if err == nil && a.fresh != nil {
		a.after, err = s.e.positionFor(a.g, a.call(Want{}))
		a.fresh = nil
	}
	if err != nil {
		p.release(c)
	}
	return c, err
}

// at runs a statement on some connection of a member. sent tells whether the
// endpoint may have got it.
func (s *CallerSession) at(a attempt, w work) (o Outcome, sent bool, err error) {
	p := s.e.pool(a.g, a.member)
	c, err := s.connect(&a, p)
	if err != nil {
		s.e.failed(a.g, p, err)
		return refusal(err), false, err
	}
	defer p.release(c)
	op := w.op(a.after)
	op.Commits = w.writes
	out, err := s.e.perform(a.g, a.member, c, a.call(s.want(w), op))
	if err != nil {
		s.e.failed(a.g, p, err)
		return refusal(err), Sent(err), err
	}
	return out[0], true, nil
}

// sample keeps a position of the primary if it was known to lead then.
func (e *Engine) sample(g *group, m replicaset.Member, sentAt replicaset.Instant, p session.Point) {
	if p != (session.Point{}) && g.Lead().ID == m.ID && g.Proved(sentAt, ProofTime) {
		g.Sample(m.ID, sentAt, p)
	}
}

// failed notes a call that was not answered. A connection that broke takes the
// member's idle ones with it, which broke too or are silent like it. A member
// that is merely slow keeps them: to open others would take it still more time.
func (e *Engine) failed(g *group, p *pool, err error) {
	id := p.member.ID
	switch {
	case notTried(err):
		if errors.Is(err, errNoConnection) {
			// All connections are taken by those who use the endpoint: too much for it.
			g.Overloaded(e.Boot(), id)
		}
		e.event(Event{Group: g.Name, Endpoint: id, Decision: "no_connection", Reason: err.Error()})
		return
	case !errors.Is(err, os.ErrDeadlineExceeded) || g.Silent(e.Boot(), id):
		p.dropIdle()
	}
	g.Avoid(e.Boot(), id)
}

func refusal(err error) Outcome {
	var d *DialError
	if errors.As(err, &d) && d.Code.NothingKept() {
		return Outcome{Code: d.Code, Reason: err.Error()}
	}
	return Outcome{Code: Busy, Reason: err.Error()}
}

// staleRead runs a read that accepts some age at the best member that has what
// the read needs. Where all that have it are too busy, it is refused at once: it
// waits at the one that is expected to serve it, not from try to try.
func (s *CallerSession) staleRead(g *group, w work, deadline time.Time) Outcome {
	last := Outcome{Code: Busy, Reason: "no endpoint can serve the read"}
	tried := make(map[replicaset.EndpointID]bool)
	began := s.e.Boot()
	busy, ask := false, false
	for s.e.Now().Add(minAttempt).Before(deadline) {
		a, ok, known := s.replicaAttempt(g, s.route, tried, began, deadline, ask)
		if !known {
			return s.latestRead(g, w, deadline)
		}
		if !ok {
			if busy {
				break
			}
			clear(tried)
			s.pause(g, deadline)
			continue
		}
		m := a.member
		tried[m.ID] = true
		o, _, err := s.at(a, w)
		if errors.Is(err, errNoPosition) {
			// Whoever lends has none: this host asks itself from now on.
			delete(tried, m.ID)
			ask = true
			continue
		}
		if err == nil && !o.Code.notRun() && o.Code != Failed {
			return o
		}
		s.retried(w, m, o, err)
		busy = busy || errors.Is(err, errOverloaded) || err == nil && o.Code == Busy
		if err == nil || busy {
			last = o
		}
	}
	return s.giveUp(w, last)
}

// replicaAttempt chooses the member for a read that accepts some age, and the
// position that it must have. Where none is known, a host that lends the
// connection chooses the position, unless this one is to ask itself. It reports
// whether a member is left, and whether a position is to be had.
func (s *CallerSession) replicaAttempt(g *group, r Database, tried map[replicaset.EndpointID]bool, began replicaset.Instant, deadline time.Time, ask bool) (a attempt, ok, known bool) {
	f := s.fresh(g, r)
	need, known := g.Need(began, f.MaxAge, f.Seen)
	order, promising := g.ReadOrder(s.e.Boot(), need, tried)
	if !known && (ask || len(order) == 0 || !s.e.borrows(g, order[0])) {
		s.e.awaitPosition(g, deadline)
		if need, known = g.Need(began, f.MaxAge, f.Seen); !known {
			return attempt{}, false, false
		}
		order, promising = g.ReadOrder(s.e.Boot(), need, tried)
	}
	if len(order) == 0 {
		return attempt{}, false, true
	}
	a = s.readAttempt(g, order[0], deadline, promising > 1)
	a.after = need
	if !known {
		a.fresh = &f
	}
	return a, true, true
}

// fresh is what a route's reads of this session need.
func (s *CallerSession) fresh(g *group, r Database) Fresh {
	f := Fresh{MaxAge: r.MaxAge - ageMargin}
	if r.Consistency == Session {
		f.Seen = s.seen[g.Name]
	}
	return f
}

// readAttempt bounds one try of a read, so that another member can follow.
func (s *CallerSession) readAttempt(g *group, m replicaset.Member, deadline time.Time, others bool) attempt {
	a := attempt{g: g, member: m, class: classRead, until: deadline, deadline: deadline}
	if !others {
		return a
	}
	now := s.e.Now()
	limit := now.Add(max(attemptFloor, attemptFactor*g.Latency(s.e.Boot(), m.ID)))
	if limit.Before(deadline) {
		a.until, a.deadline = limit, limit
	}
	return a
}

func (s *CallerSession) retried(w work, m replicaset.Member, o Outcome, err error) {
	v := Event{Request: w.ID, Group: m.Group, Endpoint: m.ID, Decision: "retry", Code: o.Code, Reason: o.Reason}
	if err != nil {
		v.Reason = err.Error()
	}
	s.e.event(v)
}

// backOff is the pause before a try that follows some that the endpoint was too
// busy for.
func (s *CallerSession) backOff(tries int, deadline time.Time) {
	d := min(retryPause<<min(tries, 3), longestPause)
	time.Sleep(min(d, deadline.Sub(s.e.Now())))
}

// pause waits a moment, or for the group to change.
func (s *CallerSession) pause(g *group, deadline time.Time) {
	d := min(retryPause, deadline.Sub(s.e.Now()))
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-g.Changed():
	case <-t.C:
	}
}

// giveUp ends a statement of which nothing is kept.
func (s *CallerSession) giveUp(w work, last Outcome) Outcome {
	o := Outcome{Code: last.Code, Reason: last.Reason}
	if !o.Code.NothingKept() {
		o.Code = Busy
	}
	s.e.event(Event{Request: w.ID, Group: s.route.Group, Decision: "refused", Code: o.Code, Reason: o.Reason})
	return o
}

// leader waits for a primary that is in charge.
func (s *CallerSession) leader(g *group, deadline time.Time) (replicaset.Lead, replicaset.Member, bool) {
	for {
		lead := g.Lead()
		changed := g.Changed()
		if m, ok := g.Member(lead.ID); ok && !lead.Switching && !g.Leaving(s.e.Boot(), lead.ID) {
			return lead, m, true
		}
		d := deadline.Sub(s.e.Now())
		if d <= 0 {
			return lead, replicaset.Member{}, false
		}
		t := time.NewTimer(d)
		select {
		case <-changed:
		case <-t.C:
		}
		t.Stop()
	}
}

// latestRead runs a read that sees all that was acknowledged before it.
func (s *CallerSession) latestRead(g *group, w work, deadline time.Time) Outcome {
	last := Outcome{Code: Busy, Reason: "no primary"}
	came := s.e.Boot()
	busy := 0
	for s.e.Now().Add(minAttempt).Before(deadline) {
		lead, m, ok := s.leader(g, deadline)
		if !ok {
			break
		}
		a := s.readAttempt(g, m, deadline, true)
		a.proof, a.lead, a.came = true, lead, came
		o, _, err := s.at(a, w)
		if err == nil && !o.Code.notRun() {
			return o
		}
		last = o
		s.retried(w, m, o, err)
		if errors.Is(err, errOverloaded) {
			break
		}
		if err == nil && o.Code == Busy {
			s.backOff(busy, deadline)
			busy++
			continue
		}
		s.pause(g, deadline)
	}
	return s.giveUp(w, last)
}

// singleWrite runs a write, once.
func (s *CallerSession) singleWrite(g *group, w work, deadline time.Time) Outcome {
	last := Outcome{Code: Busy, Reason: "no primary"}
	came := s.e.Boot()
	busy := 0
	for s.e.Now().Add(minAttempt).Before(deadline) {
		lead, m, ok := s.leader(g, deadline)
		if !ok {
			break
		}
		a := attempt{g: g, member: m, class: classWrite, until: deadline, deadline: deadline}
		// The answer of a synchronous commit proves by itself that a replica followed
		// the primary then.
		a.proof, a.lead, a.came = !s.e.Policy(g.Name).Synchronous, lead, came
		sentAt := s.e.Boot()
		o, sent, err := s.at(a, w)
		if err == nil && !o.Code.notRun() {
			return s.acknowledge(g, lead, w, sentAt, o)
		}
		if err != nil && sent {
			return s.inDoubt(w, m, err)
		}
		if err == nil {
			last = o
		}
		s.retried(w, m, o, err)
		if err == nil && o.Code == ReadOnly && lead.Version == 0 {
			// Another member may lead by now; who asks for a proof learns of it.
			if err := s.e.prove(g, lead, s.e.Boot(), nil); err != nil {
				s.retried(w, m, last, err)
			}
		}
		if err == nil && o.Code == Busy {
			s.backOff(busy, deadline)
			busy++
			continue
		}
		s.pause(g, deadline)
	}
	return s.giveUp(w, last)
}

// acknowledge passes a commit's answer on if no promotion can have taken effect
// before it was made: a synchronous commit was received by a replica, and all
// are paused before a promotion.
func (s *CallerSession) acknowledge(g *group, lead replicaset.Lead, w work, sentAt replicaset.Instant, o Outcome) Outcome {
	if o.Code != Done {
		return o
	}
	if !s.e.Policy(g.Name).Synchronous {
		if err := s.e.prove(g, lead, s.e.Boot(), nil); err != nil {
			return s.inDoubt(w, replicaset.Member{ID: lead.ID, Group: g.Name}, err)
		}
	}
	g.Acknowledge(o.Point)
	g.Sample(lead.ID, sentAt, o.Point)
	s.see(g.Name, o.Point)
	return o
}

func (s *CallerSession) inDoubt(w work, m replicaset.Member, err error) Outcome {
	s.e.event(Event{Request: w.ID, Group: m.Group, Endpoint: m.ID, Decision: "in_doubt", Code: InDoubt, Reason: err.Error()})
	return Outcome{Code: InDoubt, Reason: err.Error()}
}
