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

	"github.com/cumintrestle/cumintrestle/internal/endpoint"
	"github.com/cumintrestle/cumintrestle/pkg/result"
	"github.com/cumintrestle/cumintrestle/pkg/session"
	"github.com/cumintrestle/cumintrestle/pkg/template"
)

// Server accepts callers. The exported fields are set before Run.
type Server struct {
	// Account looks up a template.
	Account func(template.Account) (template.Template, bool)
	// Group returns the runner of a database group, or nil.
	Group func(session.Group) *endpoint.Group
	// Admit takes one connection of an account's cap, or refuses; Leave gives
	// it back.
	Admit func(template.Account) error
	Leave func(template.Account)
	// ForwardCancel passes a cancel request on to the other entry hosts.
	ForwardCancel func(pid, secret uint32)
	// Observe is told how each request went.
	Observe func(Outcome)

	Dialer        endpoint.Dialer
	Clock         clock.Clock
	StatementWait time.Duration
	AckWait       time.Duration
	ReadWait      time.Duration
	Reads         ReadPolicy
	Retries       *RetryBudget

	t        tomb.Tomb
	mu       sync.Mutex
	sessions map[sessionKey]*callerSession
	draining bool
}

type sessionKey struct{ pid, secret uint32 }

// Kind tells what a request was.
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
	Replica bool
	// Lawful is true for a read that some replica could have served.
	Lawful bool
	// Acked is the point of an acknowledged write, or zero.
	Acked session.Point
	Took  time.Duration
}

// Run serves callers that connect to ln until Drain or Stop.
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
			s.t.Go(func() error {
				s.serve(conn)
				return nil
			})
		}
	})
}

// Stop ends the server; sessions that are not finished are cut.
func (s *Server) Stop() {
	s.t.Kill(nil)
	s.mu.Lock()
	for _, c := range s.sessions {
		_ = c.conn.Close()
	}
	s.mu.Unlock()
	_ = s.t.Wait()
}

// Drain takes no new connection, lets every request and transaction finish,
// tells each caller that is between two that the host leaves, and then stops.
func (s *Server) Drain(limit time.Duration) {
	s.mu.Lock()
	s.draining = true
	for _, c := range s.sessions {
		c.nudge()
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

// Sessions counts the callers connected now.
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

// Cancel cancels what runs for the session with the given key, if it is here.
func (s *Server) Cancel(pid, secret uint32) bool {
	s.mu.Lock()
	c := s.sessions[sessionKey{pid, secret}]
	s.mu.Unlock()
	if c == nil {
		return false
	}
	c.cancel()
	return true
}

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

// errHangUp ends a session without a message.
var errHangUp = errors.New("caller hung up")

func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	ctx, stop := context.WithCancel(s.t.Context(context.Background()))
	defer stop()
	c := newSession(s, conn)
	if err := c.start(); err != nil {
		c.refuse(err)
		return
	}
	defer s.Leave(c.account)
	defer s.unregister(c)
	c.loop(ctx)
	c.dropTransaction()
}
