package deploy

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

// connect opens a session on entry host i.
func connect(t *testing.T, d *Deployment, i int) *pgx.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	conn, err := pgx.Connect(ctx, d.URL(d.Hosts()[i], d.Spec.Accounts[0], d.Spec.Groups[0]))
	if err != nil {
		t.Fatalf("connect to host %d: %v", i, err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func start(t *testing.T, spec Spec, opts Options) *Deployment {
	t.Helper()
	d, err := Start(spec, opts)
	if err != nil {
		t.Fatalf("start: %v", err)
	}
	t.Cleanup(d.Stop)
	return d
}

func exec(t *testing.T, conn *pgx.Conn, sql string, args ...any) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if _, err := conn.Exec(ctx, sql, args...); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

func TestWriteOnOneHostReadOnAnother(t *testing.T) {
	d := start(t, Bathafarn(), Options{Groups: 1, Hosts: 3})
	a, b := connect(t, d, 0), connect(t, d, 1)
	exec(t, a, "CREATE TABLE job (id INTEGER PRIMARY KEY, die TEXT)")
	for i := range 10 {
		exec(t, a, "INSERT INTO job VALUES ($1, $2)", i, "medal")
		token := a.PgConn().ParameterStatus("cumintrestle.session_token")
		exec(t, b, "SET cumintrestle.session_token = '"+token+"'")
		var n int
		if err := b.QueryRow(context.Background(), "SELECT count(*) FROM job").Scan(&n); err != nil {
			t.Fatalf("read: %v", err)
		}
		if n != i+1 {
			t.Fatalf("read %d rows after %d writes", n, i+1)
		}
	}
}
