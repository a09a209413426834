package peer

import (
	"context"
	"fmt"
	"net/http"

	"github.com/coder/websocket"
)

// link is the outgoing connection to one peer, with its send queue.
type link struct {
	address string
	send    chan []byte
	cancel  context.CancelFunc
}

// trySend queues a message, or drops it if the queue is full. Heartbeats repeat
// their content, so a lost one needs no resend.
func (l *link) trySend(body []byte) {
	select {
	case l.send <- body:
	default:
	}
}

// maintainLink redials the peer until ctx ends.
func (m *Mesh) maintainLink(ctx context.Context, l *link) {
	for ctx.Err() == nil {
		_ = m.runConnection(ctx, l)
		select {
		case <-ctx.Done():
		case <-m.Clock.After(redialDelay):
		}
	}
}

// runConnection dials the peer and writes the queued messages until the
// connection breaks.
func (m *Mesh) runConnection(ctx context.Context, l *link) error {
	opts := &websocket.DialOptions{
		HTTPClient: &http.Client{Transport: &http.Transport{DialContext: m.DialContext}},
		HTTPHeader: http.Header{"Authorization": {"Bearer " + m.Credential}},
	}
	dialCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	conn, resp, err := websocket.Dial(dialCtx, "ws://"+l.address+"/peer", opts)
	if resp != nil && resp.Body != nil {
		defer resp.Body.Close()
	}
	if err != nil {
		return fmt.Errorf("peer %s: %w", l.address, err)
	}
	defer conn.CloseNow()
	closed := conn.CloseRead(ctx)
	for {
		select {
		case <-closed.Done():
			return closed.Err()
		case body := <-l.send:
			if err := m.write(ctx, conn, body); err != nil {
				return err
			}
		}
	}
}

func (m *Mesh) write(ctx context.Context, conn *websocket.Conn, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := conn.Write(ctx, websocket.MessageBinary, body); err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	m.mu.Lock()
	m.sentBytes += int64(len(body))
	m.mu.Unlock()
	return nil
}
