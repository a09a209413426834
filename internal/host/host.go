// Package host puts one entry host together: callers, peers, operators, the
// platform and the endpoints round the core.
//
// # Usage
//
//	h := &host.Host{Settings: s, Clock: clock.New(), Log: logger}
//	if err := h.Run(); err != nil { ... }
//	defer h.Stop()
package host

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/benbjohnson/clock"
	"github.com/phuslu/log"
	"gopkg.in/tomb.v2"

	"github.com/cumintrestle/cumintrestle/internal/caller"
	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/internal/declared"
	"github.com/cumintrestle/cumintrestle/internal/endpoint"
	"github.com/cumintrestle/cumintrestle/internal/operator"
	"github.com/cumintrestle/cumintrestle/internal/peer"
	"github.com/cumintrestle/cumintrestle/internal/platform"
	"github.com/cumintrestle/cumintrestle/internal/settings"
	"github.com/cumintrestle/cumintrestle/pkg/session"
	"github.com/cumintrestle/cumintrestle/pkg/template"
)

const (
	declaredWait   = 20 * time.Second
	platformRetry  = 200 * time.Millisecond
	hostsInterval  = 2 * time.Second
	retryPerSecond = 50
	retryBurst     = 200
)

// Host is one entry host. The exported fields are set before Run.
type Host struct {
	Settings settings.Settings
	Clock    clock.Clock
	Log      *log.Logger
	// Timing varies the delays of failover; zero is the default with the
	// settings' suspect_ms.
	Timing core.Timing
	// Adjust varies a group's core before it runs, for tests.
	Adjust func(*core.Group)

	id        core.HostID
	t         tomb.Tomb
	ctx       context.Context
	table     *platform.Client
	state     *declared.State
	mesh      *peer.Mesh
	callers   *caller.Server
	caps      *accountCaps
	sharer    *sharer
	metrics   *metrics
	retries   *caller.RetryBudget
	operators *http.Server
	addresses Addresses

	mu         sync.Mutex
	groups     map[session.Group]*endpoint.Group
	draining   bool
	platformOK bool
	listed     []string
}

// Addresses are where a running host listens.
type Addresses struct {
	Caller   string
	Peer     string
	Operator string
}

// Run starts the host. It returns when it listens.
func (h *Host) Run() error {
	if err := h.identify(); err != nil {
		return err
	}
	dialer := endpoint.Dialer{Host: string(h.id), Password: h.Settings.EndpointPassword, BindIP: h.Settings.BindIP}
	h.ctx = h.t.Context(context.Background())
	h.groups = make(map[session.Group]*endpoint.Group)
	h.state = declared.NewState()
	h.metrics = newMetrics()
	h.retries = &caller.RetryBudget{PerSecond: retryPerSecond, Burst: retryBurst}
	h.table = &platform.Client{URL: h.Settings.PlatformURL, DialContext: dialer.DialContext}
	h.table.Init()
	h.caps = newAccountCaps(h.Clock)
	h.sharer = newSharer(h.table, h.id, h.Clock)
	h.sharer.fixed = h.Settings.SharePolicy == settings.ShareFixed
	h.sharer.hosts = h.liveHosts
	h.sharer.peers = h.livePeers
	h.sharer.send = func(to peer.Info, l peer.Loan) { h.mesh.SendLoan(to, l) }
	h.caps.hurry = h.sharer.hurry
	if err := h.listen(dialer); err != nil {
		return err
	}
	h.metrics.registry.MustRegister(collector{host: h})
	h.t.Go(h.watchDeclared)
	h.t.Go(func() error { return h.sharer.watch(h.ctx) })
	h.t.Go(func() error { return h.sharer.run(h.ctx) })
	h.t.Go(h.watchHosts)
	h.t.Go(h.reconcileLoop)
	h.event(h.Log.Info(), "host_started").Str("callers", h.addresses.Caller).Str("peers", h.addresses.Peer).Str("operators", h.addresses.Operator).Msg("")
	return nil
}

// identify gives this run a name of its own: a host that is started again is
// another one.
func (h *Host) identify() error {
	run := make([]byte, 4)
	if _, err := rand.Read(run); err != nil {
		return fmt.Errorf("run id: %w", err)
	}
	h.id = core.HostID(h.Settings.HostID + "." + hex.EncodeToString(run))
	if h.Timing == (core.Timing{}) {
		h.Timing = core.DefaultTiming
		h.Timing.Suspect = time.Duration(h.Settings.SuspectMS) * time.Millisecond
	}
	return nil
}

func (h *Host) listen(dialer endpoint.Dialer) error {
	callers, err := net.Listen("tcp", h.Settings.CallerListen)
	if err != nil {
		return fmt.Errorf("caller_listen: %w", err)
	}
	peers, err := net.Listen("tcp", h.Settings.PeerListen)
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	operators, err := net.Listen("tcp", h.Settings.OperatorListen)
	if err != nil {
		return fmt.Errorf("operator_listen: %w", err)
	}
	h.addresses = Addresses{callers.Addr().String(), peers.Addr().String(), operators.Addr().String()}
	h.startMesh(peers, dialer)
	h.startCallers(callers, dialer)
	h.startOperators(operators)
	return nil
}

func (h *Host) startMesh(ln net.Listener, dialer endpoint.Dialer) {
	advertise := h.Settings.PeerAdvertise
	if advertise == h.Settings.PeerListen {
		advertise = h.addresses.Peer
	}
	h.mesh = &peer.Mesh{
		Self:        peer.Info{Host: h.id, Zone: h.Settings.Zone, Address: advertise},
		Credential:  h.Settings.PeerCredential,
		Seeds:       h.Settings.SeedPeers,
		Clock:       h.Clock,
		DialContext: dialer.DialContext,
		Heartbeat:   h.heartbeat,
		OnHeartbeat: h.onHeartbeat,
		Revision:    h.state.Revision,
		Since:       h.state.Since,
		OnRows:      func(rows []platform.Row, r platform.Revision) { h.merge(rows, r, "peer") },
		OnLoan:      h.sharer.post,
		OnCancel:    func(pid, secret uint32) { h.callers.Cancel(pid, secret) },
	}
	h.mesh.Run(ln)
}

func (h *Host) startCallers(ln net.Listener, dialer endpoint.Dialer) {
	s := h.Settings
	h.callers = &caller.Server{
		Account: func(a template.Account) (template.Template, bool) {
			t, _, ok := h.state.Account(a)
			return t, ok
		},
		Group:         h.group,
		Admit:         h.caps.admit,
		Leave:         h.caps.leave,
		ForwardCancel: func(pid, secret uint32) { h.mesh.Cancel(pid, secret) },
		Observe:       func(o caller.Outcome) { h.metrics.observe(o, h.Clock.Now()) },
		Dialer:        dialer,
		Clock:         h.Clock,
		StatementWait: time.Duration(s.StatementWaitMS) * time.Millisecond,
		AckWait:       time.Duration(s.AckWaitMS) * time.Millisecond,
		ReadWait:      time.Duration(s.ReadWaitMS) * time.Millisecond,
		Reads: caller.ReadPolicy{
			PrimaryOnly: s.ReadPolicy == settings.ReadPrimaryOnly,
			AnyReplica:  s.ReadPolicy == settings.ReadRandomReplica,
		},
		Retries: h.retries,
	}
	h.callers.Run(ln)
}

func (h *Host) startOperators(ln net.Listener) {
	changer := &operator.Changer{
		Table: operator.Table{Commit: h.table.Commit, Changes: h.table.Changes},
		State: h.state,
		Clock: h.Clock,
	}
	srv := &operator.Server{
		Credentials: h.Settings.OperatorCredentials,
		Changer:     changer,
		State:       h.state,
		Status:      h.Status,
		Ready:       h.Ready,
		Metrics:     h.metrics.handler(),
	}
	h.operators = &http.Server{Handler: srv.Handler(), ReadHeaderTimeout: time.Second}
	h.t.Go(func() error {
		_ = h.operators.Serve(ln)
		return nil
	})
}

// Addresses returns where the host listens.
func (h *Host) Addresses() Addresses { return h.addresses }

// Template returns a template as this host has it in force.
func (h *Host) Template(a template.Account) (template.Template, platform.Version, bool) {
	return h.state.Account(a)
}

// PeerBytes counts the bytes sent to peers.
func (h *Host) PeerBytes() int64 { return h.mesh.SentBytes() }

// ID returns the name of this run of the host.
func (h *Host) ID() core.HostID { return h.id }

// Drain finishes what runs, tells idle callers to leave, hands the shares back
// and stops.
func (h *Host) Drain() {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	h.mesh.Beat()
	h.event(h.Log.Info(), "drain_started").Int("sessions", h.callers.Sessions()).Msg("")
	h.callers.Drain(time.Duration(h.Settings.DrainMS) * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), hostsInterval)
	defer cancel()
	h.sharer.handBack(ctx)
	h.Stop()
}

// Stop ends the host at once.
func (h *Host) Stop() {
	h.t.Kill(nil)
	_ = h.operators.Close()
	h.callers.Stop()
	h.mesh.Stop()
	h.mu.Lock()
	groups := h.groups
	h.groups = make(map[session.Group]*endpoint.Group)
	h.mu.Unlock()
	for _, g := range groups {
		g.Stop()
	}
	_ = h.t.Wait()
	h.event(h.Log.Info(), "host_stopped").Msg("")
}

func (h *Host) group(name session.Group) *endpoint.Group {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.groups[name]
}

// liveHosts lists the live hosts in order, this one included.
func (h *Host) liveHosts() []core.HostID {
	out := []core.HostID{h.id}
	for _, p := range h.mesh.Peers() {
		if p.Live && !p.Leaving {
			out = append(out, p.Host)
		}
	}
	slices.Sort(out)
	return out
}

// livePeers lists the peers that are heard and stay.
func (h *Host) livePeers() []peer.Info {
	var out []peer.Info
	for _, p := range h.mesh.Peers() {
		if p.Live && !p.Leaving {
			out = append(out, p.Info)
		}
	}
	return out
}

func (h *Host) heartbeat() peer.Heartbeat {
	hb := peer.Heartbeat{Revision: h.state.Revision()}
	h.mu.Lock()
	hb.Leaving = h.draining
	groups := make([]*endpoint.Group, 0, len(h.groups))
	for _, g := range h.groups {
		groups = append(groups, g)
	}
	h.mu.Unlock()
	for _, g := range groups {
		v := g.View()
		hb.Groups = append(hb.Groups, peer.GroupView{
			Group: g.Declared.Name, Term: v.Term, HeardMS: v.HeardAge.Milliseconds(), Reaches: v.Reaches,
		})
	}
	return hb
}

func (h *Host) onHeartbeat(hb peer.Heartbeat) {
	for _, v := range hb.Groups {
		g := h.group(v.Group)
		if g == nil {
			continue
		}
		g.Handle(core.PeerObserved{Host: hb.From.Host, View: core.PeerView{
			Term: v.Term, HeardAge: time.Duration(v.HeardMS) * time.Millisecond, Reaches: v.Reaches,
		}})
	}
}

func (h *Host) event(e *log.Entry, name string) *log.Entry {
	return e.Str("event", name).Str("host", string(h.id)).Str("zone", string(h.Settings.Zone))
}
