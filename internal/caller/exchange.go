package caller

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/internal/endpoint"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// streamAbove is the size of an answer from which rows are passed on
	// before the answer is whole.
	streamAbove = 64 << 10
	// answerMax bounds what is kept of an answer.
	answerMax     = 32 << 20
	paramPosition = "cumintrestle.position"
)

// answer is an endpoint's whole answer to one request, without ReadyForQuery.
type answer struct {
	out      []byte
	member   core.MemberID
	status   byte
	point    session.Point
	hasPoint bool
	// sqlState is the code of the first error, or empty.
	sqlState string
	// streamed is true when rows were passed on already.
	streamed bool
	complete bool
}

// step is what is expected for one message of a request.
type step struct {
	// done reports whether a message ends the step; nil sends synthetic only.
	done func(pgproto3.BackendMessage) bool
	// synthetic is sent to the caller without asking the endpoint.
	synthetic pgproto3.BackendMessage
	// swallow hides the endpoint's answer from the caller.
	swallow bool
	// last is the step up to ReadyForQuery, which goes on after an error.
	last bool
	// then runs when the step is done without an error.
	then func()
}

// exchange sends a request on a connection and reads the whole answer. An
// error means that the connection is broken and the outcome open; the
// connection is then not reusable.
func (c *callerSession) exchange(conn *endpoint.Conn, b *batch, stream bool) (*answer, error) {
	c.setCurrent(conn)
	defer c.setCurrent(nil)
	var steps []step
	if b.simple {
		conn.Frontend.SendQuery(&pgproto3.Query{String: b.query})
	} else {
		steps = c.plan(conn, b)
		conn.Frontend.SendSync(&pgproto3.Sync{})
	}
	if err := conn.Frontend.Flush(); err != nil {
		return nil, fmt.Errorf("send to endpoint %s: %w", conn.Member, err)
	}
	a := &answer{member: conn.Member}
	for _, s := range steps {
		if s.synthetic != nil {
			if err := c.put(a, s.synthetic, stream); err != nil {
				return nil, err
			}
		}
		ok := true
		var err error
		if s.done != nil {
			ok, err = c.readStep(conn, a, s, stream)
		}
		if err != nil {
			return nil, err
		}
		if !ok {
			break
		}
		if s.then != nil {
			s.then()
		}
	}
	_, err := c.readStep(conn, a, step{done: isReady, last: true}, stream)
	if err != nil {
		return nil, err
	}
	return a, nil
}

func isReady(m pgproto3.BackendMessage) bool {
	_, ok := m.(*pgproto3.ReadyForQuery)
	return ok
}

// readStep reads until a step is done; it reports false after an error.
func (c *callerSession) readStep(conn *endpoint.Conn, a *answer, s step, stream bool) (bool, error) {
	for {
		m, err := conn.Frontend.Receive()
		if err != nil {
			return false, fmt.Errorf("answer of endpoint %s: %w", conn.Member, err)
		}
		switch m := m.(type) {
		case *pgproto3.ParameterStatus:
			c.notePosition(a, m)
			continue
		case *pgproto3.NotificationResponse:
			continue
		case *pgproto3.ReadyForQuery:
			if !s.last {
				return false, fmt.Errorf("endpoint %s is ready too early", conn.Member)
			}
			a.status = m.TxStatus
			return true, nil
		case *pgproto3.ErrorResponse:
			if a.sqlState == "" {
				a.sqlState = m.Code
			}
			if err := c.put(a, m, stream); err != nil {
				return false, err
			}
			if !s.last {
				return false, nil
			}
			continue
		case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
			return false, fmt.Errorf("copy is not supported")
		}
		if !s.swallow {
			if err := c.put(a, m, stream); err != nil {
				return false, err
			}
		}
		if s.done(m) {
			return true, nil
		}
	}
}

func (c *callerSession) notePosition(a *answer, m *pgproto3.ParameterStatus) {
	if m.Name != paramPosition {
		return
	}
	p, err := session.ParsePoint(m.Value)
	if err == nil {
		a.point, a.hasPoint = p, true
	}
}

// put adds a message to the answer. Rows of a large answer go out early; what
// tells the caller that a statement is complete never does.
func (c *callerSession) put(a *answer, m pgproto3.BackendMessage, stream bool) error {
	if _, ok := m.(*pgproto3.CommandComplete); ok {
		a.complete = true
	}
	out, err := m.Encode(a.out)
	if err != nil {
		return fmt.Errorf("encode answer: %w", err)
	}
	a.out = out
	if stream && !a.complete && len(a.out) > streamAbove {
		a.streamed = true
		if _, err := c.conn.Write(a.out); err != nil {
			return errHangUp
		}
		a.out = a.out[:0]
	}
	if len(a.out) > answerMax {
		return fmt.Errorf("answer of more than %d bytes", answerMax)
	}
	return nil
}

// plan sends the request's messages with endpoint-side statement names and
// returns what to expect.
func (c *callerSession) plan(conn *endpoint.Conn, b *batch) []step {
	local := make(map[string]prepared, len(b.names))
	planned := make(map[string]bool)
	var steps []step
	prepare := func(p prepared, swallow bool, then func()) {
		if conn.Prepared(p.name) || planned[p.name] {
			if !swallow {
				steps = append(steps, step{synthetic: &pgproto3.ParseComplete{}, then: then})
			}
			return
		}
		planned[p.name] = true
		conn.Frontend.SendParse(&pgproto3.Parse{Name: p.name, Query: p.query, ParameterOIDs: p.oids})
		steps = append(steps, step{done: isParseComplete, swallow: swallow, then: func() {
			conn.NotePrepared(p.name)
			if then != nil {
				then()
			}
		}})
	}
	lookup := func(name string) (prepared, bool) {
		if p, ok := local[name]; ok {
			return p, true
		}
		p, ok := c.prepared[name]
		return p, ok
	}
	for _, m := range b.messages {
		switch m := m.(type) {
		case *pgproto3.Parse:
			p := newPrepared(m.Query, m.ParameterOIDs)
			local[m.Name] = p
			prepare(p, false, func() { c.prepared[m.Name] = p })
		case *pgproto3.Bind:
			bind := *m
			if p, ok := lookup(m.PreparedStatement); ok {
				prepare(p, true, nil)
				bind.PreparedStatement = p.name
			}
			conn.Frontend.SendBind(&bind)
			steps = append(steps, step{done: isBindComplete})
		case *pgproto3.Describe:
			d := *m
			if p, ok := lookup(m.Name); ok && m.ObjectType == 'S' {
				prepare(p, true, nil)
				d.Name = p.name
			}
			conn.Frontend.SendDescribe(&d)
			steps = append(steps, step{done: isDescription})
		case *pgproto3.Execute:
			conn.Frontend.SendExecute(m)
			steps = append(steps, step{done: isExecuted})
		case *pgproto3.Close:
			steps = append(steps, c.planClose(conn, m))
		}
	}
	return steps
}

// planClose forgets a statement here only: the endpoint's copy serves others.
func (c *callerSession) planClose(conn *endpoint.Conn, m *pgproto3.Close) step {
	if m.ObjectType == 'S' {
		return step{synthetic: &pgproto3.CloseComplete{}, then: func() { delete(c.prepared, m.Name) }}
	}
	conn.Frontend.SendClose(m)
	return step{done: isCloseComplete}
}

func isParseComplete(m pgproto3.BackendMessage) bool { _, ok := m.(*pgproto3.ParseComplete); return ok }

func isBindComplete(m pgproto3.BackendMessage) bool { _, ok := m.(*pgproto3.BindComplete); return ok }

func isCloseComplete(m pgproto3.BackendMessage) bool { _, ok := m.(*pgproto3.CloseComplete); return ok }

func isDescription(m pgproto3.BackendMessage) bool {
	switch m.(type) {
	case *pgproto3.RowDescription, *pgproto3.NoData:
		return true
	}
	return false
}

func isExecuted(m pgproto3.BackendMessage) bool {
	switch m.(type) {
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return true
	}
	return false
}
