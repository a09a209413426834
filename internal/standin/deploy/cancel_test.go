package deploy

import (
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// sendCancel sends a cancel request to an entry host and waits until the host
// closes the connection.
func sendCancel(t *testing.T, addr string, pid uint32, secret []byte) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	m := pgproto3.CancelRequest{ProcessID: pid, SecretKey: secret}
	raw, err := m.Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write(raw); err != nil {
		t.Fatal(err)
	}
	_, _ = conn.Read(make([]byte, 1))
}
