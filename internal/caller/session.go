package caller

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cumintrestle/cumintrestle/internal/endpoint"
	"github.com/cumintrestle/cumintrestle/pkg/result"
	"github.com/cumintrestle/cumintrestle/pkg/session"
	"github.com/cumintrestle/cumintrestle/pkg/template"
)

// callerSession is one connection of a caller.
type callerSession struct {
	srv       *Server
	conn      net.Conn
	be        *pgproto3.Backend
	key       sessionKey
	account   template.Account
	template  template.Template
	groupName session.Group
	group     *endpoint.Group
	params    params
	prepared  map[string]prepared
	portals   map[string]prepared
	tx        *transaction
	reported  string
	// acked is the point of the write acknowledged last.
	acked session.Point

	mu      sync.Mutex
	idle    bool
	nudged  bool
	current *endpoint.Conn
	// abort ends the waits of the current request, and aborted tells that a
	// cancel did so.
	abort   context.CancelFunc
	aborted bool
}

func newSession(s *Server, conn net.Conn) *callerSession {
	return &callerSession{
		srv:      s,
		conn:     conn,
		be:       pgproto3.NewBackend(conn, conn),
		prepared: make(map[string]prepared),
		portals:  make(map[string]prepared),
	}
}

// loop serves requests one after the other.
func (c *callerSession) loop(ctx context.Context) {
	c.reported = c.params.token.String()
	for {
		if c.tx == nil && c.srv.isDraining() {
			c.refuse(result.New(result.ShuttingDown, "the entry host is shutting down; connect to another"))
			return
		}
		b, err := c.nextBatch()
		if err != nil {
			c.refuse(err)
			return
		}
		if err := c.handle(ctx, b); err != nil {
			c.refuse(err)
			return
		}
		if err := c.be.Flush(); err != nil {
			return
		}
	}
}

// receive reads one message. While it waits for the first of a request, the
// session is idle and can be told that the host leaves.
func (c *callerSession) receive(first bool) (pgproto3.FrontendMessage, error) {
	if first {
		c.setIdle(true)
		defer c.setIdle(false)
	}
	if c.tx != nil && !c.tx.lost {
		_ = c.conn.SetReadDeadline(time.Now().Add(transactionIdle))
		defer func() { _ = c.conn.SetReadDeadline(time.Time{}) }()
	}
	m, err := c.be.Receive()
	if err == nil {
		return m, nil
	}
	if c.tx != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, result.New(result.TransactionFailed, "the transaction was idle for %s and is rolled back", transactionIdle)
	}
	if first && errors.Is(err, os.ErrDeadlineExceeded) && c.wasNudged() {
		return nil, result.New(result.ShuttingDown, "the entry host is shutting down; connect to another")
	}
	return nil, receiveError(err)
}

func (c *callerSession) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
	if !idle {
		_ = c.conn.SetReadDeadline(time.Time{})
	}
}

// nudge wakes an idle session, so that it can tell the caller to leave.
func (c *callerSession) nudge() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && c.tx == nil {
		c.nudged = true
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

func (c *callerSession) wasNudged() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nudged
}

// waiting notes how the waits of the current request are ended, and reports
// whether those of the last one were.
func (c *callerSession) waiting(abort context.CancelFunc) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	aborted := c.aborted
	c.abort, c.aborted = abort, false
	return aborted
}

// cancel cancels what runs for the session now, or what waits to run.
func (c *callerSession) cancel() {
	c.mu.Lock()
	conn := c.current
	if conn == nil && c.abort != nil {
		c.aborted = true
		c.abort()
	}
	c.mu.Unlock()
	if conn != nil {
		_ = conn.Cancel(context.Background(), c.srv.Dialer)
	}
}

func (c *callerSession) setCurrent(conn *endpoint.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = conn
}

// refuse ends the session with a fatal error, if the caller still listens.
func (c *callerSession) refuse(err error) {
	if errors.Is(err, errHangUp) {
		return
	}
	c.sendError(err, "FATAL")
	_ = c.conn.SetWriteDeadline(time.Now().Add(time.Second))
	_ = c.be.Flush()
}

// fail answers the current request with an error and stays ready.
func (c *callerSession) fail(err error) error {
	if errors.Is(err, errHangUp) {
		return err
	}
	c.sendError(err, "ERROR")
	c.sendReady()
	return nil
}

func (c *callerSession) sendError(err error, severity string) {
	var e *result.Error
	if !errors.As(err, &e) {
		e = result.New(result.OutcomeUnknown, "%w", err)
	}
	c.be.Send(&pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                e.Code.Info().SQLState,
		Message:             e.Error(),
		Detail:              "outcome: " + e.Code.Family().String(),
	})
}

// sendReady reports a changed token and the transaction state.
func (c *callerSession) sendReady() {
	status := byte('I')
	if c.tx != nil {
		status = c.tx.status
	}
	if text := c.params.token.String(); text != c.reported {
		c.reported = text
		c.be.Send(&pgproto3.ParameterStatus{Name: paramToken, Value: text})
	}
	c.be.Send(&pgproto3.ReadyForQuery{TxStatus: status})
}
