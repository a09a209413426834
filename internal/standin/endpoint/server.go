package endpoint

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"encoding/binary"
	"fmt"
	"net"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// ControlUser is the user name of control sessions. They do not count toward the
// connection limit.
const ControlUser = "cumintrestle_control"

// ServiceUser is the user name of data sessions, which run callers' statements.
const ServiceUser = "cumintrestle"

func (n *Node) acceptLoop(ln net.Listener) error {
	n.t.Go(func() error {
		<-n.t.Dying()
		return ln.Close()
	})
	for {
		conn, err := ln.Accept()
		if err != nil {
			return nil
		}
		n.t.Go(func() error {
			n.serve(conn)
			return nil
		})
	}
}

// serve runs a connection from the startup message to its end.
func (n *Node) serve(conn net.Conn) {
	defer conn.Close()
	defer context.AfterFunc(n.t.Context(context.Background()), func() { _ = conn.Close() })()
	out := &answerWriter{conn: conn}
	be := pgproto3.NewBackend(conn, out)
	var start *pgproto3.StartupMessage
	for start == nil {
		m, err := be.ReceiveStartupMessage()
		if err != nil {
			return
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := conn.Write([]byte("N")); err != nil {
				return
			}
		case *pgproto3.CancelRequest:
			n.cancel(m.ProcessID, binary.BigEndian.Uint32(m.SecretKey))
			return
		case *pgproto3.StartupMessage:
			start = m
		default:
			return
		}
	}
	s := &pgSession{node: n, conn: conn, out: out, be: be, done: make(chan struct{})}
	s.control = start.Parameters["user"] == ControlUser
	s.host, _, _ = strings.Cut(start.Parameters["application_name"], " ")
	if err := s.authenticate(); err != nil {
		return
	}
	if err := n.admit(s); err != nil {
		s.sendError("53300", err.Error())
		_ = be.Flush()
		return
	}
	defer n.removeSession(s)
	s.run()
}

func (s *pgSession) authenticate() error {
	s.be.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := s.be.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return fmt.Errorf("authentication: %w", err)
	}
	if err := s.be.Flush(); err != nil {
		return fmt.Errorf("authentication: %w", err)
	}
	m, err := s.be.Receive()
	if err != nil {
		return fmt.Errorf("authentication: %w", err)
	}
	p, ok := m.(*pgproto3.PasswordMessage)
	if !ok || subtle.ConstantTimeCompare([]byte(p.Password), []byte(s.node.Password)) != 1 {
		s.sendError("28P01", "password authentication failed")
		_ = s.be.Flush()
		return fmt.Errorf("authentication failed")
	}
	s.be.Send(&pgproto3.AuthenticationOk{})
	return nil
}

// admit registers the session and assigns its process ID and secret key. It
// refuses data sessions of an evicted host, on a leaving node, or above the
// connection limit.
func (n *Node) admit(s *pgSession) error {
	if !s.control && n.ConnectDelay > 0 {
		select {
		case <-n.Clock.After(n.ConnectDelay):
		case <-n.t.Dying():
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	open := 0
	for _, o := range n.sessions {
		if !o.control {
			open++
		}
	}
	if !s.control {
		if n.isEvicted(s.host) {
			return fmt.Errorf("host %s was evicted", s.host)
		}
		if n.leaving {
			return fmt.Errorf("the endpoint is leaving")
		}
		if open >= n.MaxSessions {
			return fmt.Errorf("too many connections")
		}
		n.peakSessions = max(n.peakSessions, open+1)
	}
	n.nextPID++
	s.pid = n.nextPID
	secret := make([]byte, 4)
	if _, err := rand.Read(secret); err != nil {
		return fmt.Errorf("secret: %w", err)
	}
	s.secret = binary.BigEndian.Uint32(secret)
	n.sessions[s.pid] = s
	return nil
}

// removeSession unregisters a session and rolls back its open transaction.
func (n *Node) removeSession(s *pgSession) {
	n.mu.Lock()
	delete(n.sessions, s.pid)
	n.mu.Unlock()
	close(s.done)
	s.rollback()
}

// evict closes the data sessions of one run of an entry host and refuses new
// ones. A restarted host connects under a new run ID and is not affected.
func (n *Node) evict(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.evicted[host] = true
	for _, s := range n.sessions {
		if !s.control && n.isEvicted(s.host) {
			_ = s.conn.Close()
		}
	}
}

// isEvicted reports whether a run of an entry host was evicted. A host that uses
// a borrowed share connects as "lender/borrower/number" and is also evicted with
// its lender. The caller must hold mu.
func (n *Node) isEvicted(host string) bool {
	lender, _, _ := strings.Cut(host, "/")
	return n.evicted[host] || n.evicted[lender]
}

// cancel interrupts the running statement of a session if the secret key
// matches.
func (n *Node) cancel(pid, secret uint32) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.sessions[pid]
	if s == nil || s.secret != secret {
		return
	}
	select {
	case s.interrupt <- struct{}{}:
	default:
	}
}

// OpenSessions returns the number of open sessions, without control sessions.
func (n *Node) OpenSessions() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	open := 0
	for _, s := range n.sessions {
		if !s.control {
			open++
		}
	}
	return open
}

// sendError sends an ErrorResponse with an SQLSTATE code.
func (s *pgSession) sendError(state, text string) {
	s.be.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: state, Message: text})
}

func quote(s string) string {
	return "'" + strings.ReplaceAll(s, "'", "''") + "'"
}

// rowCountTag returns the command tag of a statement with its number of rows.
func rowCountTag(verb string, n int) string {
	if verb == "INSERT" {
		return "INSERT 0 " + strconv.Itoa(n)
	}
	return verb + " " + strconv.Itoa(n)
}
