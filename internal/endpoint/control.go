package endpoint

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/benbjohnson/clock"
	"github.com/jackc/pgx/v5/pgconn"
	"gopkg.in/tomb.v2"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	pollInterval = 100 * time.Millisecond
	pollTimeout  = 2 * time.Second
	redialDelay  = 100 * time.Millisecond
	readyCheck   = 5 * time.Second
)

// Control watches one member and carries out the actions meant for it. The
// exported fields are set before Run.
type Control struct {
	Member core.Member
	Dialer Dialer
	Clock  clock.Clock
	// Deliver takes the events that come from the member.
	Deliver func(core.Event)

	mu    sync.Mutex
	rtt   time.Duration
	ready *pgconn.PgConn
}

type controlRequest struct {
	Term    session.Term `json:"term,omitempty"`
	Nonce   core.Nonce   `json:"nonce,omitempty"`
	Address string       `json:"address,omitempty"`
	Host    string       `json:"host,omitempty"`
}

type controlAnswer struct {
	OK     bool              `json:"ok"`
	Status core.MemberStatus `json:"status"`
}

// Run starts the watch and the poll; both end with t.
func (c *Control) Run(t *tomb.Tomb) {
	ctx := t.Context(context.Background())
	t.Go(func() error { return c.loop(ctx, c.poll) })
	t.Go(func() error { return c.loop(ctx, c.watch) })
	t.Go(func() error { return c.keepReady(ctx) })
}

// RTT returns the smoothed time that a status question takes.
func (c *Control) RTT() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rtt
}

func (c *Control) loop(ctx context.Context, once func(context.Context) error) error {
	for {
		err := once(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			c.Deliver(core.MemberLost{Member: c.Member.ID})
		}
		select {
		case <-ctx.Done():
			return nil
		case <-c.Clock.After(redialDelay):
		}
	}
}

func (c *Control) dial(ctx context.Context) (*pgconn.PgConn, error) {
	return c.Dialer.connect(ctx, controlUser, c.Member.Address, "control")
}

// poll asks for the status again and again, so that its age is known.
func (c *Control) poll(ctx context.Context) error {
	conn, err := c.dial(ctx)
	if err != nil {
		return err
	}
	defer closeConn(conn)
	ticker := c.Clock.Ticker(pollInterval)
	defer ticker.Stop()
	for {
		sent := c.Clock.Now()
		a, err := call(ctx, conn, "status", controlRequest{})
		if err != nil {
			return err
		}
		c.measure(c.Clock.Since(sent))
		c.Deliver(core.StatusReceived{Member: c.Member.ID, Status: a.Status, SentAt: sent})
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (c *Control) measure(d time.Duration) {
	const weight = 8
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rtt == 0 {
		c.rtt = d
	}
	c.rtt += (d - c.rtt) / weight
}

// watch takes the reports that the member sends at each change.
func (c *Control) watch(ctx context.Context) error {
	conn, err := c.dial(ctx)
	if err != nil {
		return err
	}
	defer closeConn(conn)
	r, w := io.Pipe()
	defer r.Close()
	go func() {
		_, err := conn.CopyTo(ctx, w, "COPY cumintrestle_watch TO STDOUT")
		if err == nil {
			err = io.EOF
		}
		_ = w.CloseWithError(err)
	}()
	lines := bufio.NewReader(r)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return fmt.Errorf("watch %s: %w", c.Member.ID, err)
		}
		var st core.MemberStatus
		if err := json.Unmarshal(line, &st); err != nil {
			return fmt.Errorf("watch %s: %w", c.Member.ID, err)
		}
		c.Deliver(core.StatusReceived{Member: c.Member.ID, Status: st})
	}
}

// Do carries out one action of the core and delivers the answer.
func (c *Control) Do(ctx context.Context, a core.Action, primaryAddress string) {
	switch a := a.(type) {
	case core.SendFence:
		r, err := c.once(ctx, "fence", controlRequest{Term: a.Term, Nonce: a.Nonce})
		if err == nil {
			c.Deliver(core.FenceAnswered{Member: a.Member, Term: a.Term, Nonce: a.Nonce, OK: r.OK, Status: r.Status})
		}
	case core.SendPromote:
		r, err := c.once(ctx, "promote", controlRequest{Term: a.Term, Nonce: a.Nonce})
		if err == nil {
			c.Deliver(core.PromoteAnswered{Member: a.Member, Term: a.Term, Nonce: a.Nonce, OK: r.OK, Status: r.Status})
		}
	case core.SendFollow:
		r, err := c.once(ctx, "follow", controlRequest{Term: a.Term, Address: primaryAddress})
		if err == nil {
			c.Deliver(core.StatusReceived{Member: a.Member, Status: r.Status})
		}
	}
}

// Evict ends the connections of another entry host's run and bars new ones.
func (c *Control) Evict(ctx context.Context, host string) error {
	_, err := c.once(ctx, "evict", controlRequest{Host: host})
	return err
}

// once makes one call on a connection of its own: a call must not wait behind
// a question that a frozen member does not answer. One connection is kept
// ready, for setting one up takes several round trips in a failover.
func (c *Control) once(ctx context.Context, name string, req controlRequest) (controlAnswer, error) {
	conn := c.takeReady()
	if conn == nil {
		var err error
		if conn, err = c.dial(ctx); err != nil {
			return controlAnswer{}, err
		}
	}
	a, err := call(ctx, conn, name, req)
	if err != nil || !c.putReady(conn) {
		closeConn(conn)
	}
	return a, err
}

func (c *Control) takeReady() *pgconn.PgConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.ready
	c.ready = nil
	return conn
}

// putReady keeps a connection for the next call, if none is kept.
func (c *Control) putReady(conn *pgconn.PgConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ready != nil {
		return false
	}
	c.ready = conn
	return true
}

// keepReady makes sure that a connection is ready for the next call, and that
// it still works.
func (c *Control) keepReady(ctx context.Context) error {
	for ctx.Err() == nil {
		conn := c.takeReady()
		if conn == nil {
			conn, _ = c.dial(ctx)
		}
		if conn != nil {
			_, err := call(ctx, conn, "status", controlRequest{})
			if err != nil || !c.putReady(conn) {
				closeConn(conn)
			}
		}
		select {
		case <-ctx.Done():
		case <-c.Clock.After(readyCheck):
		}
	}
	if conn := c.takeReady(); conn != nil {
		closeConn(conn)
	}
	return nil
}

func call(ctx context.Context, conn *pgconn.PgConn, name string, req controlRequest) (controlAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	body, err := json.Marshal(req)
	if err != nil {
		return controlAnswer{}, fmt.Errorf("%s: %w", name, err)
	}
	sql := "SELECT cumintrestle_" + name + "('" + strings.ReplaceAll(string(body), "'", "''") + "')"
	results, err := conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return controlAnswer{}, fmt.Errorf("%s: %w", name, err)
	}
	if len(results) != 1 || len(results[0].Rows) != 1 || len(results[0].Rows[0]) != 1 {
		return controlAnswer{}, fmt.Errorf("%s: unexpected answer", name)
	}
	var a controlAnswer
	if err := json.Unmarshal(results[0].Rows[0][0], &a); err != nil {
		return controlAnswer{}, fmt.Errorf("%s: %w", name, err)
	}
	return a, nil
}

func closeConn(conn *pgconn.PgConn) {
	_ = conn.Conn().Close()
}
