package deploy

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// wantCode checks that err is a PostgreSQL error whose message starts with the
// result code.
func wantCode(t *testing.T, err error, code string) {
	t.Helper()
	var pe *pgconn.PgError
	if !errors.As(err, &pe) || !strings.HasPrefix(pe.Message, code+" ") {
		t.Errorf("got %v, want %s", err, code)
	}
}

// testContext returns a context that bounds one step of a test.
func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// startOneGroup starts a deployment with one group and two hosts, without delays.
func startOneGroup(t *testing.T) *Deployment {
	t.Helper()
	return start(t, Bathafarn(), Options{Groups: 1, Hosts: 2, NoDelay: true})
}

func TestRefusedConnections(t *testing.T) {
	d := startOneGroup(t)
	h := d.Hosts()[0].Addresses().Caller
	good := d.Spec.Accounts[0]
	for _, c := range []struct {
		name, url, code string
	}{
		{"wrong password", fmt.Sprintf("postgres://%s:wrong@%s/%s?sslmode=disable", good.Name, h, d.Spec.Groups[0]), "CT2001"},
		{"unknown account", fmt.Sprintf("postgres://nobody:x@%s/%s?sslmode=disable", h, d.Spec.Groups[0]), "CT2001"},
		{"unknown group", fmt.Sprintf("postgres://%s:%s@%s/other?sslmode=prefer", good.Name, good.Password, h), "CT2004"},
		{"broken token", fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable&cumintrestle.session_token=v9.x", good.Name, good.Password, h, d.Spec.Groups[0]), "CT2007"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := pgx.Connect(testContext(t), c.url)
			wantCode(t, err, c.code)
		})
	}
}

func TestStatements(t *testing.T) {
	d := startOneGroup(t)
	ctx := testContext(t)
	conn := connect(t, d, 0)
	exec(t, conn, "CREATE TABLE job (id INTEGER PRIMARY KEY, die TEXT)")
	t.Run("prepared statements", func(t *testing.T) {
		for i := range 5 {
			exec(t, conn, "INSERT INTO job VALUES ($1, $2)", i, "coin")
			var die string
			if err := conn.QueryRow(ctx, "SELECT die FROM job WHERE id = $1", i).Scan(&die); err != nil || die != "coin" {
				t.Fatalf("row %d: %q, %v", i, die, err)
			}
		}
	})
	t.Run("session survives a statement error", func(t *testing.T) {
		_, err := conn.Exec(ctx, "INSERT INTO job VALUES ($1, $2)", 0, "again")
		var pe *pgconn.PgError
		if !errors.As(err, &pe) || pe.Code != "23505" {
			t.Errorf("got %v, want 23505", err)
		}
		exec(t, conn, "INSERT INTO job VALUES ($1, $2)", 100, "next")
	})
	t.Run("transaction", func(t *testing.T) {
		tx, err := conn.Begin(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := tx.Exec(ctx, "INSERT INTO job VALUES (200, 'a')"); err != nil {
			t.Fatal(err)
		}
		if err := tx.Rollback(ctx); err != nil {
			t.Fatal(err)
		}
		var n int
		if err := conn.QueryRow(ctx, "SELECT count(*) FROM job WHERE id = 200").Scan(&n); err != nil || n != 0 {
			t.Errorf("%d rows after rollback, %v", n, err)
		}
	})
	t.Run("read-only transaction refuses writes", func(t *testing.T) {
		tx, err := conn.BeginTx(ctx, pgx.TxOptions{AccessMode: pgx.ReadOnly})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := tx.Exec(ctx, "INSERT INTO job VALUES (201, 'a')"); err == nil {
			t.Error("write succeeded in a read-only transaction")
		}
		_ = tx.Rollback(ctx)
	})
	t.Run("session state is refused", func(t *testing.T) {
		_, err := conn.Exec(ctx, "SET search_path = other")
		wantCode(t, err, "CT2006")
	})
	t.Run("show", func(t *testing.T) { checkShowToken(t, conn, d.Spec.Groups[0]) })
}

func checkShowToken(t *testing.T, conn *pgx.Conn, g session.Group) {
	var token string
	if err := conn.QueryRow(testContext(t), "SHOW cumintrestle.session_token").Scan(&token); err != nil {
		t.Fatal(err)
	}
	tok, err := session.ParseToken(token)
	if err != nil || tok.Point(g).Position == 0 {
		t.Errorf("token %q: %+v, %v", token, tok, err)
	}
}

func TestRequestIDRunsOnce(t *testing.T) {
	d := startOneGroup(t)
	ctx := testContext(t)
	a, b := connect(t, d, 0), connect(t, d, 1)
	exec(t, a, "CREATE TABLE job (id INTEGER PRIMARY KEY, die TEXT)")
	const sql = "INSERT INTO job (die) VALUES ($1) RETURNING id"
	first, err := insertWithRequestID(t, a, "order-1", sql, "coin")
	if err != nil {
		t.Fatal(err)
	}
	for _, conn := range []*pgx.Conn{a, b} {
		again, err := insertWithRequestID(t, conn, "order-1", sql, "coin")
		if err != nil || again != first {
			t.Errorf("repeated request returned %d, %v; the first returned %d", again, err, first)
		}
	}
	if _, err := insertWithRequestID(t, b, "order-1", sql, "other"); err == nil {
		t.Error("request ID was accepted for a different statement")
	} else {
		wantCode(t, err, "CT2015")
	}
	var n int
	exec(t, b, "SET cumintrestle.session_token = '"+a.PgConn().ParameterStatus("cumintrestle.session_token")+"'")
	if err := b.QueryRow(ctx, "SELECT count(*) FROM job").Scan(&n); err != nil || n != 1 {
		t.Errorf("%d rows, %v; want 1", n, err)
	}
	t.Run("outcome query", func(t *testing.T) { checkNotRunIsFinal(t, a, b, sql) })
	t.Run("in a transaction", func(t *testing.T) { checkRequestIDInTransaction(t, a) })
}

// insertWithRequestID inserts a row under a request ID and returns the row's id.
func insertWithRequestID(t *testing.T, conn *pgx.Conn, id, sql string, args ...any) (int64, error) {
	t.Helper()
	exec(t, conn, "SET cumintrestle.request_id = '"+id+"'")
	defer exec(t, conn, "RESET cumintrestle.request_id")
	var got int64
	err := conn.QueryRow(testContext(t), sql, args...).Scan(&got)
	return got, err
}

// checkNotRunIsFinal checks that asking for the outcome of a request that has
// not run also prevents it from running later.
func checkNotRunIsFinal(t *testing.T, a, b *pgx.Conn, sql string) {
	ctx := testContext(t)
	exec(t, b, "SET cumintrestle.request_id = 'order-1'")
	var outcome string
	if err := b.QueryRow(ctx, "SHOW cumintrestle.outcome").Scan(&outcome); err != nil || outcome != "done" {
		t.Errorf("outcome %q, %v; want done", outcome, err)
	}
	exec(t, b, "SET cumintrestle.request_id = 'order-2'")
	if err := b.QueryRow(ctx, "SHOW cumintrestle.outcome").Scan(&outcome); err != nil || outcome != "not_run" {
		t.Errorf("outcome %q, %v; want not_run", outcome, err)
	}
	// A delayed copy of the request whose outcome was given as not_run must be
	// refused.
	_, err := insertWithRequestID(t, a, "order-2", sql, "late")
	wantCode(t, err, "CT2016")
}

// checkRequestIDInTransaction checks that a second transaction under the request
// ID of a committed one is refused.
func checkRequestIDInTransaction(t *testing.T, a *pgx.Conn) {
	ctx := testContext(t)
	for i, want := range []string{"", "CT2016"} {
		exec(t, a, "SET cumintrestle.request_id = 'order-3'")
		tx, err := a.Begin(ctx)
		if want != "" {
			wantCode(t, err, want)
			exec(t, a, "RESET cumintrestle.request_id")
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		if _, err := tx.Exec(ctx, "INSERT INTO job (die) VALUES ($1)", fmt.Sprint(i)); err != nil {
			t.Fatal(err)
		}
		if err := tx.Commit(ctx); err != nil {
			t.Fatal(err)
		}
	}
}

// A cancel request that reaches another entry host than the caller's own must
// cancel the caller's running statement, and not one of the next user of the
// pooled connection. The session must stay usable.
func TestCancelThroughAnotherHost(t *testing.T) {
	d := startOneGroup(t)
	conn := connect(t, d, 0)
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), "SELECT pg_sleep(10)")
		done <- err
	}()
	time.Sleep(200 * time.Millisecond)
	cfg := conn.Config().Copy()
	other, err := pgconn.ParseConfig(d.URL(d.Hosts()[1], d.Spec.Accounts[0], d.Spec.Groups[0]))
	if err != nil {
		t.Fatal(err)
	}
	sendCancel(t, fmt.Sprintf("%s:%d", other.Host, other.Port), conn.PgConn().PID(), conn.PgConn().SecretKey())
	select {
	case err := <-done:
		var pe *pgconn.PgError
		if !errors.As(err, &pe) || pe.Code != "57014" {
			t.Errorf("got %v, want 57014", err)
		}
	case <-time.After(5 * time.Second):
		t.Fatalf("statement of %s was not canceled", cfg.User)
	}
	exec(t, conn, "SELECT 1")
}

// Statements of concurrent transactions must not end up in each other's
// transaction. Odd transactions roll back, so any odd row shows a mix-up.
func TestTransactionsNeverMix(t *testing.T) {
	d := start(t, Bathafarn(), Options{Groups: 1, Hosts: 2, NoDelay: true, ConfigureSettings: nil})
	setup := connect(t, d, 0)
	exec(t, setup, "CREATE TABLE entry (session INTEGER, tx INTEGER, n INTEGER)")
	const sessions, transactions, statements = 12, 4, 3
	var wg sync.WaitGroup
	for s := range sessions {
		conn := connect(t, d, s%2)
		wg.Add(1)
		go func() {
			defer wg.Done()
			for x := range transactions {
				tx, err := conn.Begin(context.Background())
				if err != nil {
					t.Errorf("begin: %v", err)
					return
				}
				for n := range statements {
					if _, err := tx.Exec(context.Background(), "INSERT INTO entry VALUES ($1, $2, $3)", s, x, n); err != nil {
						t.Errorf("insert: %v", err)
					}
				}
				if x%2 == 1 {
					_ = tx.Rollback(context.Background())
				} else if err := tx.Commit(context.Background()); err != nil {
					t.Errorf("commit: %v", err)
				}
			}
		}()
	}
	wg.Wait()
	exec(t, setup, "SET cumintrestle.max_read_age = 300")
	var odd, even int
	if err := setup.QueryRow(testContext(t), "SELECT count(*) FROM entry WHERE tx % 2 = 1").Scan(&odd); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(5 * time.Second)
	for time.Now().Before(deadline) && even != sessions*transactions/2*statements {
		if err := setup.QueryRow(testContext(t), "SELECT count(*) FROM entry").Scan(&even); err != nil {
			t.Fatal(err)
		}
	}
	if odd != 0 || even != sessions*transactions/2*statements {
		t.Errorf("%d rolled back and %d committed rows, want 0 and %d", odd, even, sessions*transactions/2*statements)
	}
}
