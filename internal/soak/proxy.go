package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// pathMode is how a proxy treats the bytes on the path of one host.
type pathMode uint8

const (
	// modeOpen forwards all bytes.
	modeOpen pathMode = iota
	// modeSlow delays each chunk by pathDelay in both directions.
	modeSlow
	// modeBlocked holds all bytes back; connections stay open.
	modeBlocked
	// modeHoldAnswers forwards requests and holds answers back.
	modeHoldAnswers
	// modeHoldRequests forwards answers and holds requests back.
	modeHoldRequests
	// modeBlockExisting blocks, until they close, the connections that exist when it
	// is set; new connections work.
	modeBlockExisting
)

const (
	// pathDelay is the delay of modeSlow in one direction.
	pathDelay = 60 * time.Millisecond
	// pollInterval is how often a blocked connection checks whether its path is open
	// again, and how often the soak retries a probe write.
	pollInterval = 5 * time.Millisecond
	// chunkBytes and queuedChunks limit the bytes queued in one direction.
	chunkBytes   = 32 << 10
	queuedChunks = 256
)

// proxy forwards connections from hosts to one endpoint or to the store.
type proxy struct {
	ln     net.Listener
	target string
	// host is the host behind all connections. If it is empty, the first line of each
	// connection names the host.
	host string

	mu    sync.Mutex
	modes map[string]pathMode
	conns map[*proxyConn]struct{}
}

// proxyConn is one connection through a proxy: in comes from the host, out goes to
// the target.
type proxyConn struct {
	p       *proxy
	in, out net.Conn
	host    string
	blocked bool
}

// newProxy starts a proxy to target. If host is empty, the third word of the first
// line of each connection names the host.
func newProxy(target, host string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("soak: proxy: %w", err)
	}
	p := &proxy{ln: ln, target: target, host: host, modes: make(map[string]pathMode), conns: make(map[*proxyConn]struct{})}
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.ln.Addr().String() }

func (p *proxy) serve() {
	for {
		in, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.serveConn(in)
	}
}

// setMode sets the mode of a host's path. modeBlockExisting applies to each existing
// connection instead, and leaves the mode of the path as it is.
func (p *proxy) setMode(host string, mode pathMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if mode != modeBlockExisting {
		p.modes[host] = mode
		return
	}
	for c := range p.conns {
		if c.host == host {
			c.blocked = true
		}
	}
}

// reset closes all connections of a host with a TCP reset.
func (p *proxy) reset(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if c.host == host {
			c.close()
		}
	}
}

func (p *proxy) close() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.close()
	}
}

// close closes both sides; without linger, the peers receive a TCP reset.
func (c *proxyConn) close() {
	for _, nc := range []net.Conn{c.in, c.out} {
		if tc, ok := nc.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		_ = nc.Close()
	}
}

// mode returns the current mode of the connection.
func (c *proxyConn) mode() pathMode {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	if c.blocked {
		return modeBlocked
	}
	return c.p.modes[c.host]
}

// serveConn finds out which host has connected, connects to the target and copies
// both directions until one of them ends.
func (p *proxy) serveConn(in net.Conn) {
	defer in.Close()
	r := bufio.NewReader(in)
	c := &proxyConn{p: p, in: in, host: p.host}
	if c.host == "" {
		line, err := r.Peek(1)
		for n := 1; err == nil && line[n-1] != '\n'; {
			n = max(n+1, r.Buffered())
			line, err = r.Peek(n)
		}
		f := strings.Fields(string(line))
		if err != nil || len(f) < 3 {
			return
		}
		c.host = f[2]
	}
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer out.Close()
	c.out = out
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go c.copyDirection(out, r, modeHoldRequests, done)
	go c.copyDirection(in, out, modeHoldAnswers, done)
	<-done
	c.close()
	<-done
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// copyDirection copies one direction. It holds bytes back while the path is blocked
// or in holdMode, and discards them if the sender resets the connection meanwhile.
func (c *proxyConn) copyDirection(to net.Conn, from io.Reader, holdMode pathMode, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	chunks := make(chan []byte, queuedChunks)
	var reset atomic.Bool
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, chunkBytes)
			n, err := from.Read(buf)
			if n > 0 {
				chunks <- buf[:n]
			}
			if err != nil {
				reset.Store(!errors.Is(err, io.EOF))
				return
			}
		}
	}()
	for chunk := range chunks {
		if c.mode() == modeSlow {
			time.Sleep(pathDelay)
		}
		for w := c.mode(); (w == modeBlocked || w == holdMode) && !reset.Load(); w = c.mode() {
			time.Sleep(pollInterval)
		}
		if reset.Load() {
			continue
		}
		if _, err := to.Write(chunk); err != nil {
			reset.Store(true)
		}
	}
}
