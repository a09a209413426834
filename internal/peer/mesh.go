// Package peer connects entry hosts with each other over WebSocket and CBOR.
//
// Each host keeps one outgoing connection to every peer that it knows and
// sends a heartbeat on it, with what it sees of the database groups and the
// revision that it has. What arrives from a peer is not trusted to decide
// anything alone: the members of a group decide who leads it, and the
// platform's revisions decide which row is later.
//
// # Usage
//
//	m := &peer.Mesh{Self: info, Credential: secret, Seeds: seeds, Clock: clk,
//		Heartbeat: makeHeartbeat, OnHeartbeat: observe}
//	m.Run(listener)
//	defer m.Stop()
package peer

import (
	"context"
	"crypto/subtle"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/benbjohnson/clock"
	"github.com/coder/websocket"
	"gopkg.in/tomb.v2"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/internal/platform"
)

const (
	heartbeatInterval = 100 * time.Millisecond
	writeTimeout      = time.Second
	redialDelay       = 200 * time.Millisecond
	forgetAfter       = time.Minute
	liveFor           = 2 * time.Second
	messageLimit      = 16 << 20
	sendQueue         = 64
	// knownEvery is the number of heartbeats between two lists of peers.
	knownEvery = 50
)

// Mesh keeps the connections to all peers. The exported fields are set before
// Run.
type Mesh struct {
	Self       Info
	Credential string
	Seeds      []string
	Clock      clock.Clock
	// DialContext opens connections; nil dials as usual.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// Heartbeat makes what peers are told, without From and Known.
	Heartbeat func() Heartbeat
	// OnHeartbeat takes what a peer tells.
	OnHeartbeat func(Heartbeat)
	// Revision returns the revision that this host has.
	Revision func() platform.Revision
	// Since returns declared rows for a peer that lacks them.
	Since func(platform.Revision) ([]platform.Row, platform.Revision)
	// OnRows takes declared rows from a peer.
	OnRows func([]platform.Row, platform.Revision)
	// OnLoan takes a message about a loan.
	OnLoan func(Loan)
	// OnCancel takes a cancel request that another host got.
	OnCancel func(pid, secret uint32)

	t     tomb.Tomb
	ctx   context.Context
	mu    sync.Mutex
	links map[string]*link
	seen  map[core.HostID]*Peer
	bytes int64
	beats int
	told  int
}

// Peer is a peer as last heard.
type Peer struct {
	Info
	HeardAt  time.Time         `json:"heard_at"`
	Live     bool              `json:"live"`
	Leaving  bool              `json:"leaving"`
	Revision platform.Revision `json:"revision"`
}

// Run serves peers on ln and connects to the seeds.
func (m *Mesh) Run(ln net.Listener) {
	m.ctx = m.t.Context(context.Background())
	m.links = make(map[string]*link)
	m.seen = make(map[core.HostID]*Peer)
	srv := &http.Server{Handler: http.HandlerFunc(m.accept), ReadHeaderTimeout: writeTimeout}
	m.t.Go(func() error {
		<-m.t.Dying()
		return srv.Close()
	})
	m.t.Go(func() error {
		_ = srv.Serve(ln)
		return nil
	})
	m.t.Go(m.beat)
	for _, s := range m.Seeds {
		m.learn(s)
	}
}

// Stop ends all connections.
func (m *Mesh) Stop() {
	m.t.Kill(nil)
	_ = m.t.Wait()
}

// Peers lists the known peers in order of host.
func (m *Mesh) Peers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Peer, 0, len(m.seen))
	for _, p := range m.seen {
		c := *p
		c.Live = m.Clock.Since(p.HeardAt) < liveFor
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Peer) int { return strings.Compare(string(a.Host), string(b.Host)) })
	return out
}

// SentBytes counts the bytes sent to peers.
func (m *Mesh) SentBytes() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bytes
}

// Cancel passes a cancel request on to all peers.
func (m *Mesh) Cancel(pid, secret uint32) {
	m.broadcast(message{Cancel: &cancel{PID: pid, Secret: secret}})
}

// SendLoan sends a message about a loan to one peer.
func (m *Mesh) SendLoan(to Info, l Loan) {
	l.From = m.Self
	if link := m.learn(to.Address); link != nil {
		link.offer(message{Loan: &l}.encode())
	}
}

// Beat sends a heartbeat at once, for instance after a change.
func (m *Mesh) Beat() {
	hb := m.Heartbeat()
	hb.From = m.Self
	if m.tellKnown() {
		for _, p := range m.Peers() {
			if p.Live {
				hb.Known = append(hb.Known, p.Info)
			}
		}
	}
	m.broadcast(message{Heartbeat: &hb})
}

// tellKnown reports whether this heartbeat lists the known peers: when their
// number changed, and every few seconds. In each one, the list would make the
// bytes that a host sends grow with the square of the number of hosts.
func (m *Mesh) tellKnown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.beats++
	if len(m.seen) == m.told && m.beats%knownEvery != 0 {
		return false
	}
	m.told = len(m.seen)
	return true
}

func (m *Mesh) beat() error {
	ticker := m.Clock.Ticker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.t.Dying():
			return nil
		case <-ticker.C:
			m.forget()
			m.Beat()
		}
	}
}

// forget drops peers that were not heard for long.
func (m *Mesh) forget() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, p := range m.seen {
		if m.Clock.Since(p.HeardAt) < forgetAfter {
			continue
		}
		delete(m.seen, id)
		if l := m.links[p.Address]; l != nil && !slices.Contains(m.Seeds, p.Address) && !m.inUse(p.Address) {
			l.cancel()
			delete(m.links, p.Address)
		}
	}
}

// inUse reports whether a known peer has the address. The caller holds mu.
func (m *Mesh) inUse(address string) bool {
	for _, p := range m.seen {
		if p.Address == address {
			return true
		}
	}
	return false
}

func (m *Mesh) broadcast(msg message) {
	body := msg.encode()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.offer(body)
	}
}

// learn opens a link to an address that is not known yet.
func (m *Mesh) learn(address string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	if address == "" || address == m.Self.Address || !m.t.Alive() {
		return nil
	}
	if l := m.links[address]; l != nil {
		return l
	}
	ctx, stop := context.WithCancel(m.ctx)
	l := &link{address: address, send: make(chan []byte, sendQueue), cancel: stop}
	m.links[address] = l
	m.t.Go(func() error {
		m.keep(ctx, l)
		return nil
	})
	return l
}

func (m *Mesh) accept(w http.ResponseWriter, r *http.Request) {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if r.URL.Path != "/peer" || subtle.ConstantTimeCompare([]byte(token), []byte(m.Credential)) != 1 {
		http.Error(w, "peer credential", http.StatusUnauthorized)
		return
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer conn.CloseNow()
	conn.SetReadLimit(messageLimit)
	for {
		_, body, err := conn.Read(m.ctx)
		if err != nil {
			return
		}
		msg, err := decode(body)
		if err != nil {
			return
		}
		m.take(msg)
	}
}

func (m *Mesh) take(msg message) {
	switch {
	case msg.Heartbeat != nil:
		m.heard(*msg.Heartbeat)
	case msg.Want != nil:
		if l := m.learn(msg.Want.From.Address); l != nil {
			have, revision := m.Since(msg.Want.Since)
			l.offer(message{Rows: &rows{Rows: have, Revision: revision}}.encode())
		}
	case msg.Rows != nil:
		m.OnRows(msg.Rows.Rows, msg.Rows.Revision)
	case msg.Loan != nil:
		m.OnLoan(*msg.Loan)
	case msg.Cancel != nil:
		m.OnCancel(msg.Cancel.PID, msg.Cancel.Secret)
	}
}

func (m *Mesh) heard(hb Heartbeat) {
	if hb.From.Host == m.Self.Host {
		return
	}
	m.mu.Lock()
	p := m.seen[hb.From.Host]
	if p == nil {
		p = &Peer{}
		m.seen[hb.From.Host] = p
	}
	p.Info, p.HeardAt, p.Leaving, p.Revision = hb.From, m.Clock.Now(), hb.Leaving, hb.Revision
	m.mu.Unlock()
	l := m.learn(hb.From.Address)
	for _, k := range hb.Known {
		m.learn(k.Address)
	}
	if own := m.Revision(); l != nil && hb.Revision > own {
		l.offer(message{Want: &want{From: m.Self, Since: own}}.encode())
	}
	m.OnHeartbeat(hb)
}
