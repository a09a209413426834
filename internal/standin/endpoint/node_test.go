package endpoint

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// startNode starts a primary with one slot and returns its address.
func startNode(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &Node{ID: "a", Password: "x", Slots: 1, MaxSessions: 10, Bootstrap: true}
	if err := n.Start(ln); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Stop() })
	return ln.Addr().String()
}

// connectTo opens a session and returns a function that runs SQL on it.
func connectTo(t *testing.T, addr string) func(sql string) error {
	t.Helper()
	conn, err := pgconn.Connect(context.Background(), fmt.Sprintf("postgres://%s:x@%s/g?sslmode=disable", ServiceUser, addr))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Conn().Close() })
	return func(sql string) error {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_, err := conn.Exec(ctx, sql).ReadAll()
		return err
	}
}

// A read must not wait for another session's open transaction. If it did, it
// would occupy the only slot and so block that transaction.
func TestReadersDoNotWaitForTransactions(t *testing.T) {
	addr := startNode(t)
	writer, reader := connectTo(t, addr), connectTo(t, addr)
	for _, sql := range []string{"CREATE TABLE job (id INTEGER)", "BEGIN", "INSERT INTO job VALUES (1)"} {
		if err := writer(sql); err != nil {
			t.Fatalf("%s: %v", sql, err)
		}
	}
	if err := reader("SELECT count(*) FROM job"); err != nil {
		t.Fatalf("read during another session's transaction: %v", err)
	}
	for _, sql := range []string{"INSERT INTO job VALUES (2)", "COMMIT"} {
		if err := writer(sql); err != nil {
			t.Fatalf("%s: %v", sql, err)
		}
	}
}
