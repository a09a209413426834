// Package link delays and cuts connections between availability zones for the
// stand-ins. The zone at the far end is told by its IP number.
//
// # Usage
//
//	rules := link.NewRules()
//	rules.Place("127.0.1.1", "tunis-a")
//	rules.SetDelay("tunis-a", "sahel-a", 10*time.Millisecond)
//	ln = &link.Listener{Listener: ln, Zone: "sahel-a", Rules: rules}
//	rules.SetCut("tunis-a", "sahel-a", true)
package link

import (
	"net"
	"sync"
	"time"
)

const (
	cutPoll    = 2 * time.Millisecond
	chunkBytes = 32 << 10
	queueDepth = 1024
)

// Rules say how long each path takes and which are cut. Paths have no
// direction.
type Rules struct {
	mu     sync.Mutex
	places map[string]string
	paths  map[pathKey]path
}

type pathKey struct{ a, b string }

type path struct {
	delay time.Duration
	cut   bool
}

// NewRules returns rules without delays and cuts.
func NewRules() *Rules {
	return &Rules{places: make(map[string]string), paths: make(map[pathKey]path)}
}

func keyOf(a, b string) pathKey {
	if b < a {
		a, b = b, a
	}
	return pathKey{a, b}
}

// Place says that an IP number stands in a zone.
func (r *Rules) Place(ip, zone string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.places[ip] = zone
}

// SetDelay sets the one-way delay between two zones.
func (r *Rules) SetDelay(a, b string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.paths[keyOf(a, b)]
	p.delay = d
	r.paths[keyOf(a, b)] = p
}

// SetCut cuts or heals the path between two zones.
func (r *Rules) SetCut(a, b string, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.paths[keyOf(a, b)]
	p.cut = cut
	r.paths[keyOf(a, b)] = p
}

func (r *Rules) path(a, b string) path {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.paths[keyOf(a, b)]
}

func (r *Rules) zoneOf(a net.Addr) string {
	host, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.places[host]
}

// Listener applies rules to the connections that it accepts.
type Listener struct {
	net.Listener
	Zone  string
	Rules *Rules
}

// Accept waits for the next connection and puts it under the rules.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	from := l.Rules.zoneOf(raw.RemoteAddr())
	c := &conn{Conn: raw, closed: make(chan struct{})}
	look := func() path { return l.Rules.path(from, l.Zone) }
	r, w := net.Pipe()
	c.in = r
	c.out = make(chan chunk, queueDepth)
	inbound := make(chan chunk, queueDepth)
	go c.readRaw(inbound, look)
	go c.deliver(inbound, w, look)
	go c.deliver(c.out, raw, look)
	c.look = look
	return c, nil
}

type chunk struct {
	data []byte
	due  time.Time
}

type conn struct {
	net.Conn
	in     net.Conn
	out    chan chunk
	look   func() path
	once   sync.Once
	closed chan struct{}
}

func (c *conn) readRaw(to chan<- chunk, look func() path) {
	defer close(to)
	buf := make([]byte, chunkBytes)
	for {
		n, err := c.Conn.Read(buf)
		if n > 0 {
			data := append([]byte(nil), buf[:n]...)
			select {
			case to <- chunk{data: data, due: time.Now().Add(look().delay)}:
			case <-c.closed:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// deliver hands chunks on when they are due and the path is not cut.
func (c *conn) deliver(from <-chan chunk, w net.Conn, look func() path) {
	if w != c.Conn {
		defer w.Close()
	}
	for {
		var next chunk
		var ok bool
		select {
		case next, ok = <-from:
			if !ok {
				return
			}
		case <-c.closed:
			return
		}
		if d := time.Until(next.due); d > 0 {
			time.Sleep(d)
		}
		for look().cut {
			select {
			case <-c.closed:
				return
			case <-time.After(cutPoll):
			}
		}
		if _, err := w.Write(next.data); err != nil {
			return
		}
	}
}

// Read returns what has come through.
func (c *conn) Read(p []byte) (int, error) { return c.in.Read(p) }

// Write queues p on the path.
func (c *conn) Write(p []byte) (int, error) {
	next := chunk{data: append([]byte(nil), p...), due: time.Now().Add(c.look().delay)}
	select {
	case c.out <- next:
		return len(p), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// SetDeadline bounds reads; writes only queue.
func (c *conn) SetDeadline(t time.Time) error { return c.in.SetReadDeadline(t) }

// SetReadDeadline bounds reads.
func (c *conn) SetReadDeadline(t time.Time) error { return c.in.SetReadDeadline(t) }

// SetWriteDeadline has no effect: writes only queue.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// Close ends the connection; what is still on the path is lost.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		_ = c.in.Close()
	})
	return c.Conn.Close()
}
