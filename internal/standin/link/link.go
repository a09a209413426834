// Package link simulates network delays and partitions between availability
// zones. The zone of a remote address is looked up by its IP address.
//
// # Usage
//
//	rules := link.NewRules()
//	rules.SetZone("127.0.1.1", "tunis-a")
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
	cutPollInterval = 2 * time.Millisecond
	readBufferBytes = 32 << 10
	maxQueuedChunks = 1024
)

// Rules hold the delay of each path between two zones and whether it is cut.
// They apply to both directions of a path.
type Rules struct {
	mu    sync.Mutex
	zones map[string]string // by IP address
	paths map[pathKey]path
}

// pathKey identifies the path between two zones.
type pathKey struct{ a, b string }

// path is the state of the network path between two zones.
type path struct {
	delay time.Duration // one way
	cut   bool
}

// NewRules returns rules that delay and cut nothing.
func NewRules() *Rules {
	return &Rules{zones: make(map[string]string), paths: make(map[pathKey]path)}
}

// newPathKey returns the same key for (a, b) and (b, a).
func newPathKey(a, b string) pathKey {
	if b < a {
		a, b = b, a
	}
	return pathKey{a, b}
}

// SetZone assigns an IP address to a zone.
func (r *Rules) SetZone(ip, zone string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.zones[ip] = zone
}

// SetDelay sets the one-way delay between two zones.
func (r *Rules) SetDelay(a, b string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.paths[newPathKey(a, b)]
	p.delay = d
	r.paths[newPathKey(a, b)] = p
}

// SetCut cuts or restores the path between two zones. Connections stay open over
// a cut path; their data is held back until the path is restored.
func (r *Rules) SetCut(a, b string, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.paths[newPathKey(a, b)]
	p.cut = cut
	r.paths[newPathKey(a, b)] = p
}

func (r *Rules) path(a, b string) path {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.paths[newPathKey(a, b)]
}

// zoneOf returns the zone of an address, or "" if it has none.
func (r *Rules) zoneOf(a net.Addr) string {
	host, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.zones[host]
}

// Listener applies the rules to the connections that it accepts. Zone is the
// zone of the listening side.
type Listener struct {
	net.Listener
	Zone  string
	Rules *Rules
}

// Accept waits for the next connection and returns it with the rules applied.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	from := l.Rules.zoneOf(raw.RemoteAddr())
	c := &conn{Conn: raw, closed: make(chan struct{})}
	currentPath := func() path { return l.Rules.path(from, l.Zone) }
	r, w := net.Pipe()
	c.in = r
	c.out = make(chan chunk, maxQueuedChunks)
	inbound := make(chan chunk, maxQueuedChunks)
	go c.readRaw(inbound, currentPath)
	go c.deliver(inbound, w, currentPath)
	go c.deliver(c.out, raw, currentPath)
	c.currentPath = currentPath
	return c, nil
}

// chunk is a piece of a connection's data on its way through the path.
type chunk struct {
	data      []byte
	deliverAt time.Time
}

// conn is a connection whose data passes through a path in both directions.
type conn struct {
	net.Conn
	in          net.Conn
	out         chan chunk
	currentPath func() path
	once        sync.Once
	closed      chan struct{}
}

// readRaw reads from the underlying connection and queues the data.
func (c *conn) readRaw(queue chan<- chunk, currentPath func() path) {
	defer close(queue)
	buf := make([]byte, readBufferBytes)
	for {
		n, err := c.Conn.Read(buf)
		if n > 0 {
			data := append([]byte(nil), buf[:n]...)
			select {
			case queue <- chunk{data: data, deliverAt: time.Now().Add(currentPath().delay)}:
			case <-c.closed:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// deliver writes each queued chunk to w once its delivery time has come and the
// path is not cut.
func (c *conn) deliver(queue <-chan chunk, w net.Conn, currentPath func() path) {
	if w != c.Conn {
		defer w.Close()
	}
	for {
		var next chunk
		var ok bool
		select {
		case next, ok = <-queue:
			if !ok {
				return
			}
		case <-c.closed:
			return
		}
		if d := time.Until(next.deliverAt); d > 0 {
			time.Sleep(d)
		}
		for currentPath().cut {
			select {
			case <-c.closed:
				return
			case <-time.After(cutPollInterval):
			}
		}
		if _, err := w.Write(next.data); err != nil {
			return
		}
	}
}

// Read returns data that has passed through the path.
func (c *conn) Read(p []byte) (int, error) { return c.in.Read(p) }

// Write queues p for delivery through the path.
func (c *conn) Write(p []byte) (int, error) {
	next := chunk{data: append([]byte(nil), p...), deliverAt: time.Now().Add(c.currentPath().delay)}
	select {
	case c.out <- next:
		return len(p), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// SetDeadline sets the read deadline only, because Write just queues.
func (c *conn) SetDeadline(t time.Time) error { return c.in.SetReadDeadline(t) }

// SetReadDeadline sets the read deadline.
func (c *conn) SetReadDeadline(t time.Time) error { return c.in.SetReadDeadline(t) }

// SetWriteDeadline has no effect, because Write just queues.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// Close closes the connection; data still queued on the path is lost.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		_ = c.in.Close()
	})
	return c.Conn.Close()
}
