package endpoint

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
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
	pollInterval       = 100 * time.Millisecond
	callTimeout        = 2 * time.Second
	redialDelay        = 100 * time.Millisecond
	spareCheckInterval = 5 * time.Second
)

// Control monitors one member and runs control calls on it. The exported
// fields are set before Run.
type Control struct {
	Member core.Member
	Dialer Dialer
	Clock  clock.Clock
	// OnEvent is called with each event from the member.
	OnEvent func(core.Event)

	mu  sync.Mutex
	rtt time.Duration
	// spare is an open connection for the next control call, or nil.
	spare *pgconn.PgConn
}

type controlRequest struct {
	Term    session.Term `json:"term,omitempty"`
	Nonce   core.Nonce   `json:"nonce,omitempty"`
	Address string       `json:"address,omitempty"`
	Host    string       `json:"host,omitempty"`
}

type controlResponse struct {
	OK     bool              `json:"ok"`
	Status core.MemberStatus `json:"status"`
}

// Run starts the monitoring of the member, which ends when t dies.
func (c *Control) Run(t *tomb.Tomb) {
	ctx := t.Context(context.Background())
	t.Go(func() error { return c.runWithRedial(ctx, c.poll) })
	t.Go(func() error { return c.runWithRedial(ctx, c.watch) })
	t.Go(func() error { return c.maintainSpare(ctx) })
}

// RTT returns the smoothed round-trip time of status requests.
func (c *Control) RTT() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rtt
}

// runWithRedial runs attempt until ctx ends, with redialDelay between two
// runs. It reports each error as the loss of the member, except for a connection
// that is out of step: the member is there.
func (c *Control) runWithRedial(ctx context.Context, attempt func(context.Context) error) error {
	for {
		err := attempt(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil && !errors.Is(err, errOutOfStep) {
			c.OnEvent(core.MemberLost{Member: c.Member.ID})
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

// poll requests the status at intervals. The time of the request is a bound
// on the age of the status, which pushed reports lack.
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
		resp, err := call(ctx, conn, "status", controlRequest{})
		if err != nil {
			return err
		}
		c.recordRTT(c.Clock.Since(sent))
		c.OnEvent(core.StatusReceived{Member: c.Member.ID, Status: resp.Status, SentAt: sent})
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (c *Control) recordRTT(d time.Duration) {
	const ewmaDivisor = 8
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rtt == 0 {
		c.rtt = d
	}
	c.rtt += (d - c.rtt) / ewmaDivisor
}

// watch receives the status reports that the member pushes on each change.
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
		c.OnEvent(core.StatusReceived{Member: c.Member.ID, Status: st})
	}
}

// Execute carries out one action of the core and reports the member's
// response as an event. A failed call reports nothing.
func (c *Control) Execute(ctx context.Context, a core.Action, primaryAddress string) {
	switch a := a.(type) {
	case core.SendFence:
		resp, err := c.callOnSpare(ctx, "fence", controlRequest{Term: a.Term, Nonce: a.Nonce})
		if err == nil {
			c.OnEvent(core.FenceAnswered{Member: a.Member, Term: a.Term, Nonce: a.Nonce, OK: resp.OK, Status: resp.Status})
		}
	case core.SendPromote:
		resp, err := c.callOnSpare(ctx, "promote", controlRequest{Term: a.Term, Nonce: a.Nonce})
		if err == nil {
			c.OnEvent(core.PromoteAnswered{Member: a.Member, Term: a.Term, Nonce: a.Nonce, OK: resp.OK, Status: resp.Status})
		}
	case core.SendFollow:
		resp, err := c.callOnSpare(ctx, "follow", controlRequest{Term: a.Term, Address: primaryAddress})
		if err == nil {
			c.OnEvent(core.StatusReceived{Member: a.Member, Status: resp.Status})
		}
	}
}

// Evict makes the member close the connections of another entry host run and
// refuse new ones from it.
func (c *Control) Evict(ctx context.Context, host string) error {
	_, err := c.callOnSpare(ctx, "evict", controlRequest{Host: host})
	return err
}

// callOnSpare makes a control call on a connection of its own, because a call
// must not wait behind a status request that a frozen member does not answer.
// A spare connection is kept open, since opening one takes several round
// trips and would delay a failover.
func (c *Control) callOnSpare(ctx context.Context, name string, req controlRequest) (controlResponse, error) {
	conn := c.takeSpare()
	if conn == nil {
		var err error
		if conn, err = c.dial(ctx); err != nil {
			return controlResponse{}, err
		}
	}
	resp, err := call(ctx, conn, name, req)
	if err != nil || !c.putSpare(conn) {
		closeConn(conn)
	}
	return resp, err
}

func (c *Control) takeSpare() *pgconn.PgConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.spare
	c.spare = nil
	return conn
}

// putSpare keeps conn as the spare connection. It reports false if there is
// one already.
func (c *Control) putSpare(conn *pgconn.PgConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.spare != nil {
		return false
	}
	c.spare = conn
	return true
}

// maintainSpare opens the spare connection when there is none, and checks at
// intervals that it still works.
func (c *Control) maintainSpare(ctx context.Context) error {
	for ctx.Err() == nil {
		conn := c.takeSpare()
		if conn == nil {
			conn, _ = c.dial(ctx)
		}
		if conn != nil {
			_, err := call(ctx, conn, "status", controlRequest{})
			if err != nil || !c.putSpare(conn) {
				closeConn(conn)
			}
		}
		select {
		case <-ctx.Done():
		case <-c.Clock.After(spareCheckInterval):
		}
	}
	if conn := c.takeSpare(); conn != nil {
		closeConn(conn)
	}
	return nil
}

// call runs one control function on the member. The response is a column whose name the call
// has chosen, which tells it from a second response to an earlier call.
func call(ctx context.Context, conn *pgconn.PgConn, name string, req controlRequest) (controlResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := json.Marshal(req)
	if err != nil {
		return controlResponse{}, fmt.Errorf("%s: %w", name, err)
	}
	column := fmt.Sprintf("call_%016x", rand.Uint64())
	sql := "SELECT cumintrestle_" + name + "('" + strings.ReplaceAll(string(body), "'", "''") + "') AS " + column
	results, err := conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return controlResponse{}, fmt.Errorf("%s: %w", name, err)
	}
	if len(results) != 1 || len(results[0].FieldDescriptions) != 1 || results[0].FieldDescriptions[0].Name != column {
		return controlResponse{}, fmt.Errorf("%s: %w", name, errOutOfStep)
	}
	if len(results[0].Rows) != 1 || len(results[0].Rows[0]) != 1 {
		return controlResponse{}, fmt.Errorf("%s: unexpected result", name)
	}
	var resp controlResponse
	if err := json.Unmarshal(results[0].Rows[0][0], &resp); err != nil {
		return controlResponse{}, fmt.Errorf("%s: %w", name, err)
	}
	return resp, nil
}

func closeConn(conn *pgconn.PgConn) {
	_ = conn.Conn().Close()
}
