// Package host assembles an entry host: the servers for callers, peers and
// operators, the platform client, and the core and endpoints of each database
// group.
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

	"github.com/cumintrestle/cumintrestle/internal/budget"
	"github.com/cumintrestle/cumintrestle/internal/caller"
	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/internal/declared"
	"github.com/cumintrestle/cumintrestle/internal/endpoint"
	"github.com/cumintrestle/cumintrestle/internal/httplimit"
	"github.com/cumintrestle/cumintrestle/internal/operator"
	"github.com/cumintrestle/cumintrestle/internal/peer"
	"github.com/cumintrestle/cumintrestle/internal/platform"
	"github.com/cumintrestle/cumintrestle/internal/settings"
	"github.com/cumintrestle/cumintrestle/pkg/session"
	"github.com/cumintrestle/cumintrestle/pkg/template"
)

const (
	// declaredPollWait is the long-poll time for changes of the declared state.
	declaredPollWait   = 20 * time.Second
	platformRetryDelay = 200 * time.Millisecond
	hostListInterval   = 2 * time.Second
	retryPerSecond     = 50
	retryBurst         = 200
)

// Host is one entry host. Its exported fields must be set before Run.
type Host struct {
	Settings settings.Settings
	Clock    clock.Clock
	Log      *log.Logger
	// Timing sets the delays of failover. The zero value means
	// core.DefaultTiming with suspect_ms from the settings.
	Timing core.Timing
	// ConfigureGroup, if set, is called with each group's core before it runs, so that
	// tests can change it.
	ConfigureGroup func(*core.Group)

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
	budget    *budget.Budget
	refusals  budget.Lines
	retries   *caller.RetryBudget
	operators *http.Server
	addresses Addresses

	mu       sync.Mutex
	groups   map[session.Group]*endpoint.Group
	draining bool
	// platformReachable is true if the last poll of the declared state succeeded.
	platformReachable bool
	// listedHosts are the IDs in the platform's host list as last read.
	listedHosts []string
}

// Addresses holds the addresses that a running host listens on.
type Addresses struct {
	Caller   string
	Peer     string
	Operator string
}

// Run starts the host and returns once it listens for callers, peers and
// operators.
func (h *Host) Run() error {
	if err := h.identify(); err != nil {
		return err
	}
	dialer := endpoint.Dialer{Host: string(h.id), Password: h.Settings.EndpointPassword, BindIP: h.Settings.BindIP}
	h.ctx = h.t.Context(context.Background())
	h.groups = make(map[session.Group]*endpoint.Group)
	h.state = declared.NewState()
	h.metrics = newMetrics()
	h.buildBudget()
	h.retries = &caller.RetryBudget{PerSecond: retryPerSecond, Burst: retryBurst}
	h.table = &platform.Client{URL: h.Settings.PlatformURL, DialContext: dialer.DialContext}
	h.table.Init()
	h.caps = newAccountCaps(h.Clock)
	h.sharer = newSharer(h.table, h.id, h.Clock)
	h.sharer.fixed = h.Settings.SharePolicy == settings.ShareFixed
	h.sharer.hosts = h.liveHosts
	h.sharer.peers = h.livePeers
	h.sharer.send = func(to peer.Info, l peer.Loan) { h.mesh.SendLoan(to, l) }
	h.caps.requestRound = h.sharer.requestRound
	if err := h.listen(dialer); err != nil {
		return err
	}
	h.metrics.registry.MustRegister(collector{host: h})
	h.t.Go(h.watchDeclared)
	h.t.Go(func() error { return h.sharer.watchRows(h.ctx) })
	h.t.Go(func() error { return h.sharer.run(h.ctx) })
	h.t.Go(h.watchHosts)
	h.t.Go(h.reconcileLoop)
	h.event(h.Log.Info(), "host_started").Str("callers", h.addresses.Caller).Str("peers", h.addresses.Peer).Str("operators", h.addresses.Operator).Msg("")
	return nil
}

// identify sets the run ID, which is the configured host ID with a random
// suffix, so that peers and endpoints can tell a restarted host from its
// previous run.
func (h *Host) identify() error {
	run := make([]byte, 4)
	if _, err := rand.Read(run); err != nil {
		return fmt.Errorf("run id: %w", err)
	}
	h.id = core.HostID(h.Settings.HostID + "." + hex.EncodeToString(run))
	if h.Timing == (core.Timing{}) {
		h.Timing = core.DefaultTiming
		h.Timing.SuspectTimeout = time.Duration(h.Settings.SuspectMS) * time.Millisecond
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
		HTTP:        h.httpLimits(0),
		Seeds:       h.Settings.SeedPeers,
		Clock:       h.Clock,
		DialContext: dialer.DialContext,
		Heartbeat:   h.heartbeat,
		OnHeartbeat: h.onHeartbeat,
		Revision:    h.state.Revision,
		RowsSince:   h.state.RowsSince,
		OnRows:      func(rows []platform.Row, r platform.Revision) { h.merge(rows, r, "peer") },
		OnLoan:      h.sharer.enqueueLoan,
		OnCancel:    func(pid, secret uint32) { h.callers.Cancel(pid, secret) },
	}
	h.mesh.Run(httplimit.Listen(ln, budget.Hosts, h.budget))
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
		Release:       h.caps.release,
		ForwardCancel: func(pid, secret uint32) { h.mesh.BroadcastCancel(pid, secret) },
		OnOutcome:     func(o caller.Outcome) { h.metrics.observe(o, h.Clock.Now()) },
		Dialer:        dialer,
		Clock:         h.Clock,
		StatementWait: time.Duration(s.StatementWaitMS) * time.Millisecond,
		AckWait:       time.Duration(s.AckWaitMS) * time.Millisecond,
		ReadWait:      time.Duration(s.ReadWaitMS) * time.Millisecond,
		Reads: caller.ReadPolicy{
			PrimaryOnly: s.ReadPolicy == settings.ReadPrimaryOnly,
			AnyReplica:  s.ReadPolicy == settings.ReadRandomReplica,
		},
		Retries:        h.retries,
		Budget:         h.budget,
		CancelsPerS:    int(s.CancelsPerS),
		MessageTimeout: time.Duration(s.MessageTimeoutMS) * time.Millisecond,
		AnswerTimeout:  time.Duration(s.AnswerTimeoutMS) * time.Millisecond,
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
		Reserve:     func(n int) error { return h.budget.Reserve(budget.LargeMessages, n) },
		Release:     func(n int) { h.budget.Release(budget.LargeMessages, n) },
	}
	h.operators = httplimit.Server(srv.Handler(), h.httpLimits(time.Second))
	h.t.Go(func() error {
		_ = h.operators.Serve(httplimit.Listen(ln, budget.Checks, h.budget))
		return nil
	})
}

// Addresses returns the addresses that the host listens on.
func (h *Host) Addresses() Addresses { return h.addresses }

// Template returns the template of an account that this host applies now, and
// the version of its row.
func (h *Host) Template(a template.Account) (template.Template, platform.Version, bool) {
	return h.state.Account(a)
}

// PeerBytes returns the number of bytes sent to peers so far.
func (h *Host) PeerBytes() int64 { return h.mesh.SentBytes() }

// ID returns the run ID, which is unique to this run of the host.
func (h *Host) ID() core.HostID { return h.id }

// Drain shuts the host down gracefully. It lets running requests and
// transactions finish within drain_ms, disconnects idle callers, returns the
// host's shares and stops.
func (h *Host) Drain() {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	h.mesh.SendHeartbeat()
	h.event(h.Log.Info(), "drain_started").Int("sessions", h.callers.Sessions()).Msg("")
	h.callers.Drain(time.Duration(h.Settings.DrainMS) * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), hostListInterval)
	defer cancel()
	h.sharer.releaseShares(ctx)
	h.Stop()
}

// Stop shuts the host down and cuts running sessions.
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

// liveHosts returns the sorted IDs of the live hosts that are not leaving, this
// one included.
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

// livePeers returns the live peers that are not leaving.
func (h *Host) livePeers() []peer.Info {
	var out []peer.Info
	for _, p := range h.mesh.Peers() {
		if p.Live && !p.Leaving {
			out = append(out, p.Info)
		}
	}
	return out
}

// heartbeat returns this host's state for the next heartbeat.
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
			Group: g.Declared.Name, Term: v.Term, PrimarySilenceMS: v.PrimarySilence.Milliseconds(), ReachesMajority: v.ReachesMajority,
		})
	}
	return hb
}

// onHeartbeat passes a peer's view of each group to the group's core.
func (h *Host) onHeartbeat(hb peer.Heartbeat) {
	for _, v := range hb.Groups {
		g := h.group(v.Group)
		if g == nil {
			continue
		}
		g.Handle(core.PeerViewReceived{Host: hb.From.Host, View: core.PeerView{
			Term: v.Term, PrimarySilence: time.Duration(v.PrimarySilenceMS) * time.Millisecond, ReachesMajority: v.ReachesMajority,
		}})
	}
}

// event sets the event name and the fields that all log events have.
func (h *Host) event(e *log.Entry, name string) *log.Entry {
	return e.Str("event", name).Str("host", string(h.id)).Str("zone", string(h.Settings.Zone))
}
