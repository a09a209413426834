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

// way is what a proxy does to the bytes of a path.
type way uint8

const (
	// wayOpen passes bytes on.
	wayOpen way = iota
	// waySlow delays bytes by pathDelay in each direction.
	waySlow
	// wayCut passes nothing; connections stay open.
	wayCut
	// wayMute passes requests but no answers.
	wayMute
	// wayDeaf passes answers but no requests.
	wayDeaf
	// waySilent passes nothing on connections that stood when the fault began,
	// for good; new ones work.
	waySilent
)

const (
	// pathDelay is what waySlow adds in one direction.
	pathDelay = 60 * time.Millisecond
	// holdPoll is how often a held connection looks whether its path is open.
	holdPoll = 5 * time.Millisecond
	// chunkBytes and queuedChunks bound what waits in one direction.
	chunkBytes   = 32 << 10
	queuedChunks = 256
)

// proxy stands before one endpoint or before the store.
type proxy struct {
	ln     net.Listener
	target string
	// from names the host behind a connection, after its first line where the
	// line says so.
	named string

	mu    sync.Mutex
	ways  map[string]way
	conns map[*proxied]struct{}
}

// proxied is one connection through a proxy.
type proxied struct {
	p        *proxy
	in, out  net.Conn
	host     string
	silenced bool
}

// newProxy starts a proxy. Where host is empty, the first line of a connection
// names the host: its third word is who connects.
func newProxy(target, host string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("soak: proxy: %w", err)
	}
	p := &proxy{ln: ln, target: target, named: host, ways: make(map[string]way), conns: make(map[*proxied]struct{})}
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
		go p.pass(in)
	}
}

// set changes what happens to a host's connections; reset breaks those that
// stand.
func (p *proxy) set(host string, w way) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w != waySilent {
		p.ways[host] = w
		return
	}
	for c := range p.conns {
		if c.host == host {
			c.silenced = true
		}
	}
}

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

func (c *proxied) close() {
	for _, nc := range []net.Conn{c.in, c.out} {
		if tc, ok := nc.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		_ = nc.Close()
	}
}

// way returns what happens to the connection's bytes now.
func (c *proxied) way() way {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	if c.silenced {
		return wayCut
	}
	return c.p.ways[c.host]
}

func (p *proxy) pass(in net.Conn) {
	defer in.Close()
	r := bufio.NewReader(in)
	c := &proxied{p: p, in: in, host: p.named}
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
	go c.copy(out, r, wayDeaf, done)
	go c.copy(in, out, wayMute, done)
	<-done
	c.close()
	<-done
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// copy passes one direction on, which is held while the path is cut or is in
// the given way. What is held when its sender resets the connection is lost.
func (c *proxied) copy(to net.Conn, from io.Reader, held way, done chan<- struct{}) {
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
		if c.way() == waySlow {
			time.Sleep(pathDelay)
		}
		for w := c.way(); (w == wayCut || w == held) && !reset.Load(); w = c.way() {
			time.Sleep(holdPoll)
		}
		if reset.Load() {
			continue
		}
		if _, err := to.Write(chunk); err != nil {
			reset.Store(true)
		}
	}
}
