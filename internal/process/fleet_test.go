package process

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/internal/declared"
	"github.com/cumintrestle/cumintrestle/internal/host"
	"github.com/cumintrestle/cumintrestle/internal/platform"
	"github.com/cumintrestle/cumintrestle/internal/settings"
	"github.com/cumintrestle/cumintrestle/internal/standin/endpoint"
	"github.com/cumintrestle/cumintrestle/pkg/session"
	"github.com/cumintrestle/cumintrestle/pkg/template"
)

const (
	group       = session.Group("die-ledger-1")
	account     = "bathafarn-shop-floor"
	password    = "shop-floor-test"
	credential  = "dana:operator-test"
	waitTimeout = 20 * time.Second
)

var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "cumintrestle")
	if err != nil {
		panic(err)
	}
	binaries = dir
	build := exec.Command("go", "build", "-o", dir, "../../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v: %s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// proc is a running process and the addresses that it listens on.
type proc struct {
	cmd    *exec.Cmd
	listen string
	admin  string
	host   host.Addresses
	zone   int
}

func (p *proc) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatalf("signal %v: %v", s, err)
	}
}

// fleet is a deployment of separate processes in three availability zones: a
// platform, a database group of three endpoints, and entry hosts. Each entry host
// has a relay in front of its peer address, so that tests can cut it off.
type fleet struct {
	t        *testing.T
	dir      string
	platform *proc
	nodes    []*proc
	relays   []*proc
	hosts    []*proc
	limit    int
}

func zoneName(i int) string { return []string{"cymru-a", "lloegr-a", "iwerddon-a"}[i] }
func zoneIP(i int) string   { return fmt.Sprintf("127.0.%d.1", 20+i) }

func memberID(i int) core.MemberID { return core.MemberID(string(group) + "-" + zoneName(i)) }

// spawn starts a process and decodes into dst the JSON line that the process
// prints once it listens.
func (f *fleet) spawn(dst any, name string, args ...string) *exec.Cmd {
	f.t.Helper()
	cmd := exec.Command(filepath.Join(binaries, name), args...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		f.t.Fatal(err)
	}
	var errOut bytes.Buffer
	cmd.Stderr = &errOut
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if f.t.Failed() {
			f.t.Logf("%s %v:\n%s", name, args, tail(errOut.String()))
		}
	})
	line, err := bufio.NewReader(out).ReadBytes('\n')
	if err != nil {
		f.t.Fatalf("%s %v printed nothing: %v", name, args, err)
	}
	if err := json.Unmarshal(line, dst); err != nil {
		f.t.Fatalf("%s: %s: %v", name, line, err)
	}
	return cmd
}

func tail(s string) string {
	const most = 4000
	if len(s) > most {
		return s[len(s)-most:]
	}
	return s
}

func (f *fleet) startStandin(zone int, kind string, args ...string) *proc {
	f.t.Helper()
	var a struct{ Listen, Admin string }
	all := append([]string{kind, "-z", zoneName(max(zone, 0))}, args...)
	if zone < 0 {
		all = append([]string{kind, "-z", "platform"}, args...)
	}
	p := &proc{zone: zone}
	p.cmd = f.spawn(&a, "cumintrestle-standin", all...)
	p.listen, p.admin = a.Listen, a.Admin
	f.setRules(p, nil)
	return p
}

// setRules sends the IP addresses of the zones to a stand-in and cuts or restores
// the given paths between zones.
func (f *fleet) setRules(p *proc, cut map[[2]string]bool) {
	f.t.Helper()
	type place struct {
		IP   string `json:"ip"`
		Zone string `json:"zone"`
	}
	type path struct {
		A   string `json:"a"`
		B   string `json:"b"`
		Cut bool   `json:"cut"`
	}
	var body struct {
		Places []place `json:"places"`
		Paths  []path  `json:"paths"`
	}
	for i := range 3 {
		body.Places = append(body.Places, place{zoneIP(i), zoneName(i)})
	}
	for pair, on := range cut {
		body.Paths = append(body.Paths, path{pair[0], pair[1], on})
	}
	f.putJSON("http://"+p.admin+"/standin/rules", body)
}

func (f *fleet) putJSON(url string, body any) {
	f.t.Helper()
	raw, err := json.Marshal(body)
	if err != nil {
		f.t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(raw))
	if err != nil {
		f.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatalf("put %s: %v", url, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		f.t.Fatalf("put %s: status %d", url, resp.StatusCode)
	}
}

// newFleet starts the platform, three endpoints and the given number of entry
// hosts, and waits until statements succeed on every host.
func newFleet(t *testing.T, hosts int) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), limit: 15}
	f.platform = f.startStandin(-1, "platform")
	g := declared.Group{Name: group}
	for i := range 3 {
		args := []string{
			"--id", string(memberID(i)), "--password", "endpoint-test", "-l", zoneIP(i) + ":0",
			"--bind-ip", zoneIP(i), "--slots", "3", "--limit", fmt.Sprint(f.limit), "--connect-ms", "10",
		}
		if i == 0 {
			args = append(args, "--bootstrap")
		}
		n := f.startStandin(i, "endpoint", args...)
		f.nodes = append(f.nodes, n)
		g.Members = append(g.Members, declared.Endpoint{
			Member:      core.Member{ID: memberID(i), Zone: core.Zone(zoneName(i)), Address: n.listen},
			Connections: f.limit, Slots: 3,
		})
	}
	value, err := json.Marshal(g)
	if err != nil {
		t.Fatal(err)
	}
	c := &platform.Client{URL: "http://" + f.platform.listen}
	c.Init()
	if _, err := c.Commit(context.Background(), []platform.Write{{Key: declared.GroupPrefix + string(group), Value: value}}); err != nil {
		t.Fatal(err)
	}
	for i := range hosts {
		f.startHost(i % 3)
	}
	f.applyTemplate(account, 60)
	f.waitReady()
	return f
}

func (f *fleet) startHost(zone int) *proc {
	f.t.Helper()
	ip := zoneIP(zone)
	s := settings.Defaults()
	s.HostID = fmt.Sprintf("test-%d", len(f.hosts)+1)
	s.Zone = core.Zone(zoneName(zone))
	s.BindIP = ip
	s.CallerListen, s.OperatorListen, s.PeerListen = ip+":0", ip+":0", "127.0.0.1:0"
	relay := f.startStandin(zone, "relay", "-l", ip+":0")
	s.PeerAdvertise = relay.listen
	for _, r := range f.relays {
		s.SeedPeers = append(s.SeedPeers, r.listen)
	}
	s.PlatformURL = "http://" + f.platform.listen
	s.PeerCredential, s.EndpointPassword = "peer-test", "endpoint-test"
	s.OperatorCredentials = []string{credential}
	raw, err := json.Marshal(s)
	if err != nil {
		f.t.Fatal(err)
	}
	path := filepath.Join(f.dir, s.HostID+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		f.t.Fatal(err)
	}
	p := &proc{zone: zone}
	p.cmd = f.spawn(&p.host, "cumintrestle", "serve", "-c", path)
	f.putJSON("http://"+relay.admin+"/standin/target", p.host.Peer)
	f.relays = append(f.relays, relay)
	f.hosts = append(f.hosts, p)
	return p
}

// runCLI runs the command line against host 0 and returns its output and exit
// code.
func (f *fleet) runCLI(args ...string) (string, int) {
	f.t.Helper()
	cmd := exec.Command(filepath.Join(binaries, "cumintrestle"), args...)
	cmd.Env = append(os.Environ(), "CUMINTRESTLE_URL=http://"+f.hosts[0].host.Operator, "CUMINTRESTLE_CREDENTIAL="+credential)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

func (f *fleet) applyTemplate(name template.Account, connections int) {
	f.t.Helper()
	v, err := template.NewVerifier(password)
	if err != nil {
		f.t.Fatal(err)
	}
	raw, err := json.Marshal(template.Template{
		Account: name, Groups: []session.Group{group}, OldestReadMS: 1000,
		Connections: connections, Verifier: v, State: template.Active,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	path := filepath.Join(f.dir, string(name)+".template.json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		f.t.Fatal(err)
	}
	deadline := time.Now().Add(waitTimeout)
	for {
		out, code := f.runCLI("apply", "-f", path, "--wait")
		if code == 0 {
			return
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("apply: exit %d: %s", code, out)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// eventually waits until check returns an empty string. It fails the test with
// the last string after waitTimeout.
func (f *fleet) eventually(what string, check func() string) {
	f.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for {
		missing := check()
		if missing == "" {
			return
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("%s: %s", what, missing)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// waitReady waits until a statement succeeds on every host.
func (f *fleet) waitReady() {
	f.t.Helper()
	for i := range f.hosts {
		f.eventually("host ready", func() string {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			conn, err := pgx.Connect(ctx, f.callerURL(i))
			if err != nil {
				return err.Error()
			}
			defer conn.Close(context.Background())
			if _, err := conn.Exec(ctx, "CREATE TABLE IF NOT EXISTS job (id TEXT PRIMARY KEY, die TEXT)"); err != nil {
				return err.Error()
			}
			return ""
		})
	}
}

func (f *fleet) callerURL(i int) string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", account, password, f.hosts[i].host.Caller, group)
}

func (f *fleet) connect(i int) *pgx.Conn {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	conn, err := pgx.Connect(ctx, f.callerURL(i))
	if err != nil {
		f.t.Fatalf("connect to host %d: %v", i, err)
	}
	f.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func (f *fleet) nodeState(i int) (endpoint.AdminState, error) {
	var s endpoint.AdminState
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + f.nodes[i].admin + "/standin/state")
	if err != nil {
		return s, fmt.Errorf("state: %w", err)
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// cutZone cuts a zone off from the other zones and from the platform, or restores
// its connections.
func (f *fleet) cutZone(zone int, cut bool) {
	f.t.Helper()
	paths := map[[2]string]bool{{zoneName(zone), "platform"}: cut}
	for i := range 3 {
		if i != zone {
			paths[[2]string{zoneName(zone), zoneName(i)}] = cut
		}
	}
	for _, p := range append(append([]*proc{f.platform}, f.nodes...), f.relays...) {
		if p.cmd.ProcessState == nil {
			f.setRules(p, paths)
		}
	}
}
