package deploy

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cumintrestle/cumintrestle/internal/standin/endpoint"
)

// secondAnswerRun counts what callers get from endpoints that answer twice.
type secondAnswerRun struct {
	done, failed, mixed atomic.Int64
	mu                  sync.Mutex
	acked, notRun       map[string]bool
}

// record notes the outcome of a write.
func (r *secondAnswerRun) record(id string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var pe *pgconn.PgError
	switch {
	case err == nil:
		r.acked[id] = true
	case errors.As(err, &pe) && pe.Detail == "outcome: not run":
		r.notRun[id] = true
	}
}

// ask runs a statement that returns a text, and checks that it is id.
func (r *secondAnswerRun) ask(row pgx.Row, id string) error {
	var got string
	err := row.Scan(&got)
	if err == nil && got != id {
		r.mixed.Add(1)
		return fmt.Errorf("%q was answered with %q", id, got)
	}
	return err
}

// client runs statements and transactions until ctx ends.
func (r *secondAnswerRun) client(ctx context.Context, url string, n int) {
	var conn *pgx.Conn
	for i := 0; ctx.Err() == nil; i++ {
		if conn == nil || conn.IsClosed() {
			var err error
			if conn, err = pgx.Connect(ctx, url); err != nil {
				conn = nil
				continue
			}
			// A caller that was sent a wrong answer may wait for a message without end.
			nc := conn.PgConn().Conn()
			context.AfterFunc(ctx, func() { _ = nc.Close() })
		}
		id := fmt.Sprintf("%d-%d", n, i)
		var err error
		switch i % 5 {
		case 0:
			err = r.ask(conn.QueryRow(ctx, "SELECT $1", id), id)
		case 1:
			err = r.ask(conn.QueryRow(ctx, "SELECT '"+id+"'", pgx.QueryExecModeSimpleProtocol), id)
		case 2:
			_, err = conn.Exec(ctx, "INSERT INTO job VALUES ($1)", id)
			r.record(id, err)
		case 3:
			err = r.transaction(ctx, conn, id)
		case 4:
			err = r.readLarge(ctx, conn)
		}
		if err != nil {
			r.failed.Add(1)
			continue
		}
		r.done.Add(1)
	}
	if conn != nil {
		_ = conn.Close(context.Background())
	}
}

// largeRows is the number of rows of an answer that is sent on before it is complete.
const largeRows = 2000

// readLarge reads all rows of a table, and checks that each comes once.
func (r *secondAnswerRun) readLarge(ctx context.Context, conn *pgx.Conn) error {
	rows, err := conn.Query(ctx, "SELECT id FROM large")
	if err != nil {
		return err
	}
	ids, err := pgx.CollectRows(rows, pgx.RowTo[string])
	if err == nil && len(ids) != largeRows {
		r.mixed.Add(1)
		return fmt.Errorf("%d rows, want %d", len(ids), largeRows)
	}
	return err
}

func (r *secondAnswerRun) transaction(ctx context.Context, conn *pgx.Conn, id string) error {
	tx, err := conn.Begin(ctx)
	if err != nil {
		return err
	}
	if _, err = tx.Exec(ctx, "INSERT INTO job VALUES ($1)", id); err == nil {
		err = r.ask(tx.QueryRow(ctx, "SELECT id FROM job WHERE id = $1", id), id)
	}
	if err != nil {
		_ = tx.Rollback(ctx)
		return err
	}
	err = tx.Commit(ctx)
	r.record(id, err)
	return err
}

// TestEndpointsThatAnswerTwice guards against a second answer that is taken for that of the next
// request: callers got rows of others, and writes were acknowledged that had not run.
func TestEndpointsThatAnswerTwice(t *testing.T) {
	for _, c := range []struct {
		name   string
		policy endpoint.SecondAnswers
	}{
		{"at once", endpoint.SecondAnswers{Share: 0.05}},
		{"late", endpoint.SecondAnswers{Share: 0.05, MaxDelay: 40 * time.Millisecond}},
	} {
		t.Run(c.name, func(t *testing.T) {
			spec := Bathafarn()
			spec.Connections = 8
			d := start(t, spec, Options{Groups: 1, Hosts: 2, NoDelay: true})
			conn := connect(t, d, 0)
			exec(t, conn, "CREATE TABLE job (id TEXT)")
			exec(t, conn, "CREATE TABLE large (id TEXT)")
			exec(t, conn, "INSERT INTO large VALUES "+strings.Repeat("('"+strings.Repeat("x", 100)+"'),", largeRows-1)+"('y')")
			for _, z := range d.Spec.Zones {
				d.Node(MemberOf(d.Spec.Groups[0], z)).SetSecondAnswers(c.policy)
			}
			r := &secondAnswerRun{acked: make(map[string]bool), notRun: make(map[string]bool)}
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			var wg sync.WaitGroup
			for n := range 8 {
				wg.Go(func() { r.client(ctx, d.URL(d.Hosts()[n%2], d.Spec.Accounts[0], d.Spec.Groups[0]), n) })
			}
			wg.Wait()
			for _, z := range d.Spec.Zones {
				d.Node(MemberOf(d.Spec.Groups[0], z)).SetSecondAnswers(endpoint.SecondAnswers{})
			}
			t.Logf("%d done, %d failed, %d mixed", r.done.Load(), r.failed.Load(), r.mixed.Load())
			if n := r.mixed.Load(); n > 0 || r.done.Load() == 0 {
				t.Errorf("%d statements were answered with another's rows, %d were done", n, r.done.Load())
			}
			if r.failed.Load() > r.done.Load() {
				t.Errorf("%d statements failed, %d were done: a connection stayed out of step", r.failed.Load(), r.done.Load())
			}
			r.checkRows(t, d)
		})
	}
}

// checkRows checks the rows of the writes against their outcomes.
func (r *secondAnswerRun) checkRows(t *testing.T, d *Deployment) {
	t.Helper()
	tx, err := connect(t, d, 1).Begin(testContext(t))
	if err != nil {
		t.Fatal(err)
	}
	rows, err := tx.Query(testContext(t), "SELECT id FROM job")
	if err != nil {
		t.Fatal(err)
	}
	ids, err := pgx.CollectRows(rows, pgx.RowTo[string])
	if err != nil {
		t.Fatal(err)
	}
	count := make(map[string]int)
	for _, id := range ids {
		count[id]++
	}
	for id := range r.acked {
		if count[id] != 1 {
			t.Errorf("the acknowledged write %s has %d rows", id, count[id])
		}
	}
	for id := range r.notRun {
		if count[id] != 0 {
			t.Errorf("the write %s, which did not run, has %d rows", id, count[id])
		}
	}
}
