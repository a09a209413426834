package caller

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cumintrestle/cumintrestle/internal/budget"
	"github.com/cumintrestle/cumintrestle/internal/endpoint"
	"github.com/cumintrestle/cumintrestle/internal/pgframe"
	"github.com/cumintrestle/cumintrestle/pkg/result"
	"github.com/cumintrestle/cumintrestle/pkg/session"
	"github.com/cumintrestle/cumintrestle/pkg/template"
)

// callerSession is the state of one caller's connection.
type callerSession struct {
	srv  *Server
	conn net.Conn
	be   *pgproto3.Backend
	// reader is what be reads from.
	reader *pgframe.Reader
	budget *budget.Conn
	in     intake
	// ending is set before the last message of the session is sent.
	ending bool
	// authenticated is set once the caller has proved who it is.
	authenticated bool
	key           sessionKey
	account       template.Account
	template      template.Template
	groupName     session.Group
	group         *endpoint.Group
	params        params
	prepared      map[string]preparedStatement
	portals       map[string]preparedStatement
	tx            *transaction
	// reportedToken is the session token that the caller was last sent.
	reportedToken string
	// lastAcked is the log point of the last acknowledged write or
	// transaction.
	lastAcked session.Point

	mu sync.Mutex
	// idle is true while the session waits for the first message of a
	// request.
	idle bool
	// interrupted is true after Drain ended the read of an idle session.
	interrupted bool
	// activeConn is the endpoint connection that runs the current request, or
	// nil.
	activeConn *endpoint.Conn
	// cancelWait ends the waits of the current request. waitCanceled is true
	// if a cancel request called it.
	cancelWait   context.CancelFunc
	waitCanceled bool
}

func newSession(s *Server, conn net.Conn) *callerSession {
	c := &callerSession{
		srv:      s,
		conn:     conn,
		reader:   pgframe.NewReader(conn),
		prepared: make(map[string]preparedStatement),
		portals:  make(map[string]preparedStatement),
	}
	c.reader.Startup, c.reader.Admit = true, c.admitMessage
	c.be = pgproto3.NewBackend(c.reader, callerWriter{c})
	return c
}

// serveRequests serves one request after another until the session ends.
func (c *callerSession) serveRequests(ctx context.Context) {
	c.reportedToken = c.params.token.String()
	for {
		if c.tx == nil && c.srv.isDraining() {
			c.sendFatal(result.New(result.ShuttingDown, "the entry host is shutting down; connect to another"))
			return
		}
		b, err := c.nextBatch()
		if err != nil {
			c.sendFatal(err)
			return
		}
		c.budget.EndMessage()
		if err := c.serveRequest(ctx, b); err != nil {
			c.sendFatal(err)
			return
		}
		if err := c.be.Flush(); err != nil {
			return
		}
		c.endRequest()
	}
}

// serveRequest charges what a request prepares and handles it. An error ends the session.
func (c *callerSession) serveRequest(ctx context.Context, b *batch) error {
	if err := c.chargePrepared(b); err != nil {
		return c.failRequest(err)
	}
	defer c.settlePrepared(b)
	return c.handleRequest(ctx, b)
}

// receive reads one message. While it waits for the first message of a
// request, the session is idle and Drain may interrupt it.
func (c *callerSession) receive(first bool) (pgproto3.FrontendMessage, error) {
	if first {
		c.setIdle(true)
		defer c.setIdle(false)
	}
	if until := c.readDeadline(); !until.IsZero() {
		_ = c.conn.SetReadDeadline(until)
		defer func() { _ = c.conn.SetReadDeadline(time.Time{}) }()
	}
	m, err := c.be.Receive()
	if err == nil && first && !c.budget.Begin() {
		return nil, receiveError(budget.ErrEvicted)
	}
	if err == nil {
		return m, nil
	}
	if c.late(err) {
		c.budget.Refused(budget.MessageTimeout)
		return nil, result.New(result.MessageInvalid, "the request was not complete within %s", c.srv.messageTimeout())
	}
	if c.tx != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, result.New(result.TransactionFailed, "the transaction was idle for %s and is rolled back", transactionIdleTimeout)
	}
	if first && errors.Is(err, os.ErrDeadlineExceeded) && c.wasInterrupted() {
		return nil, result.New(result.ShuttingDown, "the entry host is shutting down; connect to another")
	}
	return nil, receiveError(err)
}

func (c *callerSession) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
	switch {
	case c.tx != nil:
		c.budget.SetState(budget.InTransaction)
	case idle:
		c.budget.SetState(budget.Idle)
	default:
		c.budget.SetState(budget.Busy)
	}
	if !idle {
		_ = c.conn.SetReadDeadline(time.Time{})
	}
}

// interruptIdle ends the read of an idle session outside a transaction, so
// that the session can send a shutdown error.
func (c *callerSession) interruptIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && c.tx == nil {
		c.interrupted = true
		c.budget.Interrupt()
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

func (c *callerSession) wasInterrupted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.interrupted
}

// setCancelWait sets the function that ends the waits of the current request.
// It reports whether a cancel request called the previous one.
func (c *callerSession) setCancelWait(cancelWait context.CancelFunc) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	canceled := c.waitCanceled
	c.cancelWait, c.waitCanceled = cancelWait, false
	return canceled
}

// cancelRequest cancels the statement that runs for the session, or the wait
// of a request that has no endpoint connection yet.
func (c *callerSession) cancelRequest() {
	c.mu.Lock()
	conn := c.activeConn
	if conn == nil && c.cancelWait != nil {
		c.waitCanceled = true
		c.cancelWait()
	}
	c.mu.Unlock()
	if conn != nil {
		_ = conn.Cancel(context.Background(), c.srv.Dialer)
	}
}

func (c *callerSession) setActiveConn(conn *endpoint.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeConn = conn
}

// sendFatal sends a fatal error, unless err is errDisconnect.
func (c *callerSession) sendFatal(err error) {
	if errors.Is(err, errDisconnect) {
		return
	}
	c.sendError(err, "FATAL")
	c.ending = true
	_ = c.be.Flush()
}

// failRequest answers the current request with an error and keeps the session
// open, unless err is errDisconnect.
func (c *callerSession) failRequest(err error) error {
	if errors.Is(err, errDisconnect) {
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

// sendReady sends ReadyForQuery with the transaction status, and the session
// token before it if the token changed.
func (c *callerSession) sendReady() {
	status := byte('I')
	if c.tx != nil {
		status = c.tx.status
	}
	if text := c.params.token.String(); text != c.reportedToken {
		c.reportedToken = text
		c.be.Send(&pgproto3.ParameterStatus{Name: paramToken, Value: text})
	}
	c.be.Send(&pgproto3.ReadyForQuery{TxStatus: status})
}
