package peer

import (
	"context"
	"fmt"
	"net/http"

	"github.com/coder/websocket"
)

// link is the outgoing connection to one peer.
type link struct {
	address string
	send    chan []byte
	cancel  context.CancelFunc
}

// offer queues a message; a link that does not keep up loses it, for the next
// heartbeat says the same.
func (l *link) offer(body []byte) {
	select {
	case l.send <- body:
	default:
	}
}

func (m *Mesh) keep(ctx context.Context, l *link) {
	for ctx.Err() == nil {
		_ = m.connect(ctx, l)
		select {
		case <-ctx.Done():
		case <-m.Clock.After(redialDelay):
		}
	}
}

func (m *Mesh) connect(ctx context.Context, l *link) error {
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
	m.bytes += int64(len(body))
	m.mu.Unlock()
	return nil
}
