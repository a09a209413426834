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

// Credentials of the demo's own processes.
const (
	EndpointPassword   = "endpoint-demo"
	PeerCredential     = "peer-demo"
	OperatorCredential = "demo:operator-demo"
)

// Options vary a deployment.
type Options struct {
	Clock clock.Clock
	Log   *log.Logger
	// NoDelay leaves all network delays out.
	NoDelay bool
	// Settings varies the settings of every entry host.
	Settings func(*settings.Settings)
	// Adjust varies every group's core.
	Adjust func(*core.Group)
	// Groups limits the number of database groups; 0 is all.
	Groups int
	// Hosts replaces the number of entry hosts; 0 is the spec's.
	Hosts int
}

// Deployment is what runs.
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
	places      []core.Zone
	seeds       []string
}

// Start starts everything and waits until every group takes writes.
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
		d.Rules.Place(zoneIP(i), string(a))
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

// zoneIP is the IP number of everything in a zone.
func zoneIP(i int) string { return fmt.Sprintf("127.0.%d.1", 10+i) }

func (d *Deployment) ipOf(z core.Zone) string {
	for i, have := range d.Spec.Zones {
		if have == z {
			return zoneIP(i)
		}
	}
	return "127.0.0.1"
}

// PlatformZone is the zone name of the platform in the rules.
const PlatformZone = "platform"

func (d *Deployment) startPlatform() error {
	d.Platform = platform.NewServer(d.opts.Clock)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	d.platformURL = "http://" + ln.Addr().String()
	d.platformSrv = &http.Server{Handler: d.Platform, ReadHeaderTimeout: time.Second}
	go func() {
		_ = d.platformSrv.Serve(&link.Listener{Listener: ln, Zone: PlatformZone, Rules: d.Rules})
	}()
	return nil
}

// PlatformURL returns where the platform stand-in answers.
func (d *Deployment) PlatformURL() string { return d.platformURL }

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
			return fmt.Errorf("group: %w", err)
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
			return fmt.Errorf("template: %w", err)
		}
		writes = append(writes, client.Write{Key: declared.AccountPrefix + string(a.Name), Value: value})
	}
	c := &client.Client{URL: d.platformURL}
	c.Init()
	_, err := c.Commit(context.Background(), writes)
	return err
}

// MemberOf names the member of a group in a zone.
func MemberOf(g session.Group, z core.Zone) core.MemberID {
	return core.MemberID(string(g) + "-" + string(z))
}

func (d *Deployment) startNode(g session.Group, z core.Zone, primary bool) (declared.Endpoint, error) {
	ip := d.ipOf(z)
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return declared.Endpoint{}, fmt.Errorf("endpoint: %w", err)
	}
	e := declared.Endpoint{
		Member:      core.Member{ID: MemberOf(g, z), Zone: z, Address: ln.Addr().String()},
		Connections: d.Spec.Connections,
		Slots:       d.Spec.Slots,
	}
	n := &endpoint.Node{
		ID: e.ID, Password: EndpointPassword, Slots: d.Spec.Slots, Limit: d.Spec.Connections,
		ConnectDelay: d.Spec.ConnectDelay, Bootstrap: primary, BindIP: ip, Clock: d.opts.Clock,
	}
	d.nodes[e.ID] = n
	d.addresses[e.ID] = e.Address
	if d.opts.NoDelay {
		return e, n.Start(ln)
	}
	return e, n.Start(&link.Listener{Listener: ln, Zone: string(z), Rules: d.Rules})
}

// AddressOf returns where a member listens.
func (d *Deployment) AddressOf(id core.MemberID) string { return d.addresses[id] }

// Node returns a member's stand-in.
func (d *Deployment) Node(id core.MemberID) *endpoint.Node { return d.nodes[id] }

// StartHost starts one more entry host in a zone.
func (d *Deployment) StartHost(z core.Zone, vary func(*settings.Settings)) (*host.Host, error) {
	ip := d.ipOf(z)
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
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
	if d.opts.Settings != nil {
		d.opts.Settings(&s)
	}
	if vary != nil {
		vary(&s)
	}
	h := &host.Host{Settings: s, Clock: d.opts.Clock, Log: d.opts.Log, Adjust: d.opts.Adjust}
	if err := h.Run(); err != nil {
		return nil, fmt.Errorf("host: %w", err)
	}
	go link.Relay(&link.Listener{Listener: ln, Zone: string(z), Rules: d.Rules}, func() string { return h.Addresses().Peer })
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hosts = append(d.hosts, h)
	d.places = append(d.places, z)
	d.listeners = append(d.listeners, ln)
	if len(d.seeds) < 3 {
		d.seeds = append(d.seeds, ln.Addr().String())
	}
	return h, nil
}

// Hosts lists the entry hosts that were started.
func (d *Deployment) Hosts() []*host.Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*host.Host(nil), d.hosts...)
}

// PrimaryOf returns the member that leads a group now, by its own word.
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

// CutZone cuts a zone off from the other zones and from the platform, or heals
// it.
func (d *Deployment) CutZone(z core.Zone, cut bool) {
	for _, o := range d.Spec.Zones {
		if o != z {
			d.Rules.SetCut(string(z), string(o), cut)
		}
	}
	d.Rules.SetCut(string(z), PlatformZone, cut)
}

// WaitReady waits until every host has shares and a primary in every group.
func (d *Deployment) WaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for {
		missing := d.missing()
		if missing == "" {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("not ready: %s", missing)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// missing names the first thing that is not ready.
func (d *Deployment) missing() string {
	for _, h := range d.Hosts() {
		s := h.Status()
		if len(s.Groups) < len(d.Spec.Groups) {
			return fmt.Sprintf("host %s runs %d groups", s.Host, len(s.Groups))
		}
		for _, g := range s.Groups {
			for _, e := range g.Endpoint {
				if !e.Up || !e.AgeOK || e.Pool.Limit == 0 {
					return fmt.Sprintf("host %s, endpoint %s: up %t, age known %t, share %d",
						s.Host, e.Member.ID, e.Up, e.AgeOK, e.Pool.Limit)
				}
			}
		}
	}
	return ""
}

// URL returns the address that a caller of an account and group connects to.
func (d *Deployment) URL(h *host.Host, a AccountSpec, g session.Group) string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", a.Name, a.Password, h.Addresses().Caller, g)
}

// Stop stops everything.
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
