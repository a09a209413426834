package endpoint

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// TestDatabaseName guards against a name of a database that is read as part of an address, and
// against texts that an endpoint reads in another way than the host and its callers.
func TestDatabaseName(t *testing.T) {
	for _, name := range []string{"ledger", "a b", " a", "a%20b", "a%zz", "a?application_name=b", "a/b", "a#b", "a\r\nb", "é", "\xff"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		got := make(chan map[string]string, 1)
		go func() {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			if m, err := pgproto3.NewBackend(c, c).ReceiveStartupMessage(); err == nil {
				got <- m.(*pgproto3.StartupMessage).Parameters
			}
		}()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		_, err = Dialer{Host: "h"}.connect(ctx, serviceUser, ln.Addr().String(), name)
		cancel()
		_ = ln.Close()
		select {
		case params := <-got:
			if params["database"] != name {
				t.Errorf("%q is sent as %q", name, params["database"])
			}
			for k, want := range textParams {
				if params[k] != want {
					t.Errorf("%s is %q, want %q", k, params[k], want)
				}
			}
		default:
			t.Errorf("%q is not sent: %v", name, err)
		}
	}
}
