package endpoint

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cumintrestle/cumintrestle/internal/core"
)

// maxPrepared bounds the prepared statements kept on one connection.
const maxPrepared = 256

// Conn is one connection to an endpoint that carries callers' statements.
type Conn struct {
	Member   core.MemberID
	Frontend *pgproto3.Frontend
	net      net.Conn
	pid      uint32
	secret   []byte
	prepared map[string]bool
	lentAt   time.Time

	cancelMu sync.Mutex
	inUse    bool
}

func (d Dialer) open(ctx context.Context, m core.Member, database string) (*Conn, error) {
	pc, err := d.connect(ctx, serviceUser, m.Address, database)
	if err != nil {
		return nil, err
	}
	h, err := pc.Hijack()
	if err != nil {
		return nil, fmt.Errorf("endpoint connection: %w", err)
	}
	return &Conn{
		Member:   m.ID,
		Frontend: h.Frontend,
		net:      h.Conn,
		pid:      h.PID,
		secret:   h.SecretKey,
		prepared: make(map[string]bool),
	}, nil
}

// Prepared reports whether a statement name stands on the connection.
func (c *Conn) Prepared(name string) bool { return c.prepared[name] }

// NotePrepared records that a statement name stands on the connection.
func (c *Conn) NotePrepared(name string) { c.prepared[name] = true }

// Crowded reports whether the connection carries too many prepared statements
// to be kept.
func (c *Conn) Crowded() bool { return len(c.prepared) > maxPrepared }

// SetDeadline bounds reads and writes on the connection; zero is no bound.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.net.SetDeadline(t); err != nil {
		return fmt.Errorf("deadline: %w", err)
	}
	return nil
}

// Close ends the connection. The endpoint rolls back what was open on it.
func (c *Conn) Close() { _ = c.net.Close() }

// begin and end bracket the time in which a cancel may hit the connection.
func (c *Conn) begin(now time.Time) {
	c.cancelMu.Lock()
	defer c.cancelMu.Unlock()
	c.inUse = true
	c.lentAt = now
}

func (c *Conn) end() {
	c.cancelMu.Lock()
	defer c.cancelMu.Unlock()
	c.inUse = false
}

// Cancel asks the endpoint to cancel what runs on c. It returns when the
// endpoint has taken the request, and c is not handed on before that, so a
// late cancel can't hit the next user.
func (c *Conn) Cancel(ctx context.Context, d Dialer) error {
	c.cancelMu.Lock()
	defer c.cancelMu.Unlock()
	if !c.inUse {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := d.DialContext(ctx, "tcp", c.net.RemoteAddr().String())
	if err != nil {
		return err
	}
	defer conn.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	m := pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}
	buf, err := m.Encode(nil)
	if err != nil {
		return fmt.Errorf("cancel: %w", err)
	}
	if _, err := conn.Write(buf); err != nil {
		return fmt.Errorf("cancel: %w", err)
	}
	// The endpoint closes the connection when it has taken the request.
	_, _ = conn.Read(make([]byte, 1))
	return nil
}
