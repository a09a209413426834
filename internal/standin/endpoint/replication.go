package endpoint

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	streamHeartbeat = 100 * time.Millisecond
	watchHeartbeat  = time.Second
	streamSilence   = time.Second
	followRetry     = 50 * time.Millisecond
)

// streamRequest is what a replica asks of its primary.
type streamRequest struct {
	Term  session.Term    `json:"term"`
	Terms []session.Point `json:"terms"`
}

// streamMessage is one message from a primary to a replica.
type streamMessage struct {
	Term   session.Term      `json:"term"`
	Keep   *session.Position `json:"keep,omitempty"`
	Entry  *entry            `json:"entry,omitempty"`
	SentAt time.Time         `json:"-"`
}

// followLoop keeps a stream from the primary that the node follows.
func (n *Node) followLoop() error {
	for {
		n.mu.Lock()
		changed, from, term := n.changed, n.from, n.follows
		req := streamRequest{Term: term, Terms: n.log.terms()}
		n.mu.Unlock()
		if from != "" {
			_ = n.followOnce(from, req)
		}
		select {
		case <-n.t.Dying():
			return nil
		case <-changed:
		case <-n.Clock.After(followRetry):
		}
	}
}

func (n *Node) followOnce(from string, req streamRequest) error {
	ctx, cancel := context.WithCancel(n.t.Context(context.Background()))
	defer cancel()
	go n.cancelWhenMoved(ctx, cancel, from, req.Term)
	conn, err := n.dialControl(ctx, from)
	if err != nil {
		return err
	}
	defer conn.Conn().Close()
	body, err := json.Marshal(req)
	if err != nil {
		return fmt.Errorf("stream request: %w", err)
	}
	r, w := io.Pipe()
	go func() {
		_, err := conn.CopyTo(ctx, w, "COPY cumintrestle_stream "+quote(string(body))+" TO STDOUT")
		_ = w.CloseWithError(err)
	}()
	timer := n.Clock.AfterFunc(streamSilence, cancel)
	defer timer.Stop()
	lines := bufio.NewReaderSize(r, 1<<16)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			cancel()
			return fmt.Errorf("stream: %w", err)
		}
		timer.Reset(streamSilence)
		var m streamMessage
		if err := json.Unmarshal(line, &m); err != nil {
			return fmt.Errorf("stream message: %w", err)
		}
		if err := n.receive(from, m); err != nil {
			return err
		}
	}
}

// cancelWhenMoved ends a stream as soon as the node is to follow another
// primary: one that is silent must not be waited for.
func (n *Node) cancelWhenMoved(ctx context.Context, cancel context.CancelFunc, from string, term session.Term) {
	for {
		n.mu.Lock()
		changed := n.changed
		moved := n.from != from || n.follows != term
		n.mu.Unlock()
		if moved {
			cancel()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// receive takes one message of the stream, unless the node was fenced since.
func (n *Node) receive(from string, m streamMessage) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.follows != m.Term || n.fenced != m.Term || n.from != from {
		return fmt.Errorf("stream of term %d is over", m.Term)
	}
	n.heardAt = n.Clock.Now()
	if m.Keep != nil {
		return n.rollBack(*m.Keep)
	}
	if m.Entry == nil {
		return nil
	}
	if m.Entry.Point.Position != n.log.last().Position+1 {
		return fmt.Errorf("entry %s does not follow %s", m.Entry.Point, n.log.last())
	}
	m.Entry.receivedAt = n.heardAt
	n.log.entries = append(n.log.entries, *m.Entry)
	n.notify()
	return nil
}

// rollBack drops the entries after keep, which no primary has any more. The
// caller holds mu.
func (n *Node) rollBack(keep session.Position) error {
	if keep >= n.log.last().Position {
		return nil
	}
	n.log.truncate(keep)
	defer n.notify()
	if n.applied <= keep {
		return nil
	}
	e, err := newEngine(n.Slots)
	if err != nil {
		return err
	}
	n.engine = e
	n.applied = 0
	for _, x := range n.log.entries {
		if err := e.apply(x.Statements); err != nil {
			return err
		}
		n.applied = x.Point.Position
	}
	return nil
}

// applyAll applies every entry of the log at once. The caller holds mu.
func (n *Node) applyAll() error {
	for int(n.applied) < len(n.log.entries) {
		if err := n.engine.apply(n.log.entries[n.applied].Statements); err != nil {
			return err
		}
		n.applied++
	}
	return nil
}

// applyLoop applies received entries when their lag is over.
func (n *Node) applyLoop() error {
	for {
		n.mu.Lock()
		changed := n.changed
		wait := n.applyDue()
		n.mu.Unlock()
		var due <-chan time.Time
		if wait > 0 {
			due = n.Clock.After(wait)
		}
		select {
		case <-n.t.Dying():
			return nil
		case <-changed:
		case <-due:
		}
	}
}

// applyDue applies what is due and returns the wait for the next entry, or 0.
// The caller holds mu.
func (n *Node) applyDue() time.Duration {
	moved := false
	defer func() {
		if moved {
			n.notify()
		}
	}()
	for int(n.applied) < len(n.log.entries) {
		e := n.log.entries[n.applied]
		wait := n.applyLag - n.Clock.Since(e.receivedAt)
		if wait > 0 {
			return wait
		}
		if err := n.engine.apply(e.Statements); err != nil {
			return followRetry
		}
		n.applied++
		moved = true
	}
	return 0
}

// stream sends entries to one replica until the term or the session ends.
func (n *Node) stream(req streamRequest, send func([]byte) error, done <-chan struct{}) error {
	put := func(m streamMessage) error {
		body, err := json.Marshal(m)
		if err != nil {
			return fmt.Errorf("stream message: %w", err)
		}
		return send(append(body, '\n'))
	}
	n.mu.Lock()
	next := n.log.common(req.Terms)
	n.mu.Unlock()
	if err := put(streamMessage{Term: req.Term, Keep: &next}); err != nil {
		return err
	}
	for {
		n.mu.Lock()
		if n.leads != req.Term || n.fenced != req.Term {
			n.mu.Unlock()
			return errReadOnly
		}
		changed, lag := n.changed, n.sendLag
		ready := append([]entry(nil), n.log.entries[min(int(next), len(n.log.entries)):]...)
		n.mu.Unlock()
		if lag > 0 && len(ready) > 0 {
			select {
			case <-done:
				return nil
			case <-n.t.Dying():
				return nil
			case <-n.Clock.After(lag):
			}
		}
		for i := range ready {
			if err := put(streamMessage{Term: req.Term, Entry: &ready[i]}); err != nil {
				return err
			}
			next = ready[i].Point.Position
		}
		if len(ready) > 0 {
			continue
		}
		select {
		case <-done:
			return nil
		case <-n.t.Dying():
			return nil
		case <-changed:
		case <-n.Clock.After(streamHeartbeat):
			if err := put(streamMessage{Term: req.Term}); err != nil {
				return err
			}
		}
	}
}

// dialControl opens a control connection to another node.
func (n *Node) dialControl(ctx context.Context, addr string) (*pgconn.PgConn, error) {
	cfg, err := pgconn.ParseConfig("postgres://" + ControlUser + "@" + addr + "/control?sslmode=disable&connect_timeout=2")
	if err != nil {
		return nil, fmt.Errorf("address %s: %w", addr, err)
	}
	cfg.Password = n.Password
	if n.BindIP != "" {
		d := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(n.BindIP)}}
		cfg.DialFunc = d.DialContext
	}
	conn, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, fmt.Errorf("control connection: %w", err)
	}
	return conn, nil
}
