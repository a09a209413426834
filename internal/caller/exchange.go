package caller

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/internal/endpoint"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// streamThreshold is the buffer size above which rows of a streamed
	// response are sent before the response is complete.
	streamThreshold = 64 << 10
	// maxBufferedResponse bounds the bytes of a response held in memory.
	maxBufferedResponse = 32 << 20
	paramPosition       = "cumintrestle.position"
)

// response is an endpoint's response to one request, without ReadyForQuery.
type response struct {
	// out holds the encoded messages that were not yet sent to the caller.
	out    []byte
	member core.MemberID
	// status is the transaction status of ReadyForQuery.
	status byte
	// point is the log point that the endpoint reported last; hasPoint tells
	// whether it reported one.
	point    session.Point
	hasPoint bool
	// sqlState is the SQLSTATE of the first error, or empty.
	sqlState string
	// streamed is true if part of the response was already sent to the
	// caller.
	streamed bool
	// complete is true after the first CommandComplete.
	complete bool
}

// step describes the endpoint's messages that answer one message of a
// request.
type step struct {
	// done reports whether a message ends the step. It is nil if the endpoint
	// is sent no message for the step.
	done func(pgproto3.BackendMessage) bool
	// synthetic is sent to the caller in place of an endpoint's message.
	synthetic pgproto3.BackendMessage
	// hidden is true if the endpoint's messages are not part of the response
	// to the caller.
	hidden bool
	// untilReady marks the last step. It ends with ReadyForQuery and
	// continues after an error.
	untilReady bool
	// onSuccess runs when the step has ended without an error.
	onSuccess func()
}

// exchange sends a request and a marker on an endpoint connection and reads the response.
// After an error the outcome is unknown and the connection cannot be reused; the response, if
// not nil, has what was read.
func (c *callerSession) exchange(conn *endpoint.Conn, b *batch, stream bool) (*response, error) {
	c.setActiveConn(conn)
	defer c.setActiveConn(nil)
	conn.SetAdmit(c.admitAnswer)
	defer conn.SetAdmit(nil)
	var steps []step
	if b.simple {
		conn.Frontend.SendQuery(&pgproto3.Query{String: b.query})
	} else {
		steps = c.sendMessages(conn, b)
		conn.Frontend.SendSync(&pgproto3.Sync{})
	}
	conn.SendMarker()
	if err := conn.Frontend.Flush(); err != nil {
		return nil, fmt.Errorf("send to endpoint %s: %w", conn.Member, err)
	}
	resp := &response{member: conn.Member}
	for _, s := range steps {
		if s.synthetic != nil {
			if err := c.addToResponse(resp, s.synthetic, stream); err != nil {
				return resp, err
			}
		}
		ok := true
		var err error
		if s.done != nil {
			ok, err = c.readStep(conn, resp, s, stream)
		}
		if err != nil {
			return resp, err
		}
		if !ok {
			break
		}
		if s.onSuccess != nil {
			s.onSuccess()
		}
	}
	_, err := c.readStep(conn, resp, step{done: isReady, untilReady: true}, stream)
	if err != nil {
		return resp, err
	}
	if err := conn.ReceiveMarker(); err != nil {
		return resp, err
	}
	return resp, nil
}

func isReady(m pgproto3.BackendMessage) bool {
	_, ok := m.(*pgproto3.ReadyForQuery)
	return ok
}

// readStep reads until the step has ended. It reports false if the endpoint
// answered with an error.
func (c *callerSession) readStep(conn *endpoint.Conn, resp *response, s step, stream bool) (bool, error) {
	for {
		m, err := conn.Frontend.Receive()
		if err != nil {
			return false, fmt.Errorf("receive from endpoint %s: %w", conn.Member, err)
		}
		switch m := m.(type) {
		case *pgproto3.ParameterStatus:
			c.recordPosition(resp, m)
			continue
		case *pgproto3.NotificationResponse:
			continue
		case *pgproto3.ReadyForQuery:
			if !s.untilReady {
				return false, fmt.Errorf("endpoint %s sent an unexpected ReadyForQuery", conn.Member)
			}
			resp.status = m.TxStatus
			return true, nil
		case *pgproto3.ErrorResponse:
			if resp.sqlState == "" {
				resp.sqlState = m.Code
			}
			if err := c.addToResponse(resp, m, stream); err != nil {
				return false, err
			}
			if !s.untilReady {
				return false, nil
			}
			continue
		case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
			return false, fmt.Errorf("COPY is not supported")
		}
		if !s.hidden {
			if err := c.addToResponse(resp, m, stream); err != nil {
				return false, err
			}
		}
		if s.done(m) {
			return true, nil
		}
	}
}

func (c *callerSession) recordPosition(resp *response, m *pgproto3.ParameterStatus) {
	if m.Name != paramPosition {
		return
	}
	p, err := session.ParsePoint(m.Value)
	if err == nil {
		resp.point, resp.hasPoint = p, true
	}
}

// addToResponse adds a message to the response. With stream, a large buffer
// is sent early, but nothing after the first CommandComplete: the caller must
// not see a statement as complete before the response is checked.
func (c *callerSession) addToResponse(resp *response, m pgproto3.BackendMessage, stream bool) error {
	if _, ok := m.(*pgproto3.CommandComplete); ok {
		resp.complete = true
	}
	out, err := m.Encode(resp.out)
	if err != nil {
		return fmt.Errorf("encode response: %w", err)
	}
	resp.out = out
	if stream && !resp.complete && len(resp.out) > streamThreshold {
		resp.streamed = true
		if _, err := (callerWriter{c}).Write(resp.out); err != nil {
			return errDisconnect
		}
		resp.out = resp.out[:0]
		if cap(resp.out) > 2*streamThreshold {
			resp.out = nil
		}
		c.endAnswer()
	}
	if len(resp.out) > maxBufferedResponse {
		return fmt.Errorf("response of more than %d bytes", maxBufferedResponse)
	}
	return nil
}

// sendMessages sends the messages of a request with the endpoint's statement
// names, preceded by a Parse for each statement that the connection lacks. It
// returns the expected steps.
func (c *callerSession) sendMessages(conn *endpoint.Conn, b *batch) []step {
	parsed := make(map[string]preparedStatement, len(b.statements))
	parseSent := make(map[string]bool)
	var steps []step
	prepare := func(p preparedStatement, hidden bool, onSuccess func()) {
		if conn.HasPrepared(p.name) || parseSent[p.name] {
			if !hidden {
				steps = append(steps, step{synthetic: &pgproto3.ParseComplete{}, onSuccess: onSuccess})
			}
			return
		}
		parseSent[p.name] = true
		conn.Frontend.SendParse(&pgproto3.Parse{Name: p.name, Query: p.query, ParameterOIDs: p.oids})
		steps = append(steps, step{done: isParseComplete, hidden: hidden, onSuccess: func() {
			conn.MarkPrepared(p.name)
			if onSuccess != nil {
				onSuccess()
			}
		}})
	}
	lookup := func(name string) (preparedStatement, bool) {
		if p, ok := parsed[name]; ok {
			return p, true
		}
		p, ok := c.prepared[name]
		return p, ok
	}
	for _, m := range b.messages {
		switch m := m.(type) {
		case *pgproto3.Parse:
			p := newPrepared(m.Query, m.ParameterOIDs)
			parsed[m.Name] = p
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
			steps = append(steps, c.sendClose(conn, m))
		}
	}
	return steps
}

// sendClose closes a portal on the endpoint. A statement is closed in the
// session only, since other sessions use the endpoint's copy.
func (c *callerSession) sendClose(conn *endpoint.Conn, m *pgproto3.Close) step {
	if m.ObjectType == 'S' {
		return step{synthetic: &pgproto3.CloseComplete{}, onSuccess: func() { delete(c.prepared, m.Name) }}
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
