// Package process tests the built binaries as separate processes: entry hosts
// against stand-ins of the platform and of endpoints.
package process

import (
	"context"
	"testing"
)

// TestWholePath creates a client account with the command line, writes a row with
// a standard PostgreSQL driver through one entry host and reads it through
// another.
func TestWholePath(t *testing.T) {
	f := newFleet(t, 3)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	first, second := f.connect(0), f.connect(1)
	if _, err := first.Exec(ctx, "INSERT INTO job VALUES ($1, $2)", "order-1", "medal"); err != nil {
		t.Fatalf("write: %v", err)
	}
	token := first.PgConn().ParameterStatus("cumintrestle.session_token")
	if _, err := second.Exec(ctx, "SET cumintrestle.session_token = '"+token+"'"); err != nil {
		t.Fatalf("token: %v", err)
	}
	var die string
	if err := second.QueryRow(ctx, "SELECT die FROM job WHERE id = $1", "order-1").Scan(&die); err != nil {
		t.Fatalf("read: %v", err)
	}
	if die != "medal" {
		t.Errorf("read %q, wrote medal", die)
	}
	if out, code := f.runCLI("status"); code != 0 {
		t.Errorf("status: exit %d: %s", code, out)
	}
}
