package abuse

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/platform/standin"
)

// entry is an entry host of the line protocol with its stand-ins.
type entry struct {
	*process
	store                *standin.Store
	group                *standin.Group
	callers, ready, lend string
}

// freeAddress returns an unused port of the loopback address of the tests. Outgoing
// connections use another one, so they cannot occupy the port.
func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.33.7.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func startEntry(t *testing.T, maxFDs int) *entry {
	t.Helper()
	e := &entry{store: standin.NewStore(), group: standin.NewGroup("orders", 3)}
	t.Cleanup(func() {
		e.group.Close()
		e.store.Close()
	})
	e.store.Promote = e.group.Promote
	e.store.Put("lead", "era/1", map[string]any{"host": "host-0", "terms": map[string]int{"orders": 1}})
	e.store.Put("op", "config", standin.Config(3, []standin.Route{
		{Database: "latest", Kind: "primary", Group: "orders", Timeout: 5 * time.Second, MaxAge: 1500 * time.Millisecond},
	}, standin.Limits{Groups: []string{"orders"}, Connections: 16, IdleInTransaction: 5 * time.Second}))
	for i, d := range e.group.Databases {
		e.store.Put("servers", d.ID, d.Registration(fmt.Sprintf("zone-%d", i)))
	}
	e.callers, e.ready, e.lend = freeAddress(t), freeAddress(t), freeAddress(t)
	_, port, _ := net.SplitHostPort(e.lend)
	path := writeSettings(t, map[string]any{
		"host_id": "host-1", "zone": "zone-0", "caller_listen": e.callers, "ready_listen": e.ready,
		"bind_ip": "127.33.7.1", "internal_ports": []json.Number{json.Number(port)},
		"store_address": e.store.Address, "promote_address": e.store.Address,
		"memory_mb": memoryMB, "max_fds": maxFDs, "grace_s": 2, "drain_ms": 7000,
	})
	e.process = startProcess(t, exec.Command(filepath.Join(binaries, "cumintrestle-entry"), "serve", "--settings", path))
	e.fdLimit = maxFDs
	e.mustServe("WRITE 0 first")
	return e
}

// mustServe checks that an ordinary client is served.
func (e *entry) mustServe(text string) {
	e.t.Helper()
	n := 0
	eventually(e.t, "an ordinary request is not answered", func() error {
		c, err := standin.Connect(e.callers, "latest", 6*time.Second)
		if err != nil {
			return err
		}
		defer c.Close()
		n++
		a, err := c.Query(fmt.Sprintf("ordinary-%d", n), text)
		if err == nil && !a.Done() {
			err = fmt.Errorf("code %s", a.Code)
		}
		return err
	})
}

// mustAnswer checks that an HTTP port answers.
func (e *entry) mustAnswer(url string) {
	e.t.Helper()
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	eventually(e.t, url, func() error {
		resp, err := client.Get(url)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", resp.StatusCode)
		}
		return nil
	})
}

// mustBeWell checks the limits and all the ports.
func (e *entry) mustBeWell() {
	e.t.Helper()
	e.check()
	e.mustServe("WRITE 0 afterwards")
	e.mustAnswer("http://" + e.ready + "/api/readiness")
	e.mustAnswer("http://" + e.lend + "/metrics")
	e.check()
}

// open opens a session and returns its connection, nil if it is refused.
func (e *entry) open() net.Conn {
	nc := dialTest(e.t, e.callers)
	if nc == nil {
		return nil
	}
	push(nc, []byte("START latest application\r\n"))
	_ = nc.SetReadDeadline(time.Now().Add(5 * time.Second))
	answer := make([]byte, len("READY I -\r\n"))
	if n, err := nc.Read(answer); err != nil || !strings.HasPrefix(string(answer[:n]), "READY") {
		_ = nc.Close()
		return nil
	}
	_ = nc.SetReadDeadline(time.Time{})
	return nc
}

// bulk is the text of a large value.
var bulk = strings.Repeat("x", 1<<20-64)

// inPieces sends a message in small pieces.
func inPieces(nc net.Conn, message string, size int) {
	for len(message) > 0 && nc != nil {
		n := min(size, len(message))
		push(nc, []byte(message[:n]))
		message = message[n:]
	}
}

// TestUnfinishedMessages guards against messages of legal size that many clients send in
// pieces and never end: each of them was held in memory.
func TestUnfinishedMessages(t *testing.T) {
	e := startEntry(t, manyFDs)
	each(crowd, func(i int) { inPieces(e.open(), fmt.Sprintf("QUERY %d WRITE 1 %s", i, bulk), 16<<10) })
	time.Sleep(holdTime)
	e.mustBeWell()
}

// TestCrowdOfLargeMessages guards against many legal messages at once that wait to be run.
func TestCrowdOfLargeMessages(t *testing.T) {
	e := startEntry(t, manyFDs)
	e.group.Databases[0].SetUnresponsive(true)
	conns := make([]net.Conn, crowd)
	each(crowd, func(i int) { conns[i] = e.open() })
	each(crowd, func(i int) { push(conns[i], []byte(fmt.Sprintf("QUERY %d WRITE 1 %s\r\n", i, bulk))) })
	time.Sleep(holdTime)
	e.check()
	e.group.Databases[0].SetUnresponsive(false)
	e.mustBeWell()
}

// TestMessagesOverTheLimit guards against messages far over the limit without a line ending.
func TestMessagesOverTheLimit(t *testing.T) {
	e := startEntry(t, manyFDs)
	each(crowd, func(int) { inPieces(e.open(), "QUERY 1 WRITE 1 "+strings.Repeat(bulk, 4), 1<<20) })
	each(crowd, func(int) {
		if nc := dialTest(t, e.callers); nc != nil {
			inPieces(nc, "START "+bulk, 1<<20)
		}
	})
	e.mustBeWell()
}

// TestStatementsSentAhead guards against clients that send thousands of statements and read
// no answer.
func TestStatementsSentAhead(t *testing.T) {
	e := startEntry(t, manyFDs)
	ahead := []byte(strings.Repeat("QUERY 1 READ 0\r\nQUERY 2 WRITE 0 "+strings.Repeat("y", 2000)+"\r\n", 2000))
	each(32, func(int) { push(e.open(), ahead) })
	time.Sleep(holdTime)
	e.mustBeWell()
}

// TestUnreadAnswers guards against clients that don't read large answers, each of which was
// held in memory.
func TestUnreadAnswers(t *testing.T) {
	e := startEntry(t, manyFDs)
	for range 3 {
		e.mustServe("WRITE 1 " + bulk)
	}
	conns := make([]net.Conn, crowd)
	each(crowd, func(i int) { conns[i] = e.open() })
	each(crowd, func(i int) { push(conns[i], []byte(strings.Repeat("QUERY 1 READ 1\r\n", 20))) })
	time.Sleep(2 * holdTime)
	e.mustBeWell()
}

// TestSessionState guards against clients that prepare large statements and stay: the state
// of each session may take 1 MiB.
func TestSessionState(t *testing.T) {
	e := startEntry(t, manyFDs)
	each(crowd, func(int) { push(e.open(), []byte("QUERY 1 PREPARE s WRITE "+bulk[:900_000]+"\r\n")) })
	time.Sleep(holdTime)
	e.mustBeWell()
}

// TestHalfWay guards against clients that stop within a message or close half of the
// connection.
func TestHalfWay(t *testing.T) {
	e := startEntry(t, manyFDs)
	each(2*crowd, func(i int) {
		nc := e.open()
		if i%3 == 0 {
			nc = dialTest(t, e.callers)
			push(nc, []byte("STA"))
			return
		}
		push(nc, []byte("QUERY 1 BEGIN\r\nQUERY 2 WRITE 1 "+bulk[:1_000_000]))
		if tcp, ok := nc.(*net.TCPConn); ok && i%3 == 1 {
			_ = tcp.CloseWrite()
		}
	})
	time.Sleep(holdTime)
	e.mustBeWell()
}

// TestConnectionsThatNeverStart guards against connections that use up the descriptors before
// they send START.
func TestConnectionsThatNeverStart(t *testing.T) {
	e := startEntry(t, fewFDs)
	each(fdCrowd, func(int) { dialTest(t, e.callers) })
	time.Sleep(holdTime)
	e.mustBeWell()
}

// TestIdleSessions guards against sessions that use up the descriptors.
func TestIdleSessions(t *testing.T) {
	e := startEntry(t, fewFDs)
	each(fdCrowd, func(int) { e.open() })
	e.mustBeWell()
}

// TestUnknownDatabases guards against clients that try databases and keys in a loop.
func TestUnknownDatabases(t *testing.T) {
	e := startEntry(t, fewFDs)
	each(3000, func(i int) {
		nc, err := net.DialTimeout("tcp", e.callers, time.Second)
		if err != nil {
			return
		}
		defer nc.Close()
		push(nc, []byte(fmt.Sprintf("START database-%d key-%d\r\n", i, i)))
		_ = nc.SetReadDeadline(time.Now().Add(time.Second))
		_, _ = nc.Read(make([]byte, 64))
	})
	e.mustBeWell()
}

// TestReconnectStorm guards against many clients that connect again and again.
func TestReconnectStorm(t *testing.T) {
	e := startEntry(t, fewFDs)
	each(4000, func(i int) {
		nc, err := net.DialTimeout("tcp", e.callers, time.Second)
		if err != nil {
			return
		}
		if i%2 == 0 {
			push(nc, []byte("START latest application\r\nQUERY 1 READ 0\r\n"))
		}
		_ = nc.Close()
	})
	e.mustBeWell()
}

// TestWithinTheContract guards against limits that clients within the contract reach: many
// idle sessions, a START that comes late, and some messages of 1 MiB at once, in pieces.
func TestWithinTheContract(t *testing.T) {
	e := startEntry(t, manyFDs)
	late := dialTest(t, e.callers)
	each(300, func(int) { e.open() })
	each(8, func(i int) {
		c, err := standin.Connect(e.callers, "latest", serveTimeout)
		if err != nil {
			t.Error(err)
			return
		}
		c.Close()
		nc := e.open()
		inPieces(nc, fmt.Sprintf("QUERY %d WRITE 1 %s\r\n", i, bulk), 64<<10)
		_ = nc.SetReadDeadline(time.Now().Add(serveTimeout))
		if n, err := nc.Read(make([]byte, 100)); err != nil {
			t.Errorf("%d bytes of an answer: %v", n, err)
		}
	})
	push(late, []byte("START latest application\r\n"))
	_ = late.SetReadDeadline(time.Now().Add(serveTimeout))
	if _, err := late.Read(make([]byte, 100)); err != nil {
		t.Errorf("a late START is not answered: %v", err)
	}
	e.mustBeWell()
	resp, err := http.Get("http://" + e.lend + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || !strings.Contains(string(body), "cumintrestle_budget_bytes") {
		t.Errorf("the metrics of the budget are missing: %v", err)
	}
	if strings.Contains(string(body), "cumintrestle_budget_refusals_total{") {
		t.Error("the budget has refused a client within the contract")
	}
}
