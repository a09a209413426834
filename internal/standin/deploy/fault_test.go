package deploy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/internal/history"
	"github.com/cumintrestle/cumintrestle/internal/load"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// runLoad runs sessions until stop is called. stop compares the recorded history
// with a final read through the host with index final, and returns the
// violations.
func runLoad(t *testing.T, d *Deployment, sessions, final int) (stop func() []history.Violation, h *history.History) {
	t.Helper()
	exec(t, connect(t, d, final), load.CreateTable)
	h = &history.History{}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	hosts := d.Hosts()
	for n := range sessions {
		r := rand.New(rand.NewPCG(7, uint64(n)))
		s := &load.Session{
			Number: n, ReadShare: 0.3, ThinkTime: 2 * time.Millisecond, Rand: r, History: h,
			URL: func() string {
				return d.URL(hosts[r.IntN(len(hosts))], d.Spec.Accounts[0], d.Spec.Groups[0])
			},
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.Run(ctx)
		}()
	}
	return func() []history.Violation {
		t.Helper()
		cancel()
		wg.Wait()
		deadline := time.Now().Add(15 * time.Second)
		for {
			ids, err := load.ReadAllIDs(testContext(t), connect(t, d, final))
			if err == nil {
				return h.Check(ids)
			}
			if time.Now().After(deadline) {
				t.Fatalf("final read: %v", err)
			}
		}
	}, h
}

func waitFor(t *testing.T, what string, check func() bool) {
	t.Helper()
	deadline := time.Now().Add(15 * time.Second)
	for !check() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// With all safeguards a failover must cause no violation. With one safeguard
// disabled, the checker must find the violation that it prevents; otherwise the
// test would prove nothing.
func TestGuardsAreNeeded(t *testing.T) {
	for _, c := range []struct {
		name   string
		adjust func(*core.Group)
		want   history.Kind
	}{
		{name: "all safeguards"},
		{
			name: "writes acknowledged by the primary alone",
			adjust: func(g *core.Group) {
				g.AckRule = func(last []session.Point, t session.Term, _ int) session.Position {
					var highest session.Position
					for _, p := range last {
						if p.Term == t {
							highest = max(highest, p.Position)
						}
					}
					return highest
				}
			},
			want: history.Lost,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := start(t, Bathafarn(), Options{Groups: 1, Hosts: 3, NoDelay: true, ConfigureGroup: c.adjust})
			primary, _ := d.PrimaryOf(d.Spec.Groups[0])
			// Below, replication is delayed, so that only the primary has the last
			// writes when it stops.
			stop, h := runLoad(t, d, 4, 0)
			waitFor(t, "acknowledged writes", func() bool { return h.Count(history.Acked) >= 20 })
			d.Node(primary).SetLag(0, 150*time.Millisecond)
			before := h.Count(history.Acked)
			waitFor(t, "acknowledged writes with lag", func() bool { return h.Count(history.Acked) >= before+20 })
			if err := d.Node(primary).Stop(); err != nil {
				t.Fatal(err)
			}
			n := h.Count(history.Acked)
			waitFor(t, "writes after the failover", func() bool { return h.Count(history.Acked) >= n+20 })
			got := stop()
			found := false
			for _, v := range got {
				found = found || v.Kind == c.want
			}
			if c.want == "" && len(got) > 0 {
				t.Errorf("violations: %+v", got)
			}
			if c.want != "" && !found {
				t.Errorf("the checker found no %s violation: %+v", c.want, got)
			}
		})
	}
}

// A leaving primary must be replaced without lost, duplicate or unknown writes.
// Within a few seconds it must get no more work, and its connections must be
// closed.
func TestLeavingPrimary(t *testing.T) {
	d := start(t, Bathafarn(), Options{Groups: 1, Hosts: 3, NoDelay: true})
	g := d.Spec.Groups[0]
	stop, h := runLoad(t, d, 4, 0)
	waitFor(t, "acknowledged writes", func() bool { return h.Count(history.Acked) >= 20 })
	primary, term := d.PrimaryOf(g)
	d.Node(primary).SetLeaving(true)
	waitFor(t, "another primary", func() bool {
		next, now := d.PrimaryOf(g)
		return next != primary && now > term
	})
	waitFor(t, "no connection to the leaving endpoint", func() bool { return d.Node(primary).OpenSessions() == 0 })
	n := h.Count(history.Acked)
	waitFor(t, "writes after the switchover", func() bool { return h.Count(history.Acked) >= n+20 })
	for _, v := range stop() {
		t.Errorf("violation: %+v", v)
	}
	if n := h.Count(history.Unknown); n > 0 {
		t.Errorf("%d writes with unknown outcome in a planned switchover", n)
	}
}

// A graceful shutdown must not interrupt requests: running statements and open
// transactions finish. New requests of idle sessions are refused with a code
// that says they did not run.
func TestGracefulShutdown(t *testing.T) {
	d := start(t, Bathafarn(), Options{Groups: 1, Hosts: 2, NoDelay: true})
	h := d.Hosts()[0]
	idle, busy, inTransaction := connect(t, d, 0), connect(t, d, 0), connect(t, d, 0)
	exec(t, busy, "CREATE TABLE job (id INTEGER)")
	tx, err := inTransaction.Begin(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(context.Background(), "INSERT INTO job VALUES (1)"); err != nil {
		t.Fatal(err)
	}
	running := make(chan error, 1)
	go func() {
		_, err := busy.Exec(context.Background(), "SELECT pg_sleep(0.5)")
		running <- err
	}()
	waitFor(t, "the statement to run", func() bool { return openSessions(d) >= 2 })
	drained := make(chan struct{})
	go func() {
		h.Drain()
		close(drained)
	}()
	if err := <-running; err != nil {
		t.Errorf("running statement was interrupted: %v", err)
	}
	if _, err := tx.Exec(context.Background(), "INSERT INTO job VALUES (2)"); err != nil {
		t.Errorf("open transaction was interrupted: %v", err)
	}
	if err := tx.Commit(context.Background()); err != nil {
		t.Errorf("commit was interrupted: %v", err)
	}
	_, err = idle.Exec(context.Background(), "INSERT INTO job VALUES (3)")
	wantCode(t, err, "CT2013")
	<-drained
	var n int
	other := connect(t, d, 1)
	exec(t, other, "SET cumintrestle.session_token = '"+inTransaction.PgConn().ParameterStatus("cumintrestle.session_token")+"'")
	if err := other.QueryRow(testContext(t), "SELECT count(*) FROM job").Scan(&n); err != nil || n != 2 {
		t.Errorf("%d rows, %v; want 2", n, err)
	}
}

// openSessions counts the data sessions on all endpoints of the first group.
func openSessions(d *Deployment) int {
	n := 0
	for _, z := range d.Spec.Zones {
		n += d.Node(MemberOf(d.Spec.Groups[0], z)).OpenSessions()
	}
	return n
}

// If a caller disconnects in the middle of a transaction, its writes must be
// rolled back before another caller gets the pooled connection.
func TestDroppedCallerLeavesNothing(t *testing.T) {
	d := start(t, Bathafarn(), Options{Groups: 1, Hosts: 1, NoDelay: true})
	conn := connect(t, d, 0)
	exec(t, conn, "CREATE TABLE job (id INTEGER)")
	dropped, err := pgx.Connect(testContext(t), d.URL(d.Hosts()[0], d.Spec.Accounts[0], d.Spec.Groups[0]))
	if err != nil {
		t.Fatal(err)
	}
	for _, sql := range []string{"BEGIN", "INSERT INTO job VALUES (1)"} {
		if _, err := dropped.Exec(testContext(t), sql); err != nil {
			t.Fatal(err)
		}
	}
	_ = dropped.PgConn().Conn().Close()
	exec(t, conn, "INSERT INTO job VALUES (2)")
	var ids string
	if err := conn.QueryRow(testContext(t), "SELECT group_concat(id) FROM job").Scan(&ids); err != nil || ids != "2" {
		t.Errorf("rows %q, %v; want 2", ids, err)
	}
}

// A read must include the session's own writes, also while replicas lag and when
// the session token is passed to another host.
func TestReadYourWritesWithLag(t *testing.T) {
	d := start(t, GazonSahel(), Options{Groups: 1, Hosts: 3, NoDelay: true})
	for _, z := range d.Spec.Zones {
		d.Node(MemberOf(d.Spec.Groups[0], z)).SetLag(100*time.Millisecond, 0)
	}
	a, b := connect(t, d, 0), connect(t, d, 2)
	exec(t, a, "CREATE TABLE job (id INTEGER)")
	for i := range 10 {
		exec(t, a, fmt.Sprintf("INSERT INTO job VALUES (%d)", i))
		exec(t, b, "SET cumintrestle.session_token = '"+a.PgConn().ParameterStatus("cumintrestle.session_token")+"'")
		for _, conn := range []*pgx.Conn{a, b} {
			var n int
			if err := conn.QueryRow(testContext(t), "SELECT count(*) FROM job").Scan(&n); err != nil || n != i+1 {
				t.Fatalf("read %d rows, %v, after %d writes", n, err, i+1)
			}
		}
	}
}
