package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cumintrestle/cumintrestle/platform/standin"
)

const (
	// graceTime is the time between SIGTERM and SIGKILL that the hosts are configured for.
	graceTime = 6 * time.Second
	// settleTime is how long the hosts run before the load begins.
	settleTime = 3 * time.Second
	// memoryMB is the memory limit of a host on the small sites.
	memoryMB = 284
	// firstNet is the first of nets loopback networks (127.64.0.0/16 and up) of which a run uses one
	// for its hosts.
	firstNet, nets = 64, 60
)

// world is one deployment of stand-ins and entry hosts.
type world struct {
	rec    *record
	dir    string
	store  *standin.Store
	groups []*standin.Group
	hosts  []*host

	mu         sync.Mutex
	registered map[string]string
	// cut has the databases that are cut off from the store.
	cut map[string]bool
	// processes has all processes that were started.
	processes []*os.Process
	stopped   chan struct{}
}

// host is one entry host, which runs as a process of its own.
type host struct {
	name, settings     string
	callers, ready, ip string
	cmd                *exec.Cmd
	exited             chan struct{}
}

// newWorld starts the store and the database groups.
func newWorld(rec *record, groups ...*standin.Group) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("temporary folder: %w", err)
	}
	w := &world{
		rec: rec, dir: dir, store: standin.NewStore(), groups: groups,
		registered: make(map[string]string), cut: make(map[string]bool), stopped: make(chan struct{}),
	}
	w.endWithSignal()
	w.store.Promote = func(id string) bool {
		for _, g := range groups {
			if g.Promote(id) {
				return true
			}
		}
		return false
	}
	return w, nil
}

// endWithSignal ends the hosts if this process is told to end.
func (w *world) endWithSignal() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-told
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, p := range w.processes {
			_ = p.Kill()
		}
		_ = os.RemoveAll(w.dir)
		os.Exit(exitNotRun)
	}()
}

// route declares the given databases. It has to be called before the hosts are started.
func (w *world) route(routes []standin.Route, connections int) {
	var names []string
	terms := make(map[string]int)
	for _, g := range w.groups {
		names = append(names, g.Name)
		terms[g.Name] = 1
	}
	// As in a deployment that has run for some seconds.
	w.store.Put("lead", "era/1", map[string]any{"host": "host-0", "terms": terms})
	w.store.Put("op", "config", standin.Config(3, routes, standin.Limits{Groups: names, Connections: connections, IdleInTransaction: 5 * time.Second}))
}

// keepRegistered registers the databases now and after each change, until the world is closed.
func (w *world) keepRegistered() {
	w.register()
	go func() {
		t := time.NewTicker(100 * time.Millisecond)
		defer t.Stop()
		for {
			select {
			case <-w.stopped:
				return
			case <-t.C:
				w.register()
			}
		}
	}()
}

// register writes the rows of the databases that have changed.
func (w *world) register() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, g := range w.groups {
		g.Replicate()
		for i, d := range g.Databases {
			row := d.Registration(fmt.Sprintf("zone-%d", i%3))
			body, err := json.Marshal(row)
			if err != nil || w.registered[d.ID] == string(body) || d.Unresponsive() || w.cut[d.ID] {
				continue
			}
			w.registered[d.ID] = string(body)
			w.store.Put("servers", d.ID, body)
		}
	}
}

// addHost starts an entry host with the settings of a machine on the small sites.
func (w *world) addHost(i int) error {
	h := &host{name: fmt.Sprintf("host-%d", i), ip: fmt.Sprintf("127.%d.%d.1", firstNet+os.Getpid()%nets, i+1)}
	ports, err := freeAddresses(h.ip, 3)
	if err != nil {
		return err
	}
	h.callers, h.ready, h.settings = ports[0], ports[1], filepath.Join(w.dir, h.name+".json")
	_, port, _ := net.SplitHostPort(ports[2])
	settings := map[string]any{
		"host_id": h.name, "zone": fmt.Sprintf("zone-%d", i%3), "caller_listen": h.callers, "ready_listen": h.ready,
		"regions": map[string]string{"zone-0": "a", "zone-1": "b", "zone-2": "c"},
		"bind_ip": h.ip, "internal_ports": []json.Number{json.Number(port)}, "row_bytes": 65536, "heartbeat_ms": 1200,
		"store_address": w.store.Address, "promote_address": w.store.Address, "link_mbps": 1000,
		"memory_mb": memoryMB, "max_fds": 4300, "cpu_share": 0.4, "grace_s": graceTime.Seconds(), "drain_ms": 7000,
		"contracts": []string{"base", "drain", "config", "cost", "recover", "sql", "platform"},
	}
	body, err := json.Marshal(settings)
	if err == nil {
		err = os.WriteFile(h.settings, body, 0o600)
	}
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	w.hosts = append(w.hosts, h)
	return w.start(h)
}

// start starts the process of a host.
func (w *world) start(h *host) error {
	logFile, err := os.OpenFile(filepath.Join(w.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	defer logFile.Close()
	h.cmd = exec.Command("target/cumintrestle-entry", "serve")
	h.cmd.Env = append(os.Environ(), "CUMINTRESTLE_CONFIG="+h.settings)
	h.cmd.Stdout, h.cmd.Stderr = logFile, logFile
	if err := h.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", h.name, err)
	}
	w.mu.Lock()
	w.processes = append(w.processes, h.cmd.Process)
	w.mu.Unlock()
	exited := make(chan struct{})
	h.exited = exited
	cmd := h.cmd
	go func() {
		err := cmd.Wait()
		w.rec.write("%s has ended: %v", h.name, err)
		close(exited)
	}()
	return nil
}

// cutFromStore cuts a database off from the store, or connects it again.
func (w *world) cutFromStore(id string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[id] = cut
}

// startHosts registers the databases, starts hosts and waits until they are ready and settled.
func (w *world) startHosts(n int) error {
	w.keepRegistered()
	for i := range n {
		if err := w.addHost(i); err != nil {
			return err
		}
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

// restartHosts kills all hosts and starts them again after a pause.
func (w *world) restartHosts(pause time.Duration) error {
	for _, h := range w.hosts {
		if err := h.cmd.Process.Kill(); err != nil {
			return fmt.Errorf("kill %s: %w", h.name, err)
		}
		<-h.exited
	}
	time.Sleep(pause)
	for _, h := range w.hosts {
		if err := w.start(h); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until all hosts report that they are ready.
func (w *world) awaitReady() error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, h := range w.hosts {
			resp, err := client.Get("http://" + h.ready + "/api/readiness")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				n++
			}
		}
		if n == len(w.hosts) {
			return nil
		}
	}
	return errors.New("the hosts are not ready")
}

// close ends all processes and stand-ins.
func (w *world) close() {
	close(w.stopped)
	for _, h := range w.hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			_ = h.cmd.Process.Kill()
			<-h.exited
		}
	}
	for _, g := range w.groups {
		g.Close()
	}
	w.store.Close()
	_ = os.RemoveAll(w.dir)
}

// freeAddresses returns unused ports of a loopback address. Outgoing connections use another one.
func freeAddresses(ip string, n int) ([]string, error) {
	var out []string
	for range n {
		ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, fmt.Errorf("free port: %w", err)
		}
		defer ln.Close()
		out = append(out, ln.Addr().String())
	}
	return out, nil
}

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	began time.Time
}

// newRecord creates the file.
func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &record{f: f, began: time.Now()}, nil
}

// write adds a line.
func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.f, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// trouble reports whether the case is played with its disruption.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }
