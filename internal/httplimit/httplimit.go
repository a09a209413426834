// Package httplimit runs HTTP servers whose connections, headers and times are bounded, with
// the connections in a budget.
//
// # Usage
//
//	srv := httplimit.Server(mux, httplimit.Limits{HeaderTimeout: timeout})
//	err := srv.Serve(httplimit.Listen(ln, budget.Hosts, b))
package httplimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/budget"
)

const (
	// DefaultHeaderBytes is the default of Limits.HeaderBytes. Handshakes of links, scrapers
	// and health checks need less than 1 KiB.
	DefaultHeaderBytes = 8 << 10
	// DefaultTimeout is the default of Limits.Timeout: three times the longest request of the
	// contract, 10 s.
	DefaultTimeout = 30 * time.Second
	// idleTimeout is how long a connection may wait for its next request. Scrapers poll every
	// minute or more often.
	idleTimeout = 2 * time.Minute
)

// Limits are the limits of requests. A zero HeaderBytes or Timeout means the default.
type Limits struct {
	// HeaderTimeout is how long the header of a request may take to arrive, and Timeout the
	// whole request, and the reading of its answer. Links are exempt once they are open.
	HeaderTimeout, Timeout time.Duration
	// HeaderBytes is the largest header of a request; net/http adds 4 KiB.
	HeaderBytes int
}

func (l Limits) withDefaults() Limits {
	if l.HeaderBytes == 0 {
		l.HeaderBytes = DefaultHeaderBytes
	}
	if l.Timeout == 0 {
		l.Timeout = DefaultTimeout
	}
	return l
}

type connKey struct{}

// conn is a connection in the budget.
type conn struct {
	net.Conn
	budget *budget.Conn
	once   sync.Once
}

// Close closes the connection and takes it out of the budget.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.budget.Close)
	return err
}

type listener struct {
	net.Listener
	kind   budget.Kind
	budget *budget.Budget
}

// Listen returns a listener whose connections are in the budget.
func Listen(ln net.Listener, k budget.Kind, b *budget.Budget) net.Listener {
	return &listener{Listener: ln, kind: k, budget: b}
}

// Accept returns the next connection. An older one may be closed for it.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	source, _, _ := net.SplitHostPort(nc.RemoteAddr().String())
	return &conn{Conn: nc, budget: l.budget.Open(l.kind, source, func() { _ = nc.Close() })}, nil
}

// Server returns a server with bounded headers and times. A connection that is taken over by
// a link counts as started.
func Server(h http.Handler, l Limits) *http.Server {
	l = l.withDefaults()
	return &http.Server{
		Handler: h, ReadHeaderTimeout: l.HeaderTimeout, ReadTimeout: l.Timeout, WriteTimeout: l.Timeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: l.HeaderBytes,
		ConnState: func(nc net.Conn, state http.ConnState) {
			if c, ok := nc.(*conn); ok && state == http.StateHijacked && c.budget.Start() != nil {
				_ = c.Close()
			}
		},
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			if c, ok := nc.(*conn); ok {
				return context.WithValue(ctx, connKey{}, c.budget)
			}
			return ctx
		},
	}
}

// Conn returns the connection of a request in the budget, or nil if it has none.
func Conn(ctx context.Context) *budget.Conn {
	c, _ := ctx.Value(connKey{}).(*budget.Conn)
	return c
}
