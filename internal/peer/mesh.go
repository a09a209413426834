// Package peer connects entry hosts with each other by CBOR messages over
// WebSocket.
//
// Each host keeps one outgoing connection to every known peer and sends
// heartbeats on it, with its view of the database groups and its revision of
// the declared state. Messages from peers are never authoritative: a group's
// members decide which of them is the primary, and the platform's revision
// numbers decide which version of a row is newer.
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
	"github.com/cumintrestle/cumintrestle/internal/httplimit"
	"github.com/cumintrestle/cumintrestle/internal/platform"
)

const (
	heartbeatInterval = 100 * time.Millisecond
	writeTimeout      = time.Second
	redialDelay       = 200 * time.Millisecond
	peerExpiry        = time.Minute
	peerLiveTimeout   = 2 * time.Second
	maxMessageBytes   = 16 << 20
	sendQueueLength   = 64
	// heartbeatsPerPeerList is how often a heartbeat lists the known peers while
	// their number does not change.
	heartbeatsPerPeerList = 50
)

// Mesh maintains the connections to all peers. Its exported fields must be set
// before Run.
type Mesh struct {
	Self       Info
	Credential string
	Seeds      []string
	Clock      clock.Clock
	// DialContext opens connections; nil means the default dialer.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// Heartbeat returns the next heartbeat; Mesh fills in From and Known.
	Heartbeat func() Heartbeat
	// HTTP has the limits of requests to open a link. Its HeaderTimeout is set by Run.
	HTTP httplimit.Limits
	// OnHeartbeat is called for each heartbeat from a peer.
	OnHeartbeat func(Heartbeat)
	// Revision returns this host's revision of the declared state.
	Revision func() platform.Revision
	// RowsSince returns the declared rows that changed after a revision, and
	// this host's revision. It serves the requests of peers that are behind.
	RowsSince func(platform.Revision) ([]platform.Row, platform.Revision)
	// OnRows is called with the declared rows that a peer returns.
	OnRows func([]platform.Row, platform.Revision)
	// OnLoan is called for each loan message.
	OnLoan func(Loan)
	// OnCancel is called for a cancel request that a peer forwards.
	OnCancel func(pid, secret uint32)

	t tomb.Tomb
	// ctx ends with t.
	ctx context.Context
	mu  sync.Mutex
	// links holds the outgoing connections by peer address.
	links     map[string]*link
	peers     map[core.HostID]*Peer
	sentBytes int64
	// heartbeats counts the heartbeats sent.
	heartbeats int
	// listedPeers is the number of known peers when they were last listed in a
	// heartbeat.
	listedPeers int
}

// Peer describes a peer as of its last heartbeat.
type Peer struct {
	Info
	LastHeartbeatAt time.Time         `json:"heard_at"`
	Live            bool              `json:"live"`
	Leaving         bool              `json:"leaving"`
	Revision        platform.Revision `json:"revision"`
}

// Run accepts connections from peers on ln and connects to the seeds.
func (m *Mesh) Run(ln net.Listener) {
	m.ctx = m.t.Context(context.Background())
	m.links = make(map[string]*link)
	m.peers = make(map[core.HostID]*Peer)
	m.HTTP.HeaderTimeout = writeTimeout
	srv := httplimit.Server(http.HandlerFunc(m.accept), m.HTTP)
	m.t.Go(func() error {
		<-m.t.Dying()
		return srv.Close()
	})
	m.t.Go(func() error {
		_ = srv.Serve(ln)
		return nil
	})
	m.t.Go(m.heartbeatLoop)
	for _, s := range m.Seeds {
		m.ensureLink(s)
	}
}

// Stop closes all connections and waits for the mesh's goroutines to end.
func (m *Mesh) Stop() {
	m.t.Kill(nil)
	_ = m.t.Wait()
}

// Peers returns the known peers sorted by host.
func (m *Mesh) Peers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Peer, 0, len(m.peers))
	for _, p := range m.peers {
		c := *p
		c.Live = m.Clock.Since(p.LastHeartbeatAt) < peerLiveTimeout
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Peer) int { return strings.Compare(string(a.Host), string(b.Host)) })
	return out
}

// SentBytes returns the number of bytes sent to peers so far.
func (m *Mesh) SentBytes() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sentBytes
}

// BroadcastCancel forwards a cancel request to all peers.
func (m *Mesh) BroadcastCancel(pid, secret uint32) {
	m.broadcast(message{Cancel: &cancel{PID: pid, Secret: secret}})
}

// SendLoan sends a loan message to one peer.
func (m *Mesh) SendLoan(to Info, l Loan) {
	l.From = m.Self
	if link := m.ensureLink(to.Address); link != nil {
		link.trySend(message{Loan: &l}.encode())
	}
}

// SendHeartbeat sends a heartbeat to all peers now, without waiting for the
// next interval.
func (m *Mesh) SendHeartbeat() {
	hb := m.Heartbeat()
	hb.From = m.Self
	if m.peerListDue() {
		for _, p := range m.Peers() {
			if p.Live {
				hb.Known = append(hb.Known, p.Info)
			}
		}
	}
	m.broadcast(message{Heartbeat: &hb})
}

// peerListDue reports whether the next heartbeat lists the known peers: when
// their number has changed, and once in heartbeatsPerPeerList heartbeats. A list
// in every heartbeat would make a host's traffic grow with the square of the
// number of hosts.
func (m *Mesh) peerListDue() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heartbeats++
	if len(m.peers) == m.listedPeers && m.heartbeats%heartbeatsPerPeerList != 0 {
		return false
	}
	m.listedPeers = len(m.peers)
	return true
}

func (m *Mesh) heartbeatLoop() error {
	ticker := m.Clock.Ticker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.t.Dying():
			return nil
		case <-ticker.C:
			m.expirePeers()
			m.SendHeartbeat()
		}
	}
}

// expirePeers forgets the peers whose last heartbeat is older than peerExpiry
// and closes their links. Links to seeds stay, so that a seed that comes back
// is found again.
func (m *Mesh) expirePeers() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, p := range m.peers {
		if m.Clock.Since(p.LastHeartbeatAt) < peerExpiry {
			continue
		}
		delete(m.peers, id)
		if l := m.links[p.Address]; l != nil && !slices.Contains(m.Seeds, p.Address) && !m.hasPeerAt(p.Address) {
			l.cancel()
			delete(m.links, p.Address)
		}
	}
}

// hasPeerAt reports whether a known peer uses the address. The caller holds mu.
func (m *Mesh) hasPeerAt(address string) bool {
	for _, p := range m.peers {
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
		l.trySend(body)
	}
}

// ensureLink returns the link to an address and opens one if there is none. It
// returns nil for an empty address, for this host's own, and once the mesh is
// stopping.
func (m *Mesh) ensureLink(address string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	if address == "" || address == m.Self.Address || !m.t.Alive() {
		return nil
	}
	if l := m.links[address]; l != nil {
		return l
	}
	ctx, stop := context.WithCancel(m.ctx)
	l := &link{address: address, send: make(chan []byte, sendQueueLength), cancel: stop}
	m.links[address] = l
	m.t.Go(func() error {
		m.maintainLink(ctx, l)
		return nil
	})
	return l
}

// accept authenticates an incoming connection and handles its messages until
// it breaks.
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
	conn.SetReadLimit(maxMessageBytes)
	for {
		_, body, err := conn.Read(m.ctx)
		if err != nil {
			return
		}
		msg, err := decode(body)
		if err != nil {
			return
		}
		m.dispatch(msg)
	}
}

func (m *Mesh) dispatch(msg message) {
	switch {
	case msg.Heartbeat != nil:
		m.handleHeartbeat(*msg.Heartbeat)
	case msg.RowsRequest != nil:
		if l := m.ensureLink(msg.RowsRequest.From.Address); l != nil {
			have, revision := m.RowsSince(msg.RowsRequest.Since)
			l.trySend(message{Rows: &rows{Rows: have, Revision: revision}}.encode())
		}
	case msg.Rows != nil:
		m.OnRows(msg.Rows.Rows, msg.Rows.Revision)
	case msg.Loan != nil:
		m.OnLoan(*msg.Loan)
	case msg.Cancel != nil:
		m.OnCancel(msg.Cancel.PID, msg.Cancel.Secret)
	}
}

// handleHeartbeat records the sender, opens links to peers that it lists, and
// requests the declared rows that it has and this host lacks.
func (m *Mesh) handleHeartbeat(hb Heartbeat) {
	if hb.From.Host == m.Self.Host {
		return
	}
	m.mu.Lock()
	p := m.peers[hb.From.Host]
	if p == nil {
		p = &Peer{}
		m.peers[hb.From.Host] = p
	}
	p.Info, p.LastHeartbeatAt, p.Leaving, p.Revision = hb.From, m.Clock.Now(), hb.Leaving, hb.Revision
	m.mu.Unlock()
	l := m.ensureLink(hb.From.Address)
	for _, k := range hb.Known {
		m.ensureLink(k.Address)
	}
	if own := m.Revision(); l != nil && hb.Revision > own {
		l.trySend(message{RowsRequest: &rowsRequest{From: m.Self, Since: own}}.encode())
	}
	m.OnHeartbeat(hb)
}
