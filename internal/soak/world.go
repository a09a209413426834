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
	// restartDelay is the time between the exit of a host and its restart.
	restartDelay = 300 * time.Millisecond
	// graceTime is the time from SIGTERM to SIGKILL that the hosts are configured for.
	graceTime = 4 * time.Second
	// statementTimeout and maxAge are configured for all databases.
	statementTimeout = 900 * time.Millisecond
	maxAge           = 1500 * time.Millisecond
	// idleTransactionLimit is how long a transaction may be idle before it is ended.
	idleTransactionLimit = 2 * time.Second
	// hostNet is the first of hostNets loopback networks (127.64.0.0/16 and up). Each
	// soak process uses one of them, chosen by its process id, and each host has an
	// address of its own in it.
	hostNet, hostNets = 64, 60
	// endpointUpdateInterval is how often endpoints replicate from their primary and
	// register.
	endpointUpdateInterval = 100 * time.Millisecond
)

// promoteTimes are how long a promotion takes, by turns of the seed, in the plans that have
// to do with switches.
var promoteTimes = []time.Duration{300 * time.Millisecond, time.Second}

// world is the deployment under test: store, database groups, proxies and hosts.
type world struct {
	opt    Options
	dir    string
	store  *standin.Store
	groups []*standin.Group
	// endpointProxies has the proxy of each endpoint by its id.
	endpointProxies map[string]*proxy
	hosts           []*process
	connLimit       int
	// accounts is nil unless client accounts are in use.
	accounts *accountWorld
	// traps is nil unless the plan has faults within switches; sprung counts those.
	traps  *switchTraps
	sprung int

	mu      sync.Mutex
	version int
	// configs has all versions of the configuration in order.
	configs []configVersion
	// registered has the last registration of each endpoint.
	registered map[string]string
	// withdrawn has the endpoints that don't register.
	withdrawn map[string]bool
	// promoted has the endpoint of each group that a promote call named last.
	promoted map[int]string
}

// configVersion is one version of the configuration: the group of the database
// "moving" in it, and when the store accepted it.
type configVersion struct {
	version, group int
	at             time.Time
}

// process is one entry host, which runs as a process of its own.
type process struct {
	w                  *world
	name, settingsPath string
	callerAddress      string
	// storeProxy is for calls to the store, promoteProxy for promote calls.
	storeProxy, promoteProxy *proxy

	mu  sync.Mutex
	cmd *exec.Cmd
	// starts counts the starts of the host.
	starts  int
	stopped bool
}

// newWorld starts the store, the database groups, the proxies and the hosts. The
// caller has to close the world also after an error.
func newWorld(opt Options) (*world, error) {
	w := &world{opt: opt, store: standin.NewStore(), endpointProxies: make(map[string]*proxy), registered: make(map[string]string), withdrawn: make(map[string]bool), promoted: make(map[int]string)}
	r := rand.New(rand.NewPCG(opt.Seed, 0))
	w.connLimit = 2 + r.IntN(12)
	members := membersPerGroup
	switches := opt.Plan == PlanSwitches || opt.Plan == PlanLosses
	if switches {
		members += spareMembers
	}
	for i := range groups {
		g := standin.NewGroup(fmt.Sprintf("orders%d", i), members)
		g.PromoteAfter, g.MaxConns = time.Duration(50+r.IntN(500))*time.Millisecond, w.connLimit+4
		if opt.Plan != PlanMixed {
			g.PromoteAfter, g.CommitWait = promoteTimes[opt.Seed%2], statementTimeout
		}
		if !opt.SingleAnswers {
			g.AnswerAgain = answerAgain
		}
		if opt.Plan == PlanRestarts || opt.Work {
			g.Work = workTime(opt.Seed)
		}
		for _, d := range g.Databases[membersPerGroup:] {
			d.Leave()
		}
		w.groups = append(w.groups, g)
		for _, d := range g.Databases {
			p, err := newProxy(d.Address, "")
			if err != nil {
				return w, err
			}
			w.endpointProxies[d.ID] = p
		}
	}
	w.store.Promote = w.promote
	if switches {
		w.watchSwitches()
	}
	if opt.Plan == PlanAccounts {
		w.useAccounts()
	}
	w.openEra()
	w.moveDatabase(0)
	w.updateEndpoints()
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

// openEra records that the first era of the store is open for promotions, as in a
// deployment that has run for some seconds.
func (w *world) openEra() {
	terms := make(map[string]int)
	for _, g := range w.groups {
		terms[g.Name] = 1
	}
	w.store.Put("lead", "era/1", map[string]any{"host": "host-0", "terms": terms})
}

// promote starts the promotion of an endpoint to the primary of its group. It returns
// false if no group accepts that.
func (w *world) promote(id string) bool {
	for i, g := range w.groups {
		if g.Promote(id) {
			w.notePromoted(i, id)
			w.reached(i, phaseOrdered, "")
			return true
		}
	}
	return false
}

// close stops everything that the soak started. It keeps the settings files if LogDir
// is set.
func (w *world) close() {
	for _, p := range w.hosts {
		p.signal(syscall.SIGCONT)
		p.kill()
		p.storeProxy.close()
		p.promoteProxy.close()
	}
	for _, p := range w.endpointProxies {
		p.close()
	}
	for _, g := range w.groups {
		g.Close()
	}
	w.store.Close()
	if w.opt.LogDir == "" && w.dir != "" {
		_ = os.RemoveAll(w.dir)
	}
}

// moveDatabase stores the next version of the configuration, in which the database
// "moving" belongs to the given group.
func (w *world) moveDatabase(group int) {
	w.mu.Lock()
	w.version += 1 + w.version%2
	v := w.version
	w.configs = append(w.configs, configVersion{v, group, time.Now()})
	w.mu.Unlock()
	config := standin.Config(v, w.routes(group), w.limits())
	w.accounts.declare(config)
	w.store.Put("op", "config", config)
	w.accounts.stored()
	w.mu.Lock()
	w.configs[len(w.configs)-1].at = time.Now()
	w.mu.Unlock()
}

// routes returns the databases of the configuration: one of each kind for each group,
// and "moving" on the given group.
func (w *world) routes(moving int) []standin.Route {
	var all []standin.Route
	for i, g := range w.groups {
		for _, kind := range []string{"primary", "bounded", "session"} {
			all = append(all, standin.Route{Database: fmt.Sprintf("%s%d", kind, i), Kind: kind, Group: g.Name, Timeout: w.statementTimeout(), MaxAge: maxAge})
		}
	}
	return append(all, standin.Route{Database: "moving", Kind: "bounded", Group: w.groups[moving].Name, Timeout: w.statementTimeout(), MaxAge: maxAge})
}

func (w *world) limits() standin.Limits {
	names := make([]string, 0, len(w.groups))
	for _, g := range w.groups {
		names = append(names, g.Name)
	}
	return standin.Limits{Groups: names, Connections: w.connLimit, IdleInTransaction: idleTransactionLimit}
}

// updateEndpoints lets replicas follow their primary, and registers each responsive
// endpoint whose registration changed.
func (w *world) updateEndpoints() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, g := range w.groups {
		g.Replicate()
		for i, d := range g.Databases {
			reg := d.Registration(fmt.Sprintf("zone-%d", i%zones))
			reg["address"] = w.endpointProxies[d.ID].address()
			body, err := json.Marshal(reg)
			if err != nil || w.registered[d.ID] == string(body) || d.Unresponsive() || w.withdrawn[d.ID] {
				continue
			}
			w.registered[d.ID] = string(body)
			w.store.Put("servers", d.ID, body)
		}
	}
}

// addHost writes the settings of host i and starts it.
func (w *world) addHost(i int) error {
	p := &process{w: w, name: fmt.Sprintf("host-%d", i)}
	var err error
	if p.storeProxy, err = newProxy(w.store.Address, p.name); err != nil {
		return err
	}
	if p.promoteProxy, err = newProxy(w.store.Address, p.name); err != nil {
		return err
	}
	ip := fmt.Sprintf("127.%d.%d.1", hostNet+os.Getpid()%hostNets, i+1)
	addresses, err := freeAddresses(ip, 3)
	if err != nil {
		return err
	}
	p.callerAddress, p.settingsPath = addresses[0], filepath.Join(w.dir, p.name+".json")
	_, port, _ := net.SplitHostPort(addresses[2])
	settings := map[string]any{
		"host_id": p.name, "zone": fmt.Sprintf("zone-%d", i%zones), "caller_listen": addresses[0], "ready_listen": addresses[1],
		"bind_ip": ip, "internal_ports": []json.Number{json.Number(port)},
		"store_address": p.storeProxy.address(), "promote_address": p.promoteProxy.address(),
		"memory_mb": 200, "cpu_share": 0.4, "grace_s": graceTime.Seconds(), "drain_ms": 7000,
	}
	if w.accounts != nil {
		standin.AddAccountSettings(settings, limitWindow, limitOverage, limitSlack)
	}
	body, err := json.Marshal(settings)
	if err == nil {
		err = os.WriteFile(p.settingsPath, body, 0o600)
	}
	if err != nil {
		return fmt.Errorf("soak: settings: %w", err)
	}
	w.hosts = append(w.hosts, p)
	return p.start()
}

// freeAddresses returns unused ports of a loopback address. Outgoing connections use
// another local address, so they cannot occupy a port before the host listens on it.
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

// start starts the host unless it was stopped by kill.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil
	}
	cmd := exec.Command(p.w.opt.Binary, "serve", "--settings", p.settingsPath)
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
	p.starts++
	go p.restartOnExit(cmd)
	return nil
}

// restartOnExit waits for the host to exit and restarts it, as the platform does.
func (p *process) restartOnExit(cmd *exec.Cmd) {
	_ = cmd.Wait()
	time.Sleep(restartDelay)
	if err := p.start(); err != nil {
		p.w.opt.note("host did not start: " + err.Error())
	}
}

// signal sends a signal to the host if it was started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the host without a restart.
func (p *process) kill() {
	p.mu.Lock()
	p.stopped = true
	cmd := p.cmd
	p.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
	}
}

// incarnation returns a number that changes with each restart of the host.
func (p *process) incarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}
