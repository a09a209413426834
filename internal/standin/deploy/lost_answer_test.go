package deploy

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

// The primary commits a write and a replica receives it, but the primary stops
// before the caller's host gets the response. The write survives the failover, so
// it must not be retried. The caller must get the code for an unknown outcome,
// and the request ID must give the outcome "done" on another host.
func TestCommitWithLostAnswer(t *testing.T) {
	for _, c := range []struct {
		name, requestID string
	}{
		{"without a request id", ""},
		{"with a request id", "card-1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := start(t, Bathafarn(), Options{Groups: 1, Hosts: 3})
			g, zones := d.Spec.Groups[0], d.Spec.Zones
			primary, third := d.Node(MemberOf(g, zones[0])), d.Node(MemberOf(g, zones[2]))
			conn, other := connect(t, d, 1), connect(t, d, 2)
			exec(t, conn, "CREATE TABLE job (die TEXT)")
			exec(t, conn, "SET cumintrestle.request_id = 'warm-up'")
			exec(t, conn, "INSERT INTO job VALUES ('first')")
			exec(t, conn, "SET cumintrestle.request_id = '"+c.requestID+"'")
			before := primary.Status().Last.Position
			commitErr := make(chan error, 1)
			go func() {
				_, err := conn.Exec(context.Background(), "INSERT INTO job VALUES ('medal')")
				commitErr <- err
			}()
			waitFor(t, "the commit", func() bool { return primary.Status().Last.Position > before })
			d.Rules.SetCut(string(zones[0]), string(zones[1]), true)
			waitFor(t, "the replica", func() bool { return third.Status().Last.Position > before })
			_ = primary.Stop()
			wantCode(t, <-commitErr, "CT3001")
			if c.requestID != "" {
				exec(t, other, "SET cumintrestle.request_id = '"+c.requestID+"'")
				var outcome string
				if err := other.QueryRow(testContext(t), "SHOW cumintrestle.outcome").Scan(&outcome); err != nil || outcome != "done" {
					t.Errorf("outcome %q, %v; want done", outcome, err)
				}
			}
			if n := countJobs(t, other); n != 1 {
				t.Errorf("one write left %d rows", n)
			}
		})
	}
}

// countJobs counts the rows in a transaction, which runs on the current primary.
// It retries while a failover is in progress.
func countJobs(t *testing.T, conn *pgx.Conn) int {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for {
		n := 0
		tx, err := conn.Begin(testContext(t))
		if err == nil {
			err = tx.QueryRow(testContext(t), "SELECT count(*) FROM job WHERE die = 'medal'").Scan(&n)
			_ = tx.Rollback(testContext(t))
		}
		if err == nil {
			return n
		}
		if time.Now().After(deadline) {
			t.Fatalf("count: %v", err)
		}
	}
}
