// Package process tests the built binaries as separate processes: entry hosts
// against stand-ins of the platform and of endpoints.
package process

import (
	"context"
	"testing"
)

// TestWholePath is the path of one order: an account is applied with the
// command line, an ordinary driver writes through one entry host and reads
// through another.
func TestWholePath(t *testing.T) {
	f := newFleet(t, 3)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	one, two := f.connect(0), f.connect(1)
	if _, err := one.Exec(ctx, "INSERT INTO job VALUES ($1, $2)", "order-1", "medal"); err != nil {
		t.Fatalf("write: %v", err)
	}
	token := one.PgConn().ParameterStatus("cumintrestle.session_token")
	if _, err := two.Exec(ctx, "SET cumintrestle.session_token = '"+token+"'"); err != nil {
		t.Fatalf("token: %v", err)
	}
	var die string
	if err := two.QueryRow(ctx, "SELECT die FROM job WHERE id = $1", "order-1").Scan(&die); err != nil {
		t.Fatalf("read: %v", err)
	}
	if die != "medal" {
		t.Errorf("read %q, wrote medal", die)
	}
	if out, code := f.cli("status"); code != 0 {
		t.Errorf("status: exit %d: %s", code, out)
	}
}
