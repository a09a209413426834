package process

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/history"
)

// TestTerminatedHostCutsNoRequest stops an entry host with SIGTERM under load. The
// host must exit by itself without leaving any write with an unknown outcome.
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
			t.Errorf("host exited with %v", err)
		}
	case <-time.After(waitTimeout):
		t.Fatal("host did not exit after SIGTERM")
	}
	w.waitAcks(40)
	w.stopAndCheck(1)
	if n := w.history.Count(history.Unknown); n > 0 {
		t.Errorf("%d writes with unknown outcome after a graceful shutdown", n)
	}
}

// TestKilledHostLeavesNoTransaction kills an entry host in the middle of a
// transaction. The transaction must be rolled back and must not block writes
// through another host.
func TestKilledHostLeavesNoTransaction(t *testing.T) {
	f := newFleet(t, 2)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	first, second := f.connect(0), f.connect(1)
	for _, sql := range []string{"BEGIN", "INSERT INTO job VALUES ('half', 'medal')"} {
		if _, err := first.Exec(ctx, sql); err != nil {
			t.Fatalf("%s: %v", sql, err)
		}
	}
	f.hosts[0].signal(t, syscall.SIGKILL)
	if _, err := second.Exec(ctx, "INSERT INTO job VALUES ('whole', 'medal')"); err != nil {
		t.Fatalf("write after the kill: %v", err)
	}
	var ids string
	if err := second.QueryRow(ctx, "SELECT group_concat(id) FROM job").Scan(&ids); err != nil || ids != "whole" {
		t.Errorf("rows %q, %v; want whole", ids, err)
	}
}
