package endpoint

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/internal/pgframe"
)

// maxPrepared is the number of prepared statements above which a connection
// is not reused.
const maxPrepared = 256

// Conn is a connection to an endpoint that carries callers' statements. Each request is
// followed by a marker; see InStep.
type Conn struct {
	Member   core.MemberID
	Frontend *pgproto3.Frontend
	// reader asks the function set by SetAdmit before each message of the endpoint.
	reader     *pgframe.Reader
	net        net.Conn
	pid        uint32
	secret     []byte
	prepared   map[string]bool
	step       step
	acquiredAt time.Time

	// cancelMu guards inUse. Cancel holds it until the endpoint has processed
	// the cancel request.
	cancelMu sync.Mutex
	inUse    bool
}

func (d Dialer) open(ctx context.Context, m core.Member, database string) (*Conn, error) {
	var reader *pgframe.Reader
	pc, err := d.connectThrough(ctx, serviceUser, m.Address, database, func(r io.Reader) io.Reader {
		reader = pgframe.NewReader(r)
		return reader
	})
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
		reader:   reader,
		net:      h.Conn,
		pid:      h.PID,
		secret:   h.SecretKey,
		prepared: make(map[string]bool),
		step:     newStep(),
	}, nil
}

// SetAdmit sets the function that is called with the size of each message of the endpoint
// before it is read; nil removes it.
func (c *Conn) SetAdmit(f func(size int) error) { c.reader.Admit = f }

// HasPrepared reports whether a statement is prepared on the connection.
func (c *Conn) HasPrepared(name string) bool { return c.prepared[name] }

// MarkPrepared records that a statement is prepared on the connection.
func (c *Conn) MarkPrepared(name string) { c.prepared[name] = true }

// TooManyPrepared reports whether the connection has too many prepared
// statements to be reused.
func (c *Conn) TooManyPrepared() bool { return len(c.prepared) > maxPrepared }

// SetDeadline sets the deadline for reads and writes; the zero time means
// none.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.net.SetDeadline(t); err != nil {
		return fmt.Errorf("deadline: %w", err)
	}
	return nil
}

// Close closes the connection. The endpoint rolls back an open transaction.
func (c *Conn) Close() { _ = c.net.Close() }

// beginUse and endUse delimit the time in which Cancel has an effect.
func (c *Conn) beginUse(now time.Time) {
	c.cancelMu.Lock()
	defer c.cancelMu.Unlock()
	c.inUse = true
	c.acquiredAt = now
}

func (c *Conn) endUse() {
	c.cancelMu.Lock()
	defer c.cancelMu.Unlock()
	c.inUse = false
}

// Cancel cancels the statement that runs on c. It returns once the endpoint
// has processed the cancel request, at the latest after connectTimeout. Until
// then c cannot be released, so that a late cancel does not hit the next user
// of the connection.
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
	// The endpoint closes the connection after it processed the request.
	_, _ = conn.Read(make([]byte, 1))
	return nil
}
