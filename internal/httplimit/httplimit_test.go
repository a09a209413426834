package httplimit

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/budget"
)

// TestConnectionsAreReplaced guards against connections that stay and keep a check out.
func TestConnectionsAreReplaced(t *testing.T) {
	b := budget.New(budget.LineShares, 0, 400)
	srv := httptest.NewUnstartedServer(nil)
	srv.Config = Server(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ready") }), Limits{})
	srv.Listener = Listen(srv.Listener, budget.Checks, b)
	srv.Start()
	t.Cleanup(srv.Close)
	for range 100 {
		nc, err := net.Dial("tcp", srv.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
	}
	client := http.Client{Timeout: 10 * time.Second}
	resp, err := client.Get(srv.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	for _, u := range b.Connections() {
		if u.Used > u.Limit {
			t.Errorf("%s has %d connections of %d", u.Name, u.Used, u.Limit)
		}
	}
	req, err := http.NewRequest(http.MethodGet, srv.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X", strings.Repeat("x", 20<<10))
	if resp, err := client.Do(req); err == nil {
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("a header of 20 KiB is answered with %d", resp.StatusCode)
		}
	}
}
