package deploy

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/benbjohnson/clock"
	"github.com/phuslu/log"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/internal/declared"
	"github.com/cumintrestle/cumintrestle/internal/host"
	client "github.com/cumintrestle/cumintrestle/internal/platform"
	"github.com/cumintrestle/cumintrestle/internal/settings"
	"github.com/cumintrestle/cumintrestle/internal/standin/endpoint"
	"github.com/cumintrestle/cumintrestle/internal/standin/link"
	"github.com/cumintrestle/cumintrestle/internal/standin/platform"
	"github.com/cumintrestle/cumintrestle/pkg/session"
	"github.com/cumintrestle/cumintrestle/pkg/template"
)

// Credentials with which the processes of a deployment authenticate.
const (
	EndpointPassword   = "endpoint-demo"
	PeerCredential     = "peer-demo"
	OperatorCredential = "demo:operator-demo"
)

// Options change how a deployment runs.
type Options struct {
	Clock clock.Clock
	Log   *log.Logger
	// NoDelay disables the network delays. Connections to endpoints then bypass
	// the link rules, so that cuts do not affect them either.
	NoDelay bool
	// ConfigureSettings changes the settings of every entry host.
	ConfigureSettings func(*settings.Settings)
	// ConfigureGroup changes the core.Group of every database group on every
	// host before it runs, for tests.
	ConfigureGroup func(*core.Group)
	// Groups limits the number of database groups; 0 means all.
	Groups int
	// Hosts overrides the spec's number of entry hosts; 0 means no override.
	Hosts int
}

// Deployment is a running deployment.
type Deployment struct {
	Spec     Spec
	Platform *platform.Server
	Rules    *link.Rules

	opts        Options
	platformURL string
	platformSrv *http.Server
	mu          sync.Mutex
	nodes       map[core.MemberID]*endpoint.Node
	addresses   map[core.MemberID]string
	listeners   []net.Listener
	hosts       []*host.Host
	hostZones   []core.Zone // by index in hosts
	seeds       []string    // peer addresses of the first hosts
}

// Start starts the platform, the endpoints and the entry hosts, and waits until
// the deployment is ready.
func Start(spec Spec, opts Options) (*Deployment, error) {
	if opts.Clock == nil {
		opts.Clock = clock.New()
	}
	if opts.Log == nil {
		opts.Log = &log.Logger{Level: log.PanicLevel}
	}
	if opts.Groups > 0 {
		spec.Groups = spec.Groups[:opts.Groups]
	}
	if opts.Hosts > 0 {
		spec.Hosts = opts.Hosts
	}
	d := &Deployment{Spec: spec, opts: opts, Rules: link.NewRules(), nodes: make(map[core.MemberID]*endpoint.Node), addresses: make(map[core.MemberID]string)}
	for i, a := range spec.Zones {
		d.Rules.SetZone(zoneIP(i), string(a))
		for _, b := range spec.Zones[:i] {
			if !opts.NoDelay {
				d.Rules.SetDelay(string(a), string(b), spec.Delay)
			}
		}
	}
	if err := d.startPlatform(); err != nil {
		return nil, err
	}
	if err := d.startNodes(); err != nil {
		return nil, err
	}
	for i := range spec.Hosts {
		if _, err := d.StartHost(spec.Zones[i%len(spec.Zones)], nil); err != nil {
			return nil, err
		}
	}
	return d, d.WaitReady(20 * time.Second)
}

// zoneIP returns the loopback address that everything in zone i listens on.
func zoneIP(i int) string { return fmt.Sprintf("127.0.%d.1", 10+i) }

func (d *Deployment) ipOfZone(z core.Zone) string {
	for i, zone := range d.Spec.Zones {
		if zone == z {
			return zoneIP(i)
		}
	}
	return "127.0.0.1"
}

// PlatformZone is the platform's zone name in the link rules.
const PlatformZone = "platform"

func (d *Deployment) startPlatform() error {
	d.Platform = platform.NewServer(d.opts.Clock)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for platform: %w", err)
	}
	d.platformURL = "http://" + ln.Addr().String()
	d.platformSrv = &http.Server{Handler: d.Platform, ReadHeaderTimeout: time.Second}
	go func() {
		_ = d.platformSrv.Serve(&link.Listener{Listener: ln, Zone: PlatformZone, Rules: d.Rules})
	}()
	return nil
}

// PlatformURL returns the URL of the platform stand-in.
func (d *Deployment) PlatformURL() string { return d.platformURL }

// startNodes starts the endpoints and writes the database groups and client
// accounts to the platform's table.
func (d *Deployment) startNodes() error {
	var writes []client.Write
	for gi, name := range d.Spec.Groups {
		g := declared.Group{Name: name}
		for zi, z := range d.Spec.Zones {
			e, err := d.startNode(name, z, zi == gi%len(d.Spec.Zones))
			if err != nil {
				return err
			}
			g.Members = append(g.Members, e)
		}
		value, err := json.Marshal(g)
		if err != nil {
			return fmt.Errorf("encode group: %w", err)
		}
		writes = append(writes, client.Write{Key: declared.GroupPrefix + string(name), Value: value})
	}
	for _, a := range d.Spec.Accounts {
		v, err := template.NewVerifier(a.Password)
		if err != nil {
			return err
		}
		t := template.Template{
			Account: a.Name, Groups: d.Spec.Groups, OldestReadMS: a.OldestReadMS,
			Connections: a.Connections, Verifier: v, State: template.Active,
		}
		value, err := json.Marshal(t)
		if err != nil {
			return fmt.Errorf("encode template: %w", err)
		}
		writes = append(writes, client.Write{Key: declared.AccountPrefix + string(a.Name), Value: value})
	}
	c := &client.Client{URL: d.platformURL}
	c.Init()
	_, err := c.Commit(context.Background(), writes)
	return err
}

// MemberOf returns the ID of a group's member in a zone.
func MemberOf(g session.Group, z core.Zone) core.MemberID {
	return core.MemberID(string(g) + "-" + string(z))
}

func (d *Deployment) startNode(g session.Group, z core.Zone, primary bool) (declared.Endpoint, error) {
	ip := d.ipOfZone(z)
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return declared.Endpoint{}, fmt.Errorf("listen for endpoint: %w", err)
	}
	e := declared.Endpoint{
		Member:      core.Member{ID: MemberOf(g, z), Zone: z, Address: ln.Addr().String()},
		Connections: d.Spec.Connections,
		Slots:       d.Spec.Slots,
	}
	n := &endpoint.Node{
		ID: e.ID, Password: EndpointPassword, Slots: d.Spec.Slots, MaxSessions: d.Spec.Connections,
		ConnectDelay: d.Spec.ConnectDelay, Bootstrap: primary, BindIP: ip, Clock: d.opts.Clock,
	}
	d.nodes[e.ID] = n
	d.addresses[e.ID] = e.Address
	if d.opts.NoDelay {
		return e, n.Start(ln)
	}
	return e, n.Start(&link.Listener{Listener: ln, Zone: string(z), Rules: d.Rules})
}

// AddressOf returns the address that a member listens on.
func (d *Deployment) AddressOf(id core.MemberID) string { return d.addresses[id] }

// Node returns the stand-in endpoint of a member.
func (d *Deployment) Node(id core.MemberID) *endpoint.Node { return d.nodes[id] }

// StartHost starts another entry host in a zone. If configure is not nil, it
// changes the host's settings after Options.Settings. Peers reach the host
// through a relay that applies the link rules.
func (d *Deployment) StartHost(z core.Zone, configure func(*settings.Settings)) (*host.Host, error) {
	ip := d.ipOfZone(z)
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, fmt.Errorf("listen for peer relay: %w", err)
	}
	d.mu.Lock()
	n := len(d.hosts)
	s := settings.Defaults()
	s.HostID = fmt.Sprintf("%s-%d", d.Spec.User, n+1)
	s.Zone = z
	s.BindIP = ip
	s.CallerListen, s.PeerListen, s.OperatorListen = ip+":0", ip+":0", ip+":0"
	s.PeerAdvertise = ln.Addr().String()
	s.SeedPeers = append([]string(nil), d.seeds...)
	s.PlatformURL = d.platformURL
	s.PeerCredential = PeerCredential
	s.EndpointPassword = EndpointPassword
	s.OperatorCredentials = []string{OperatorCredential}
	d.mu.Unlock()
	if d.opts.ConfigureSettings != nil {
		d.opts.ConfigureSettings(&s)
	}
	if configure != nil {
		configure(&s)
	}
	h := &host.Host{Settings: s, Clock: d.opts.Clock, Log: d.opts.Log, ConfigureGroup: d.opts.ConfigureGroup}
	if err := h.Run(); err != nil {
		return nil, fmt.Errorf("start host: %w", err)
	}
	go link.Relay(&link.Listener{Listener: ln, Zone: string(z), Rules: d.Rules}, func() string { return h.Addresses().Peer })
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hosts = append(d.hosts, h)
	d.hostZones = append(d.hostZones, z)
	d.listeners = append(d.listeners, ln)
	if len(d.seeds) < 3 {
		d.seeds = append(d.seeds, ln.Addr().String())
	}
	return h, nil
}

// Hosts returns all entry hosts that were started, stopped ones included.
func (d *Deployment) Hosts() []*host.Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*host.Host(nil), d.hosts...)
}

// PrimaryOf returns the current primary of a group and its term. Of several
// members that report the primary role, the one with the latest term counts.
func (d *Deployment) PrimaryOf(g session.Group) (core.MemberID, session.Term) {
	var best core.MemberID
	var term session.Term
	for _, z := range d.Spec.Zones {
		id := MemberOf(g, z)
		s := d.nodes[id].Status()
		if s.Role == core.Primary && s.Last.Term > term {
			best, term = id, s.Last.Term
		}
	}
	return best, term
}

// CutZone cuts or restores the paths of a zone to the other zones and to the
// platform.
func (d *Deployment) CutZone(z core.Zone, isolated bool) {
	for _, o := range d.Spec.Zones {
		if o != z {
			d.Rules.SetCut(string(z), string(o), isolated)
		}
	}
	d.Rules.SetCut(string(z), PlatformZone, isolated)
}

// WaitReady waits until every host runs every group and every endpoint is up on
// it, with a known age and a share of connections.
func (d *Deployment) WaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for {
		notReady := d.firstNotReady()
		if notReady == "" {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("deployment not ready: %s", notReady)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// firstNotReady describes the first host or endpoint that is not ready, or
// returns "".
func (d *Deployment) firstNotReady() string {
	for _, h := range d.Hosts() {
		s := h.Status()
		if len(s.Groups) < len(d.Spec.Groups) {
			return fmt.Sprintf("host %s runs %d groups", s.Host, len(s.Groups))
		}
		for _, g := range s.Groups {
			for _, e := range g.Endpoints {
				if !e.Up || !e.AgeKnown || e.Pool.Limit == 0 {
					return fmt.Sprintf("host %s, endpoint %s: up %t, age known %t, share %d",
						s.Host, e.Member.ID, e.Up, e.AgeKnown, e.Pool.Limit)
				}
			}
		}
	}
	return ""
}

// URL returns the connection URL of an account and a group on a host.
func (d *Deployment) URL(h *host.Host, a AccountSpec, g session.Group) string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", a.Name, a.Password, h.Addresses().Caller, g)
}

// Stop stops the hosts, the endpoints, the relays' listeners and the platform.
func (d *Deployment) Stop() {
	for _, h := range d.Hosts() {
		h.Stop()
	}
	for _, n := range d.nodes {
		_ = n.Stop()
	}
	for _, ln := range d.listeners {
		_ = ln.Close()
	}
	_ = d.platformSrv.Close()
}
