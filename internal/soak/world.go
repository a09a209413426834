package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cumintrestle/cumintrestle/platform/standin"
)

const (
	// membersPerGroup is the size of a database group.
	membersPerGroup = 3
	// groups is the number of database groups.
	groups = 3
	// zones is the number of availability zones.
	zones = 3
	// restartAfter is how long a host that ended stays away.
	restartAfter = 300 * time.Millisecond
	// graceTime is how long after SIGTERM a host is killed.
	graceTime = 4 * time.Second
	// statementTimeout and maxAge are declared for all databases.
	statementTimeout = 900 * time.Millisecond
	maxAge           = 1500 * time.Millisecond
	// idleLimit ends transactions that rest for longer.
	idleLimit = 2 * time.Second
	// hostNet is the first of hostNets loopback networks, one for each soak on a
	// machine, in which hosts get addresses of their own.
	hostNet, hostNets = 64, 60
	// tickEvery is how often endpoints follow their primary and register.
	tickEvery = 100 * time.Millisecond
)

// world is the deployment under test.
type world struct {
	opt   Options
	dir   string
	store *standin.Store
	group []*standin.Group
	// before has the proxy of each endpoint.
	before map[string]*proxy
	hosts  []*process
	conns  int

	mu         sync.Mutex
	version    int
	put        []configured
	registered map[string]string
}

// configured is one version of the configuration: which group the database
// that moves belonged to, and when it was accepted.
type configured struct {
	version, group int
	at             time.Time
}

// process is one entry host.
type process struct {
	w            *world
	name, path   string
	caller       string
	store, order *proxy

	mu          sync.Mutex
	cmd         *exec.Cmd
	incarnation int
	stopped     bool
}

func newWorld(opt Options) (*world, error) {
	w := &world{opt: opt, store: standin.NewStore(), before: make(map[string]*proxy), registered: make(map[string]string)}
	r := rand.New(rand.NewPCG(opt.Seed, 0))
	w.conns = 2 + r.IntN(12)
	for i := range groups {
		g := standin.NewGroup(fmt.Sprintf("orders%d", i), membersPerGroup)
		g.PromoteAfter, g.MaxConns = time.Duration(50+r.IntN(500))*time.Millisecond, w.conns+4
		w.group = append(w.group, g)
		for _, d := range g.Databases {
			p, err := newProxy(d.Address, "")
			if err != nil {
				return w, err
			}
			w.before[d.ID] = p
		}
	}
	w.store.Promote = w.promote
	w.configure(0)
	w.tick()
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return w, fmt.Errorf("soak: %w", err)
	}
	w.dir = dir
	for i := range opt.Hosts {
		if err := w.addHost(i); err != nil {
			return w, err
		}
	}
	return w, nil
}

func (w *world) promote(id string) bool {
	for _, g := range w.group {
		if g.Promote(id) {
			return true
		}
	}
	return false
}

// close ends what the soak started, and nothing else.
func (w *world) close() {
	for _, p := range w.hosts {
		p.signal(syscall.SIGCONT)
		p.kill()
		p.store.close()
		p.order.close()
	}
	for _, p := range w.before {
		p.close()
	}
	for _, g := range w.group {
		g.Close()
	}
	w.store.Close()
	if w.opt.LogDir == "" && w.dir != "" {
		_ = os.RemoveAll(w.dir)
	}
}

// configure accepts the next version: the database "moving" goes to a group.
func (w *world) configure(group int) {
	w.mu.Lock()
	w.version += 1 + w.version%2
	v := w.version
	w.put = append(w.put, configured{v, group, time.Now()})
	w.mu.Unlock()
	w.store.Put("op", "config", standin.Config(v, w.databases(group), w.policies()))
	w.mu.Lock()
	w.put[len(w.put)-1].at = time.Now()
	w.mu.Unlock()
}

func (w *world) databases(moving int) []standin.Route {
	var all []standin.Route
	for i, g := range w.group {
		for _, kind := range []string{"primary", "bounded", "session"} {
			all = append(all, standin.Route{Database: fmt.Sprintf("%s%d", kind, i), Kind: kind, Group: g.Name, Timeout: statementTimeout, MaxAge: maxAge})
		}
	}
	return append(all, standin.Route{Database: "moving", Kind: "bounded", Group: w.group[moving].Name, Timeout: statementTimeout, MaxAge: maxAge})
}

func (w *world) policies() standin.Limits {
	names := make([]string, 0, len(w.group))
	for _, g := range w.group {
		names = append(names, g.Name)
	}
	return standin.Limits{Groups: names, Connections: w.conns, IdleInTransaction: idleLimit}
}

// tick does what endpoints do by themselves: follow, and register changes.
func (w *world) tick() {
	for _, g := range w.group {
		g.Replicate()
		for i, d := range g.Databases {
			reg := d.Registration(fmt.Sprintf("zone-%d", i%zones))
			reg["address"] = w.before[d.ID].address()
			body, err := json.Marshal(reg)
			if err != nil || w.registered[d.ID] == string(body) || d.Unresponsive() {
				continue
			}
			w.registered[d.ID] = string(body)
			w.store.Put("servers", d.ID, body)
		}
	}
}

func (w *world) addHost(i int) error {
	p := &process{w: w, name: fmt.Sprintf("host-%d", i)}
	var err error
	if p.store, err = newProxy(w.store.Address, p.name); err != nil {
		return err
	}
	if p.order, err = newProxy(w.store.Address, p.name); err != nil {
		return err
	}
	ip := fmt.Sprintf("127.%d.%d.1", hostNet+os.Getpid()%hostNets, i+1)
	addresses, err := freeAddresses(ip, 3)
	if err != nil {
		return err
	}
	p.caller, p.path = addresses[0], filepath.Join(w.dir, p.name+".json")
	_, port, _ := net.SplitHostPort(addresses[2])
	settings := map[string]any{
		"host_id": p.name, "zone": fmt.Sprintf("zone-%d", i%zones), "caller_listen": addresses[0], "ready_listen": addresses[1],
		"bind_ip": ip, "internal_ports": []json.Number{json.Number(port)},
		"store_address": p.store.address(), "promote_address": p.order.address(),
		"memory_mb": 200, "cpu_share": 0.4, "grace_s": graceTime.Seconds(), "drain_ms": 7000,
	}
	body, err := json.Marshal(settings)
	if err == nil {
		err = os.WriteFile(p.path, body, 0o600)
	}
	if err != nil {
		return fmt.Errorf("soak: settings: %w", err)
	}
	w.hosts = append(w.hosts, p)
	return p.start()
}

// freeAddresses picks ports of a loopback address that nobody listens on. Outgoing
// connections have another address, so that none takes a port before the host does.
func freeAddresses(ip string, n int) ([]string, error) {
	var out []string
	for range n {
		ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, fmt.Errorf("soak: %w", err)
		}
		defer ln.Close()
		out = append(out, ln.Addr().String())
	}
	return out, nil
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil
	}
	cmd := exec.Command(p.w.opt.Binary, "serve", "--settings", p.path)
	if p.w.opt.LogDir != "" {
		out, err := os.OpenFile(filepath.Join(p.w.opt.LogDir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return fmt.Errorf("soak: %w", err)
		}
		defer out.Close()
		cmd.Stdout, cmd.Stderr = out, out
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	p.cmd = cmd
	p.incarnation++
	go p.keep(cmd)
	return nil
}

// keep starts the host again when it ended, as the platform does.
func (p *process) keep(cmd *exec.Cmd) {
	_ = cmd.Wait()
	time.Sleep(restartAfter)
	if err := p.start(); err != nil {
		p.w.opt.note("host did not start: " + err.Error())
	}
}

// signal sends a signal to the process that the soak started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the host for good.
func (p *process) kill() {
	p.mu.Lock()
	p.stopped = true
	cmd := p.cmd
	p.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
	}
}

// life tells one life of the host from the next.
func (p *process) life() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation
}
