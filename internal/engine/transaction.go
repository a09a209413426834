package engine

import (
	"errors"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// ageMargin is kept back from the age that a read accepts: for the rounding of
// clocks and for the time between a caller's first byte and its decoding.
const ageMargin = 50 * time.Millisecond

// inTransaction runs a statement of an open transaction.
func (s *CallerSession) inTransaction(w work) Outcome {
	deadline := s.deadline(s.tx.route)
	if s.tx.conn == nil {
		return s.firstStatement(w, deadline)
	}
	return s.nextStatement(w, deadline)
}

// firstStatement starts the transaction at an endpoint. Until it is answered,
// nothing is kept, so it may start again elsewhere.
func (s *CallerSession) firstStatement(w work, deadline time.Time) Outcome {
	g := s.e.group(s.tx.route.Group)
	last := Outcome{Code: Busy, Reason: "no endpoint can serve the transaction"}
	tried := make(map[replicaset.EndpointID]bool)
	began := s.e.Boot()
	busy, ask, tries := false, false, 0
	for s.e.Now().Add(minAttempt).Before(deadline) {
		a, lead, ok := s.place(g, tried, began, deadline, ask)
		if !ok {
			if busy {
				break
			}
			clear(tried)
			s.pause(g, deadline)
			continue
		}
		tried[a.member.ID] = true
		o, started, err := s.start(a, lead, w)
		if started {
			return o
		}
		if errors.Is(err, errNoPosition) {
			delete(tried, a.member.ID)
			ask = true
			continue
		}
		s.retried(w, a.member, o, err)
		busy = busy || errors.Is(err, errOverloaded)
		if busy && !s.tx.readOnly {
			last = o
			break
		}
		if err == nil {
			last = o
		}
		if !s.tx.readOnly {
			// There is no other member to try.
			s.backOff(tries, deadline)
			tries++
		}
	}
	s.state, s.tx = FailedTransaction, nil
	return s.giveUp(w, last)
}

// place chooses where the transaction runs, and which position its member must
// have. At the primary, a proof that it leads stands for the position.
func (s *CallerSession) place(g *group, tried map[replicaset.EndpointID]bool, began replicaset.Instant, deadline time.Time, ask bool) (attempt, replicaset.Lead, bool) {
	r := s.tx.route
	if s.tx.readOnly && r.Consistency != Latest {
		if a, ok, known := s.replicaAttempt(g, r, tried, began, deadline, ask); known {
			return a, replicaset.Lead{}, ok
		}
	}
	lead, m, ok := s.leader(g, deadline)
	if !ok {
		return attempt{}, lead, false
	}
	var need session.Point
	known := false
	if f := s.fresh(g, r); r.Consistency != Latest {
		need, known = g.Need(began, f.MaxAge, f.Seen)
	}
	return attempt{
		g: g, member: m, after: need, class: classWrite, until: deadline, deadline: deadline,
		proof: !known, lead: lead, came: began,
	}, lead, true
}

// begin is what starts the transaction at an endpoint.
func (tx *transaction) begin(after session.Point) Op {
	if tx.readOnly {
		return Op{Kind: OpBeginRead, After: after}
	}
	return Op{Kind: OpBegin, After: after}
}

// start begins the transaction, and runs its first statement if there is one.
// It reports whether the transaction stands, or failed in a way that is final.
func (s *CallerSession) start(a attempt, lead replicaset.Lead, w work) (Outcome, bool, error) {
	p := s.e.pool(a.g, a.member)
	c, err := s.connect(&a, p)
	if err != nil {
		s.e.failed(a.g, p, err)
		return refusal(err), false, err
	}
	ops := []Op{s.tx.begin(a.after)}
	if w.Kind != Commit {
		ops = append(ops, w.op(session.Point{}))
	}
	out, err := s.e.perform(a.g, a.member, c, a.call(s.want(w), ops...))
	if err != nil {
		s.e.failed(a.g, p, err)
		p.release(c)
		return refusal(err), false, err
	}
	o := out[len(out)-1]
	if len(out) < len(ops) || o.Code.notRun() || o.Code == Failed {
		s.abandon(p, c, o)
		return o, false, nil
	}
	s.tx.g, s.tx.lead, s.tx.member, s.tx.pool, s.tx.conn = a.g, lead, a.member, p, c
	if w.Kind != Commit {
		s.noteStatement(w, o)
	}
	return o, true, nil
}

// abandon gives a connection back on which the transaction did not start.
func (s *CallerSession) abandon(p *pool, c *Conn, o Outcome) {
	if o.State != Idle {
		s.rollBack(c)
	}
	p.release(c)
}

// rollBack ends the transaction on a connection.
func (s *CallerSession) rollBack(c *Conn) {
	deadline := s.e.Now().Add(rollbackTimeout)
	out, err := c.Run(Call{Until: deadline, Deadline: deadline, AnyState: true, Ops: []Op{{Kind: OpRollback}}})
	if err != nil || out[0].State != Idle {
		c.broken = true
	}
}

// noteStatement records an answer inside the transaction.
func (s *CallerSession) noteStatement(w work, o Outcome) {
	if o.Code != Done || o.State != InTransaction {
		s.fail()
		return
	}
	s.tx.wrote = s.tx.wrote || w.writes
}

func (s *CallerSession) nextStatement(w work, deadline time.Time) Outcome {
	tx := s.tx
	o, err := s.insist(deadline, s.want(w), w.op(session.Point{}))
	if err != nil {
		s.e.failed(tx.g, tx.pool, err)
		s.fail()
		s.e.event(Event{Request: w.ID, Group: tx.g.Name, Endpoint: tx.member.ID, Decision: "transaction_lost", Code: Aborted, Reason: err.Error()})
		return Outcome{Code: Aborted, Reason: "the endpoint was lost inside the transaction"}
	}
	s.noteStatement(w, o)
	if o.Code == TimedOut || o.Code == Failed {
		return Outcome{Code: Aborted, Reason: "the statement failed: " + o.Reason, Point: o.Point}
	}
	return o
}

// insist runs a request of the open transaction, again while the endpoint is too
// busy for it.
func (s *CallerSession) insist(deadline time.Time, want Want, op Op) (Outcome, error) {
	tx := s.tx
	a := attempt{g: tx.g, member: tx.member, class: classOpen, until: deadline, deadline: deadline}
	for pause := retryPause; ; pause = min(2*pause, longestPause) {
		out, err := s.e.perform(tx.g, tx.member, tx.conn, a.call(want, op))
		if err != nil {
			return Outcome{}, err
		}
		o := out[0]
		if o.Code != Busy || o.State != InTransaction || !s.e.Now().Add(pause+minAttempt).Before(deadline) {
			return o, nil
		}
		time.Sleep(pause)
	}
}

// commit ends the transaction and keeps it.
func (s *CallerSession) commit(st Statement) Outcome {
	w := work{Statement: st}
	deadline := s.deadline(s.tx.route)
	if s.tx.conn == nil {
		// Only an endpoint can end a transaction, also one without statements.
		if o := s.firstStatement(w, deadline); s.tx == nil {
			s.state = Idle
			return o
		}
	}
	tx := s.tx
	if lead := tx.g.Lead(); tx.wrote && (lead.Switching || lead.ID != tx.member.ID) {
		s.endTransaction()
		s.state = Idle
		return Outcome{Code: Aborted, Reason: "the primary is being replaced"}
	}
	op := Op{Kind: OpStatement, ID: st.ID, Text: st.Text, Commits: tx.wrote}
	sentAt := s.e.Boot()
	o, err := s.insist(deadline, s.want(w), op)
	s.tx, s.state = nil, Idle
	if err == nil && o.State != Idle {
		tx.conn.broken = true
	}
	tx.pool.release(tx.conn)
	switch {
	case err != nil && tx.wrote && Sent(err):
		s.e.failed(tx.g, tx.pool, err)
		return s.inDoubt(w, tx.member, err)
	case err != nil && tx.wrote:
		s.e.failed(tx.g, tx.pool, err)
		return Outcome{Code: Aborted, Reason: "the end of the transaction could not be sent"}
	case err != nil:
		s.e.failed(tx.g, tx.pool, err)
		return Outcome{Code: Aborted, Reason: "the endpoint was lost at the end of a transaction that wrote nothing"}
	case tx.wrote:
		return s.acknowledge(tx.g, tx.lead, w, sentAt, o)
	}
	return o
}
