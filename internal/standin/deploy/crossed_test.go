package deploy

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

// Callers that give up in the middle of a statement, with a cancel or without,
// never make another caller get an answer that is not its own, and their
// cancels never hit another caller.
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
				giveUp(url, time.Duration(r.IntN(40))*time.Millisecond)
			}
		}()
	}
	asked := 0
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
					t.Errorf("asked for %d, got %d, %v", i, got, err)
					return
				}
				if n == 0 {
					asked++
				}
			}
		}()
	}
	wg.Wait()
	if asked < 20 {
		t.Errorf("only %d statements went through", asked)
	}
}

// giveUp starts a slow statement and leaves before it ends; the driver sends
// a cancel and drops the connection.
func giveUp(url string, after time.Duration) {
	conn, err := pgx.Connect(context.Background(), url)
	if err != nil {
		return
	}
	defer conn.Close(context.Background())
	ctx, cancel := context.WithTimeout(context.Background(), after)
	defer cancel()
	_, _ = conn.Exec(ctx, "SELECT pg_sleep(0.05)")
}
