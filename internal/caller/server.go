package caller

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/benbjohnson/clock"
	"gopkg.in/tomb.v2"

	"github.com/cumintrestle/cumintrestle/internal/budget"
	"github.com/cumintrestle/cumintrestle/internal/endpoint"
	"github.com/cumintrestle/cumintrestle/pkg/result"
	"github.com/cumintrestle/cumintrestle/pkg/session"
	"github.com/cumintrestle/cumintrestle/pkg/template"
)

// Server accepts connections of callers: applications of client accounts. The
// exported fields are set before Run.
type Server struct {
	// Account looks up the template of a client account.
	Account func(template.Account) (template.Template, bool)
	// Group returns a database group, or nil if this host does not run it.
	Group func(session.Group) *endpoint.Group
	// Admit counts a new connection against its account's connection limit
	// and returns an error if the limit is reached. Release releases the
	// connection.
	Admit   func(template.Account) error
	Release func(template.Account)
	// ForwardCancel sends a cancel request to the other entry hosts.
	ForwardCancel func(pid, secret uint32)
	// OnOutcome is called with the outcome of each finished request.
	OnOutcome func(Outcome)

	// Dialer opens the connections that carry cancel requests to endpoints.
	Dialer endpoint.Dialer
	Clock  clock.Clock
	// StatementWait bounds how long a request waits to be sent to an
	// endpoint.
	StatementWait time.Duration
	// AckWait bounds the wait for a majority to confirm a response.
	AckWait time.Duration
	// ReadWait bounds how long a read waits for a replica that is catching
	// up.
	ReadWait time.Duration
	Reads    ReadPolicy
	Retries  *RetryBudget
	// Budget bounds the memory and the connections of callers. It may be nil.
	Budget *budget.Budget
	// MessageTimeout is how long a caller may take to complete a request that it has begun,
	// AnswerTimeout how long it may leave an answer unread; 0 means the default and no limit.
	MessageTimeout, AnswerTimeout time.Duration
	// CancelsPerS is how many cancel requests are forwarded to the other hosts in a second; 0
	// means the default.
	CancelsPerS int

	cancels  cancelLimit
	t        tomb.Tomb
	mu       sync.Mutex
	sessions map[sessionKey]*callerSession
	draining bool
}

type sessionKey struct{ pid, secret uint32 }

// Kind is the kind of a request.
type Kind string

// The kinds of requests.
const (
	KindRead        Kind = "read"
	KindWrite       Kind = "write"
	KindTransaction Kind = "transaction"
)

// Outcome describes one finished request for metrics and reports.
type Outcome struct {
	Group   session.Group
	Account template.Account
	Kind    Kind
	Code    result.Code
	// Replica is true for a read that a replica served.
	Replica bool
	// ReplicaEligible is true for a read that some replica could have served.
	ReplicaEligible bool
	// Acked is the log point of an acknowledged write, or zero.
	Acked session.Point
	// Duration is the duration of the request, waits included.
	Duration time.Duration
}

// Run accepts and serves connections from ln until Drain or Stop.
func (s *Server) Run(ln net.Listener) {
	s.sessions = make(map[sessionKey]*callerSession)
	s.t.Go(func() error {
		<-s.t.Dying()
		return ln.Close()
	})
	s.t.Go(func() error {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return nil
			}
			// A connection is admitted before the next one is accepted, so that their number
			// stays bounded.
			source, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
			held := s.Budget.Open(budget.Clients, source, func() { _ = conn.Close() })
			s.t.Go(func() error {
				s.serve(conn, held)
				return nil
			})
		}
	})
}

// Stop ends the server and closes the connections of all sessions.
func (s *Server) Stop() {
	s.t.Kill(nil)
	s.mu.Lock()
	for _, c := range s.sessions {
		_ = c.conn.Close()
		// Ends a wait for memory.
		c.budget.Close()
	}
	s.mu.Unlock()
	_ = s.t.Wait()
}

// Drain refuses new sessions, lets running requests and transactions finish,
// and sends every idle session a shutdown error. Then, or after limit, it
// stops the server.
func (s *Server) Drain(limit time.Duration) {
	s.mu.Lock()
	s.draining = true
	for _, c := range s.sessions {
		c.interruptIdle()
	}
	s.mu.Unlock()
	deadline := s.Clock.After(limit)
	ticker := s.Clock.Ticker(10 * time.Millisecond)
	defer ticker.Stop()
	for s.Sessions() > 0 {
		select {
		case <-deadline:
			s.Stop()
			return
		case <-ticker.C:
		}
	}
	s.Stop()
}

// Sessions returns the number of open sessions.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// Cancel cancels the current request of the session with the given key. It
// reports whether this host has that session.
func (s *Server) Cancel(pid, secret uint32) bool {
	s.mu.Lock()
	c := s.sessions[sessionKey{pid, secret}]
	s.mu.Unlock()
	if c == nil {
		return false
	}
	c.cancelRequest()
	return true
}

// register gives the session a random key and adds it to the sessions of the
// server. It fails while the server drains.
func (s *Server) register(c *callerSession) error {
	key := make([]byte, 8)
	if _, err := rand.Read(key); err != nil {
		return fmt.Errorf("session key: %w", err)
	}
	c.key = sessionKey{binary.BigEndian.Uint32(key), binary.BigEndian.Uint32(key[4:])}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return result.New(result.ShuttingDown, "the entry host is shutting down; connect to another")
	}
	s.sessions[c.key] = c
	return nil
}

func (s *Server) unregister(c *callerSession) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, c.key)
}

// errDisconnect closes a session without an error message: the caller has
// disconnected, or can get no further message.
var errDisconnect = errors.New("connection closed without a message")

func (s *Server) serve(conn net.Conn, held *budget.Conn) {
	defer conn.Close()
	ctx, stop := context.WithCancel(s.t.Context(context.Background()))
	defer stop()
	c := newSession(s, conn)
	c.budget = held
	defer held.Close()
	if err := c.handshake(); err != nil {
		c.sendFatal(err)
		return
	}
	defer s.Release(c.account)
	defer s.unregister(c)
	c.serveRequests(ctx)
	c.rollBackTransaction()
}

// defaultMessageTimeout is three times the longest request of the contract.
const defaultMessageTimeout = 30 * time.Second

func (s *Server) messageTimeout() time.Duration {
	if s.MessageTimeout == 0 {
		return defaultMessageTimeout
	}
	return s.MessageTimeout
}

// defaultCancelsPerS is the default of Server.CancelsPerS. Callers cancel a request when they
// give up on it, which is rare; each one costs a message to every host.
const defaultCancelsPerS = 100

// cancelLimit counts the cancel requests that were forwarded in the current second.
type cancelLimit struct {
	mu     sync.Mutex
	second int64
	n      int
}

// take reports whether another cancel request may be forwarded.
func (l *cancelLimit) take(now time.Time, perSecond int) bool {
	if perSecond == 0 {
		perSecond = defaultCancelsPerS
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second, l.n = s, 0
	}
	l.n++
	return l.n <= perSecond
}
