package abuse

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/internal/declared"
	"github.com/cumintrestle/cumintrestle/internal/host"
	"github.com/cumintrestle/cumintrestle/internal/platform"
	"github.com/cumintrestle/cumintrestle/internal/settings"
	"github.com/cumintrestle/cumintrestle/pkg/session"
	"github.com/cumintrestle/cumintrestle/pkg/template"
)

const (
	pgGroup    = session.Group("die-ledger-1")
	pgAccount  = "bathafarn-shop-floor"
	pgPassword = "shop-floor-test"
	pgOperator = "dana:operator-test"
)

// postgres is an entry host of the PostgreSQL protocol with its stand-ins.
type postgres struct {
	*process
	addresses host.Addresses
}

// startStandin starts a stand-in and returns the address that it listens on.
func startStandin(t *testing.T, args ...string) string {
	t.Helper()
	var a struct{ Listen, Admin string }
	cmd := exec.Command(filepath.Join(binaries, "cumintrestle-standin"), append(args, "-z", "zone")...)
	startAndDecode(t, cmd, &a)
	return a.Listen
}

// startAndDecode starts a program and decodes the JSON line that it prints once it listens.
func startAndDecode(t *testing.T, cmd *exec.Cmd, dst any) *process {
	t.Helper()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd.Stdout = w
	p := startProcess(t, cmd)
	_ = w.Close()
	t.Cleanup(func() { _ = r.Close() })
	line, err := bufio.NewReader(r).ReadBytes('\n')
	if err == nil {
		err = json.Unmarshal(line, dst)
	}
	if err != nil {
		t.Fatalf("%v: %s: %v", cmd.Args, line, err)
	}
	return p
}

func startPostgres(t *testing.T, maxFDs int) *postgres {
	t.Helper()
	table := startStandin(t, "platform")
	g := declared.Group{Name: pgGroup}
	for i := range 3 {
		id := fmt.Sprintf("member-%d", i)
		args := []string{"endpoint", "--id", id, "--password", "endpoint-test", "--slots", "3", "--limit", "15"}
		if i == 0 {
			args = append(args, "--bootstrap")
		}
		g.Members = append(g.Members, declared.Endpoint{
			Member: core.Member{ID: core.MemberID(id), Zone: "zone", Address: startStandin(t, args...)}, Connections: 15, Slots: 3,
		})
	}
	value, err := json.Marshal(g)
	if err != nil {
		t.Fatal(err)
	}
	c := &platform.Client{URL: "http://" + table}
	c.Init()
	if _, err := c.Commit(context.Background(), []platform.Write{{Key: declared.GroupPrefix + string(pgGroup), Value: value}}); err != nil {
		t.Fatal(err)
	}
	s := settings.Defaults()
	s.HostID, s.Zone, s.BindIP = "host-1", "zone", "127.0.0.1"
	s.CallerListen, s.OperatorListen, s.PeerListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.PlatformURL, s.PeerCredential, s.EndpointPassword = "http://"+table, "peer-test", "endpoint-test"
	s.OperatorCredentials, s.MemoryMB, s.MaxFDs = []string{pgOperator}, memoryMB, int64(maxFDs)
	body, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, body, 0o600); err != nil {
		t.Fatal(err)
	}
	p := &postgres{}
	p.process = startAndDecode(t, exec.Command(filepath.Join(binaries, "cumintrestle"), "serve", "-c", path), &p.addresses)
	p.fdLimit = maxFDs
	p.applyTemplate()
	p.mustServe()
	return p
}

// applyTemplate creates the client account. Its number of connections does not limit the
// crowds.
func (p *postgres) applyTemplate() {
	p.t.Helper()
	v, err := template.NewVerifier(pgPassword)
	if err != nil {
		p.t.Fatal(err)
	}
	body, err := json.Marshal(template.Template{
		Account: pgAccount, Groups: []session.Group{pgGroup}, OldestReadMS: 1000, Connections: 100_000, Verifier: v, State: template.Active,
	})
	path := filepath.Join(p.t.TempDir(), "template.json")
	if err == nil {
		err = os.WriteFile(path, body, 0o600)
	}
	if err != nil {
		p.t.Fatal(err)
	}
	eventually(p.t, "apply the template", func() error {
		cmd := exec.Command(filepath.Join(binaries, "cumintrestle"), "apply", "-f", path, "--wait")
		cmd.Env = append(os.Environ(), "CUMINTRESTLE_URL=http://"+p.addresses.Operator, "CUMINTRESTLE_CREDENTIAL="+pgOperator)
		out, err := cmd.CombinedOutput()
		if err != nil {
			return fmt.Errorf("%w: %s", err, out)
		}
		return nil
	})
}

func (p *postgres) connect() (*pgconn.PgConn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	return pgconn.Connect(ctx, fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", pgAccount, pgPassword, p.addresses.Caller, pgGroup))
}

// mustServe checks that an ordinary client is served.
func (p *postgres) mustServe() {
	p.t.Helper()
	eventually(p.t, "an ordinary request is not answered", func() error {
		c, err := p.connect()
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
		defer cancel()
		defer c.Close(context.Background())
		_, err = c.Exec(ctx, "CREATE TABLE IF NOT EXISTS job (id TEXT PRIMARY KEY, die TEXT)").ReadAll()
		return err
	})
}

func (p *postgres) mustBeWell() {
	p.t.Helper()
	p.check()
	p.mustServe()
	p.check()
}

// session returns the connection of an authenticated session, nil if it is refused.
func (p *postgres) session() net.Conn {
	c, err := p.connect()
	if err != nil {
		return nil
	}
	h, err := c.Hijack()
	if err != nil {
		return nil
	}
	p.t.Cleanup(func() { _ = h.Conn.Close() })
	return h.Conn
}

// header returns the header of a message with a body of the given size.
func header(kind byte, size int) []byte {
	return binary.BigEndian.AppendUint32([]byte{kind}, uint32(size+4))
}

// startup returns a start-up message.
func startup() []byte {
	m := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": pgAccount, "database": string(pgGroup)}}
	body, err := m.Encode(nil)
	if err != nil {
		panic(err)
	}
	return body
}

// TestPostgresNeverStart guards against connections that use up the descriptors before they
// are authenticated.
func TestPostgresNeverStart(t *testing.T) {
	p := startPostgres(t, fewFDs)
	each(fdCrowd, func(i int) {
		nc := dialTest(t, p.addresses.Caller)
		if i%2 == 0 {
			push(nc, startup())
		}
	})
	time.Sleep(holdTime)
	p.mustBeWell()
}

// TestPostgresIdleSessions guards against sessions that use up the descriptors.
func TestPostgresIdleSessions(t *testing.T) {
	p := startPostgres(t, fewFDs)
	each(fdCrowd, func(int) { p.session() })
	p.mustBeWell()
}

// TestPostgresLargeResponseBeforeAuthentication guards against large messages of clients that
// have not proved who they are.
func TestPostgresLargeResponseBeforeAuthentication(t *testing.T) {
	p := startPostgres(t, manyFDs)
	each(60, func(int) {
		nc := dialTest(t, p.addresses.Caller)
		push(nc, startup())
		push(nc, header('p', 16<<20-10))
		inPieces(nc, strings.Repeat(bulk, 4), 1<<20)
	})
	p.mustBeWell()
}

// TestPostgresUnfinished guards against queries and Bind messages that are never ended.
func TestPostgresUnfinished(t *testing.T) {
	for _, c := range []struct {
		name string
		kind byte
		size int
	}{
		{"query", 'Q', 16<<20 - 10}, {"bind", 'B', 16<<20 - 10}, {"parse", 'P', 16<<20 - 10}, {"smaller", 'Q', 4 << 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := startPostgres(t, manyFDs)
			each(60, func(int) {
				nc := p.session()
				push(nc, header(c.kind, c.size))
				inPieces(nc, strings.Repeat(bulk, 3), 256<<10)
			})
			time.Sleep(holdTime)
			p.mustBeWell()
		})
	}
}

// TestPostgresLargeRequests guards against requests of many large Bind messages without Sync.
func TestPostgresLargeRequests(t *testing.T) {
	p := startPostgres(t, manyFDs)
	bind, err := (&pgproto3.Bind{Parameters: [][]byte{[]byte(bulk)}}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	each(24, func(int) {
		nc := p.session()
		for range 12 {
			push(nc, bind)
		}
	})
	time.Sleep(holdTime)
	p.mustBeWell()
}

// TestPostgresPreparedStatements guards against sessions that prepare large statements and
// stay.
func TestPostgresPreparedStatements(t *testing.T) {
	p := startPostgres(t, manyFDs)
	each(12, func(int) {
		nc := p.session()
		for n := range 16 {
			parse, err := (&pgproto3.Parse{Name: fmt.Sprint(n), Query: "SET cumintrestle.max_read_age = 1000 " + strings.Repeat(" ", 1<<20)}).Encode(nil)
			if err == nil {
				parse, err = (&pgproto3.Sync{}).Encode(parse)
			}
			if err != nil {
				t.Error(err)
			}
			push(nc, parse)
		}
	})
	time.Sleep(holdTime)
	p.mustBeWell()
}

// TestPostgresUnreadAnswers guards against clients that don't read large answers.
func TestPostgresUnreadAnswers(t *testing.T) {
	p := startPostgres(t, manyFDs)
	query, err := (&pgproto3.Query{String: "SELECT hex(zeroblob(8000000))"}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	each(60, func(int) { push(p.session(), query) })
	time.Sleep(2 * holdTime)
	p.mustBeWell()
}

// TestPostgresCopy guards against COPY, which the host does not support, and its data.
func TestPostgresCopy(t *testing.T) {
	p := startPostgres(t, manyFDs)
	query, err := (&pgproto3.Query{String: "COPY job FROM STDIN"}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	each(60, func(int) {
		nc := p.session()
		push(nc, query)
		push(nc, header('d', 4<<20))
		inPieces(nc, strings.Repeat(bulk, 4), 1<<20)
	})
	p.mustBeWell()
}

// TestPostgresCancelFlood guards against cancel requests with unknown keys in large numbers.
func TestPostgresCancelFlood(t *testing.T) {
	p := startPostgres(t, fewFDs)
	cancel, err := (&pgproto3.CancelRequest{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	each(3000, func(int) {
		nc, err := net.DialTimeout("tcp", p.addresses.Caller, time.Second)
		if err == nil {
			push(nc, cancel)
			_ = nc.Close()
		}
	})
	p.mustBeWell()
}

// TestPostgresHTTPPorts guards against connections to the ports for operators and for peers
// that stay, or send large headers.
func TestPostgresHTTPPorts(t *testing.T) {
	p := startPostgres(t, fewFDs)
	for _, port := range []string{p.addresses.Operator, p.addresses.Peer} {
		each(fdCrowd/2, func(i int) {
			nc := dialTest(t, port)
			push(nc, []byte("GET /readyz HTTP/1.1\r\nHost: x\r\nX-A: "))
			if i < crowd {
				push(nc, []byte(bulk[:1<<20-5000]))
			}
		})
	}
	time.Sleep(holdTime)
	p.mustBeWell()
}

// TestPostgresOperatorBodies guards against large bodies of operators' requests that never
// end.
func TestPostgresOperatorBodies(t *testing.T) {
	p := startPostgres(t, manyFDs)
	each(crowd, func(int) {
		nc := dialTest(t, p.addresses.Operator)
		push(nc, []byte("POST /v1/apply HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+pgOperator+"\r\nContent-Length: 100000000\r\n\r\n"))
		push(nc, []byte(`{"templates":"`+bulk[:1_000_000]))
	})
	time.Sleep(holdTime)
	p.mustBeWell()
}

// TestPostgresStorm guards against clients that connect again and again.
func TestPostgresStorm(t *testing.T) {
	p := startPostgres(t, fewFDs)
	each(4000, func(i int) {
		nc, err := net.DialTimeout("tcp", p.addresses.Caller, time.Second)
		if err != nil {
			return
		}
		if i%2 == 0 {
			push(nc, startup())
			_ = nc.SetReadDeadline(time.Now().Add(time.Second))
			_, _ = io.ReadFull(nc, make([]byte, 9))
		}
		_ = nc.Close()
	})
	p.mustBeWell()
}
