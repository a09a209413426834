package deploy

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

// Callers that abandon a running statement, with or without a cancel request,
// share pooled connections with other callers. Their late results must not reach
// another caller, and their cancel requests must not cancel another caller's
// statement.
func TestAnswersNeverCross(t *testing.T) {
	spec := Bathafarn()
	spec.Connections = 4
	d := start(t, spec, Options{Groups: 1, Hosts: 1, NoDelay: true})
	url := d.URL(d.Hosts()[0], spec.Accounts[0], spec.Groups[0])
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for n := range 4 {
		r := rand.New(rand.NewPCG(3, uint64(n)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				abandonStatement(url, time.Duration(r.IntN(40))*time.Millisecond)
			}
		}()
	}
	answered := 0
	for n := range 4 {
		conn, err := pgx.Connect(context.Background(), url)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close(context.Background())
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := n; ctx.Err() == nil; i += 4 {
				var got int
				if err := conn.QueryRow(context.Background(), "SELECT $1", i).Scan(&got); err != nil || got != i {
					t.Errorf("sent %d, got %d, %v", i, got, err)
					return
				}
				if n == 0 {
					answered++
				}
			}
		}()
	}
	wg.Wait()
	if answered < 20 {
		t.Errorf("only %d statements succeeded", answered)
	}
}

// abandonStatement starts a slow statement and stops waiting after the given
// time. The driver then sends a cancel request and closes the connection.
func abandonStatement(url string, after time.Duration) {
	conn, err := pgx.Connect(context.Background(), url)
	if err != nil {
		return
	}
	defer conn.Close(context.Background())
	ctx, cancel := context.WithTimeout(context.Background(), after)
	defer cancel()
	_, _ = conn.Exec(ctx, "SELECT pg_sleep(0.05)")
}
