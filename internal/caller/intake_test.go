package caller

import (
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cumintrestle/cumintrestle/internal/budget"
	"github.com/cumintrestle/cumintrestle/pkg/result"
)

// newTestSession returns an authenticated session of a server with a budget, and the caller's
// side of its connection.
func newTestSession(t testing.TB, memory int64) (*callerSession, net.Conn) {
	t.Helper()
	client, server := net.Pipe()
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	s := testServer()
	s.Budget, s.MessageTimeout = budget.New(budget.PostgresShares, memory, 0), 2*time.Second
	c := newSession(s, server)
	c.budget = s.Budget.Open(budget.Clients, "a", func() { _ = server.Close() })
	c.reader.Startup, c.authenticated = false, true
	c.be.SetMaxBodyLen(maxMessageBytes)
	return c, client
}

func checkNothingHeld(t *testing.T, c *callerSession) {
	t.Helper()
	c.endRequest()
	c.budget.Close()
	for _, u := range c.srv.Budget.Bytes() {
		if u.Used != 0 {
			t.Errorf("%s has %d bytes used", u.Name, u.Used)
		}
	}
}

// FuzzRequests sends arbitrary bytes to an authenticated session: requests are read or
// refused, and nothing stays charged.
func FuzzRequests(f *testing.F) {
	query, err := (&pgproto3.Query{String: "SELECT 1"}).Encode(nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(query)
	f.Add([]byte("P\x00\x00\x00\x0as\x00q\x00\x00\x00S\x00\x00\x00\x04"))
	f.Add([]byte("B\x7f\xff\xff\xff"))
	f.Add([]byte("d\x00\x00\x00\x05x"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, client := newTestSession(t, 1)
		go func() {
			_, _ = client.Write(data)
			_ = client.Close()
		}()
		for {
			b, err := c.nextBatch()
			if err != nil {
				break
			}
			_, _, _ = b.class(), b.mayCommit(), b.fingerprint()
			c.endRequest()
		}
		checkNothingHeld(t, c)
	})
}

// TestRequestWithoutMemory guards against a request whose messages are read although there is
// no memory for them, and against many small messages that are not charged.
func TestRequestWithoutMemory(t *testing.T) {
	bind, err := (&pgproto3.Bind{Parameters: [][]byte{[]byte(strings.Repeat("x", 1<<20))}}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	execute, err := (&pgproto3.Execute{}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, body := range map[string][]byte{
		"one message over the part": bind, "many small messages": []byte(strings.Repeat(string(execute), 20_000)),
	} {
		c, client := newTestSession(t, 1)
		go func() { _, _ = client.Write(body) }()
		_, err := c.nextBatch()
		if result.CodeOf(err) != result.QueueFull {
			t.Errorf("%s: %v, want %d", name, err, result.QueueFull)
		}
		checkNothingHeld(t, c)
	}
}

// TestStopEndsWait guards against a server that does not stop while a request waits for
// memory, and against waiting that continues after it.
func TestStopEndsWait(t *testing.T) {
	c, client := newTestSession(t, 1)
	c.srv.MessageTimeout = time.Minute
	for c.srv.Budget.Reserve(budget.SmallMessages, 1000) == nil {
	}
	go func() { _, _ = client.Write([]byte("Q\x00\x00\x20\x00SELECT")) }()
	ended := make(chan error, 1)
	go func() {
		_, err := c.nextBatch()
		ended <- err
	}()
	select {
	case err := <-ended:
		t.Fatalf("the request does not wait: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	c.budget.Close()
	if err := <-ended; result.CodeOf(err) != result.QueueFull {
		t.Errorf("the wait ends with %v, want %d", err, result.QueueFull)
	}
}

// TestSlowRequest guards against a request that holds memory for ever.
func TestSlowRequest(t *testing.T) {
	c, client := newTestSession(t, 0)
	c.srv.MessageTimeout = 20 * time.Millisecond
	go func() { _, _ = client.Write([]byte("Q\x00\x00\x00\x10SEL")) }()
	if _, err := c.nextBatch(); result.CodeOf(err) != result.MessageInvalid {
		t.Errorf("an unfinished request gives %v, want %d", err, result.MessageInvalid)
	}
	c, client = newTestSession(t, 0)
	go func() { _ = client.Close() }()
	if _, err := c.nextBatch(); !errors.Is(err, errDisconnect) {
		t.Errorf("a closed connection gives %v, want %v", err, errDisconnect)
	}
}
