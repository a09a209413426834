package process

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/history"
)

// TestTerminatedHostCutsNoRequest stops an entry host with SIGTERM under load:
// it ends by itself, and no caller is left with an unknown outcome.
func TestTerminatedHostCutsNoRequest(t *testing.T) {
	f := newFleet(t, 2)
	w := startLoad(f, 8, nil)
	w.waitAcks(40)
	f.hosts[0].signal(t, syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- f.hosts[0].cmd.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("the host ended with %v", err)
		}
	case <-time.After(waitLimit):
		t.Fatal("the host did not end")
	}
	w.waitAcks(40)
	w.finish(1)
	if n := w.history.Count(history.Unknown); n > 0 {
		t.Errorf("%d writes with unknown outcome after a graceful shutdown", n)
	}
}

// TestKilledHostLeavesNoTransaction kills an entry host in the middle of a
// transaction: nothing of it stays, and others go on at once.
func TestKilledHostLeavesNoTransaction(t *testing.T) {
	f := newFleet(t, 2)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	one, two := f.connect(0), f.connect(1)
	for _, sql := range []string{"BEGIN", "INSERT INTO job VALUES ('half', 'medal')"} {
		if _, err := one.Exec(ctx, sql); err != nil {
			t.Fatalf("%s: %v", sql, err)
		}
	}
	f.hosts[0].signal(t, syscall.SIGKILL)
	if _, err := two.Exec(ctx, "INSERT INTO job VALUES ('whole', 'medal')"); err != nil {
		t.Fatalf("write after the kill: %v", err)
	}
	var ids string
	if err := two.QueryRow(ctx, "SELECT group_concat(id) FROM job").Scan(&ids); err != nil || ids != "whole" {
		t.Errorf("rows %q, %v; want whole", ids, err)
	}
}
