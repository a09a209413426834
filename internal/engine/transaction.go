package engine

import (
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
	for s.e.Now().Add(minAttempt).Before(deadline) {
		a, lead, ok := s.place(g, tried, began, deadline)
		if !ok {
			clear(tried)
			s.pause(g, deadline)
			continue
		}
		tried[a.member.ID] = true
		o, started, err := s.start(a, lead, w)
		if started {
			return o
		}
		s.retried(w, a.member, o, err)
		if err == nil {
			last = o
		}
	}
	s.state, s.tx = FailedTransaction, nil
	return s.giveUp(w, last)
}

// place chooses where the transaction runs, and which position its member must
// have. At the primary, a proof that it leads stands for the position.
func (s *CallerSession) place(g *group, tried map[replicaset.EndpointID]bool, began replicaset.Instant, deadline time.Time) (attempt, replicaset.Lead, bool) {
	r := s.tx.route
	var need session.Point
	known := false
	if r.Consistency != Latest {
		need, known = s.need(g, began, r)
	}
	if s.tx.readOnly && known {
		order := g.ReadOrder(s.e.Boot(), need, tried)
		if len(order) == 0 {
			return attempt{}, replicaset.Lead{}, false
		}
		a := s.readAttempt(g, order[0], deadline, len(order) > 1)
		a.after = need
		return a, replicaset.Lead{}, true
	}
	lead, m, ok := s.leader(g, deadline)
	if !ok || !known && s.e.prove(g, lead, began) != nil {
		return attempt{}, lead, false
	}
	return attempt{g: g, member: m, after: need, class: classWrite, until: deadline, deadline: deadline}, lead, true
}

// begin is what starts the transaction at an endpoint.
func (tx *transaction) begin(after session.Point) Op {
	if tx.readOnly {
		return Op{Kind: OpBeginRead, After: after}
	}
	return Op{Kind: OpBegin, After: after}
}

// start begins the transaction and runs its first statement. It reports
// whether the transaction stands, or failed in a way that is final.
func (s *CallerSession) start(a attempt, lead replicaset.Lead, w work) (Outcome, bool, error) {
	p := s.e.pool(a.g, a.member)
	c, err := s.e.acquire(p, a.until, a.class, s.values)
	if err != nil {
		s.noConnection(a, err)
		return refusal(err), false, err
	}
	o, err := c.adopt(a.deadline, s.values, w.shape, s.tx.begin(a.after))
	if err != nil || o.Code != Done {
		s.abandon(a, p, c, err)
		return o, false, err
	}
	o, err = s.e.exchange(a, c, w.op(c, session.Point{}))
	if err != nil || o.Code.notRun() || o.Code == Failed {
		s.abandon(a, p, c, err)
		return o, false, err
	}
	s.tx.g, s.tx.lead, s.tx.member, s.tx.pool, s.tx.conn = a.g, lead, a.member, p, c
	s.noteStatement(w, o)
	return o, true, nil
}

// abandon gives a connection back on which the transaction did not start.
func (s *CallerSession) abandon(a attempt, p *pool, c *Conn, err error) {
	if err != nil {
		c.broken = true
		s.broke(a, p, err)
	} else if out, err := c.do(s.e.Now().Add(rollbackTimeout), Op{Kind: OpRollback}); err != nil || out[0].State != Idle {
		c.broken = true
	}
	p.release(c)
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
	a := attempt{g: tx.g, member: tx.member, deadline: deadline}
	o, err := tx.conn.adopt(deadline, s.values, w.shape)
	if err == nil && o.Code == Done {
		o, err = s.e.exchange(a, tx.conn, w.op(tx.conn, session.Point{}))
	}
	for err == nil && o.Code == Busy && o.State == InTransaction && s.e.Now().Add(retryPause+minAttempt).Before(deadline) {
		time.Sleep(retryPause)
		o, err = s.e.exchange(a, tx.conn, w.op(tx.conn, session.Point{}))
	}
	if err != nil {
		s.broke(a, tx.pool, err)
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

// commit ends the transaction and keeps it.
func (s *CallerSession) commit(st Statement) Outcome {
	w := work{Statement: st}
	deadline := s.deadline(s.tx.route)
	if s.tx.conn == nil {
		if o, ok := s.startEmpty(w, deadline); !ok {
			s.state, s.tx = Idle, nil
			return o
		}
	}
	tx := s.tx
	if lead := tx.g.Lead(); tx.wrote && (lead.Switching || lead.ID != tx.member.ID) {
		s.endTransaction()
		s.state = Idle
		return Outcome{Code: Aborted, Reason: "the primary is being replaced"}
	}
	s.tx, s.state = nil, Idle
	a := attempt{g: tx.g, member: tx.member, deadline: deadline}
	op := Op{Kind: OpStatement, ID: st.ID, Text: st.Text}
	sentAt := s.e.Boot()
	o, err := s.e.exchange(a, tx.conn, op)
	for err == nil && o.Code == Busy && o.State == InTransaction && s.e.Now().Add(retryPause+minAttempt).Before(deadline) {
		time.Sleep(retryPause)
		o, err = s.e.exchange(a, tx.conn, op)
	}
	if err == nil && o.State != Idle {
		tx.conn.broken = true
	}
	tx.pool.release(tx.conn)
	if tx.wrote {
		tx.g.Committed(s.e.Boot(), err == nil)
	}
	switch {
	case err != nil && tx.wrote:
		s.broke(a, tx.pool, err)
		return s.inDoubt(w, tx.member, err)
	case err != nil:
		s.broke(a, tx.pool, err)
		return Outcome{Code: Aborted, Reason: "the endpoint was lost at the end of a transaction that wrote nothing"}
	case tx.wrote:
		return s.acknowledge(tx.g, tx.lead, w, sentAt, o)
	}
	return o
}

// startEmpty starts a transaction that ends without a statement: only an
// endpoint can end it.
func (s *CallerSession) startEmpty(w work, deadline time.Time) (Outcome, bool) {
	g := s.e.group(s.tx.route.Group)
	tried := make(map[replicaset.EndpointID]bool)
	last := Outcome{Code: Busy, Reason: "no endpoint can serve the transaction"}
	for s.e.Now().Add(minAttempt).Before(deadline) {
		a, lead, ok := s.place(g, tried, s.e.Boot(), deadline)
		if !ok {
			clear(tried)
			s.pause(g, deadline)
			continue
		}
		tried[a.member.ID] = true
		p := s.e.pool(g, a.member)
		c, err := s.e.acquire(p, a.until, a.class, s.values)
		if err != nil {
			s.noConnection(a, err)
			continue
		}
		o, err := c.adopt(a.deadline, s.values, nil, s.tx.begin(a.after))
		if err != nil || o.Code != Done {
			s.abandon(a, p, c, err)
			last = o
			continue
		}
		s.tx.g, s.tx.lead, s.tx.member, s.tx.pool, s.tx.conn = g, lead, a.member, p, c
		return Outcome{}, true
	}
	return s.giveUp(w, last), false
}
