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
	streamHeartbeatInterval = 100 * time.Millisecond
	watchHeartbeatInterval  = time.Second
	streamTimeout           = time.Second           // without a message
	retryInterval           = 50 * time.Millisecond // reconnect, or apply after an error
)

// streamRequest is sent by a replica to start a stream. Terms is the last point
// of each term in the replica's log.
type streamRequest struct {
	Term  session.Term    `json:"term"`
	Terms []session.Point `json:"terms"`
}

// streamMessage is one message from a primary to a replica: the position up to
// which the replica keeps its log (Keep, in the first message), an entry, or a
// heartbeat with neither.
type streamMessage struct {
	Term   session.Term      `json:"term"`
	Keep   *session.Position `json:"keep,omitempty"`
	Entry  *entry            `json:"entry,omitempty"`
	SentAt time.Time         `json:"-"`
}

// followLoop replicates from the primary that the node follows, and reconnects
// after an error.
func (n *Node) followLoop() error {
	for {
		n.mu.Lock()
		changed, primaryAddr, term := n.changed, n.primaryAddr, n.followedTerm
		req := streamRequest{Term: term, Terms: n.log.lastOfEachTerm()}
		n.mu.Unlock()
		if primaryAddr != "" {
			_ = n.followOnce(primaryAddr, req)
		}
		select {
		case <-n.t.Dying():
			return nil
		case <-changed:
		case <-n.Clock.After(retryInterval):
		}
	}
}

// followOnce opens a stream from the primary and receives entries until an
// error, a change of primary, or streamTimeout without a message.
func (n *Node) followOnce(primaryAddr string, req streamRequest) error {
	ctx, cancel := context.WithCancel(n.t.Context(context.Background()))
	defer cancel()
	go n.cancelOnPrimaryChange(ctx, cancel, primaryAddr, req.Term)
	conn, err := n.dialControl(ctx, primaryAddr)
	if err != nil {
		return err
	}
	defer conn.Conn().Close()
	body, err := json.Marshal(req)
	if err != nil {
		return fmt.Errorf("encode stream request: %w", err)
	}
	r, w := io.Pipe()
	go func() {
		_, err := conn.CopyTo(ctx, w, "COPY cumintrestle_stream "+quote(string(body))+" TO STDOUT")
		_ = w.CloseWithError(err)
	}()
	timer := n.Clock.AfterFunc(streamTimeout, cancel)
	defer timer.Stop()
	lines := bufio.NewReaderSize(r, 1<<16)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			cancel()
			return fmt.Errorf("read stream: %w", err)
		}
		timer.Reset(streamTimeout)
		var m streamMessage
		if err := json.Unmarshal(line, &m); err != nil {
			return fmt.Errorf("decode stream message: %w", err)
		}
		if err := n.receive(primaryAddr, m); err != nil {
			return err
		}
	}
}

// cancelOnPrimaryChange cancels a stream as soon as the node has to follow
// another primary, so that it does not wait for an old primary that no longer
// responds.
func (n *Node) cancelOnPrimaryChange(ctx context.Context, cancel context.CancelFunc, primaryAddr string, term session.Term) {
	for {
		n.mu.Lock()
		changed := n.changed
		primaryChanged := n.primaryAddr != primaryAddr || n.followedTerm != term
		n.mu.Unlock()
		if primaryChanged {
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

// receive processes one message of the stream. It fails if the node was fenced
// or follows another primary since the stream began.
func (n *Node) receive(primaryAddr string, m streamMessage) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.followedTerm != m.Term || n.fencedTerm != m.Term || n.primaryAddr != primaryAddr {
		return fmt.Errorf("stream of term %d has been replaced", m.Term)
	}
	n.lastMessageAt = n.Clock.Now()
	if m.Keep != nil {
		return n.truncateAfter(*m.Keep)
	}
	if m.Entry == nil {
		return nil
	}
	if m.Entry.Point.Position != n.log.last().Position+1 {
		return fmt.Errorf("entry %s does not follow %s", m.Entry.Point, n.log.last())
	}
	m.Entry.receivedAt = n.lastMessageAt
	n.log.entries = append(n.log.entries, *m.Entry)
	n.notify()
	return nil
}

// truncateAfter removes the entries after position keep, which the primary does
// not have. If some of them were applied, it rebuilds the engine from the log.
// The caller must hold mu.
func (n *Node) truncateAfter(keep session.Position) error {
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

// applyAll applies all entries that are not applied yet, regardless of the apply
// lag. The caller must hold mu.
func (n *Node) applyAll() error {
	for int(n.applied) < len(n.log.entries) {
		if err := n.engine.apply(n.log.entries[n.applied].Statements); err != nil {
			return err
		}
		n.applied++
	}
	return nil
}

// applyLoop applies received entries once the apply lag has passed.
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

// applyDue applies the entries whose apply lag has passed. It returns the time to
// wait for the next one, or 0 if there is none. The caller must hold mu.
func (n *Node) applyDue() time.Duration {
	appliedAny := false
	defer func() {
		if appliedAny {
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
			return retryInterval
		}
		n.applied++
		appliedAny = true
	}
	return 0
}

// stream sends log entries and heartbeats to one replica until the session or
// the node ends, or the node is no longer primary of the requested term.
func (n *Node) stream(req streamRequest, send func([]byte) error, done <-chan struct{}) error {
	sendMessage := func(m streamMessage) error {
		body, err := json.Marshal(m)
		if err != nil {
			return fmt.Errorf("stream message: %w", err)
		}
		return send(append(body, '\n'))
	}
	n.mu.Lock()
	sent := n.log.commonPosition(req.Terms)
	n.mu.Unlock()
	if err := sendMessage(streamMessage{Term: req.Term, Keep: &sent}); err != nil {
		return err
	}
	for {
		n.mu.Lock()
		if n.primaryTerm != req.Term || n.fencedTerm != req.Term {
			n.mu.Unlock()
			return errReadOnly
		}
		changed, lag := n.changed, n.sendLag
		entries := append([]entry(nil), n.log.entries[min(int(sent), len(n.log.entries)):]...)
		n.mu.Unlock()
		if lag > 0 && len(entries) > 0 {
			select {
			case <-done:
				return nil
			case <-n.t.Dying():
				return nil
			case <-n.Clock.After(lag):
			}
		}
		for i := range entries {
			if err := sendMessage(streamMessage{Term: req.Term, Entry: &entries[i]}); err != nil {
				return err
			}
			sent = entries[i].Point.Position
		}
		if len(entries) > 0 {
			continue
		}
		select {
		case <-done:
			return nil
		case <-n.t.Dying():
			return nil
		case <-changed:
		case <-n.Clock.After(streamHeartbeatInterval):
			if err := sendMessage(streamMessage{Term: req.Term}); err != nil {
				return err
			}
		}
	}
}

// dialControl opens a control session on another node.
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
