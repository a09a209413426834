package abuse

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
)

// link opens a link between hosts, nil if it is refused.
func (e *entry) link(path string) *websocket.Conn {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	ws, resp, err := websocket.Dial(ctx, "ws://"+e.lend+path, nil)
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil
	}
	e.t.Cleanup(func() { _ = ws.CloseNow() })
	return ws
}

// pushPart sends a part of a message and does not end it.
func pushPart(ws *websocket.Conn, body []byte) {
	if ws == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	w, err := ws.Writer(ctx, websocket.MessageBinary)
	if err == nil {
		_, _ = w.Write(body)
	}
}

// lendRequest is a call of a write on a lent connection, as internal/lending encodes it.
func lendRequest(t *testing.T, seq int, text string) []byte {
	t.Helper()
	op := []any{0, fmt.Sprint(seq), text, 0, 0, "", "", false, 0}
	body, err := cbor.Marshal([]any{
		seq, 0, 0, "orders", "orders-0", 0, 4000, 5000, false, false, map[string]string{}, nil, []any{op}, nil,
	})
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// TestLendUnfinished guards against links that send messages of up to 3 MiB and never end
// them.
func TestLendUnfinished(t *testing.T) {
	e := startEntry(t, manyFDs)
	part := []byte(strings.Repeat("x", 3<<20-100))
	each(60, func(int) { pushPart(e.link("/lend"), part) })
	time.Sleep(holdTime)
	e.mustBeWell()
}

// TestLendCallsAhead guards against links that send many large calls and read no response.
func TestLendCallsAhead(t *testing.T) {
	e := startEntry(t, manyFDs)
	e.group.Databases[0].SetUnresponsive(true)
	each(16, func(int) {
		ws := e.link("/lend")
		if ws == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		for n := range 20 {
			if ws.Write(ctx, websocket.MessageBinary, lendRequest(t, n+1, "WRITE 1 "+bulk)) != nil {
				return
			}
		}
	})
	time.Sleep(holdTime)
	e.check()
	e.group.Databases[0].SetUnresponsive(false)
	e.mustBeWell()
}

// TestLendSmallCallsAhead guards against a link with an unlimited number of calls in flight.
func TestLendSmallCallsAhead(t *testing.T) {
	e := startEntry(t, manyFDs)
	e.group.Databases[0].SetUnresponsive(true)
	each(8, func(int) {
		ws := e.link("/lend")
		if ws == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		for n := range 10_000 {
			if ws.Write(ctx, websocket.MessageBinary, lendRequest(t, n+1, "WRITE 1 x")) != nil {
				return
			}
		}
	})
	e.check()
	e.group.Databases[0].SetUnresponsive(false)
	e.mustBeWell()
}

// TestLinksThatStay guards against links of both kinds that use up the descriptors.
func TestLinksThatStay(t *testing.T) {
	for _, path := range []string{"/lend", "/feed/2"} {
		t.Run(path[1:5], func(t *testing.T) {
			e := startEntry(t, fewFDs)
			hello, err := cbor.Marshal([]any{map[string]any{}})
			if err != nil {
				t.Fatal(err)
			}
			each(fdCrowd, func(int) {
				if ws := e.link(path); ws != nil && path != "/lend" {
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					defer cancel()
					_ = ws.Write(ctx, websocket.MessageBinary, hello)
				}
			})
			e.mustBeWell()
		})
	}
}

// TestPortsWithConnectionsThatStay guards against connections to the readiness port and to
// the port of the metrics that send nothing, or an unfinished request, and use up the
// descriptors.
func TestPortsWithConnectionsThatStay(t *testing.T) {
	for name, port := range map[string]func(*entry) string{
		"readiness": func(e *entry) string { return e.ready },
		"metrics":   func(e *entry) string { return e.lend },
	} {
		t.Run(name, func(t *testing.T) {
			e := startEntry(t, fewFDs)
			each(fdCrowd, func(i int) {
				nc := dialTest(t, port(e))
				if i%2 == 0 {
					push(nc, []byte("GET /metrics HTTP/1.1\r\nHost: x\r\nX-"))
				}
			})
			e.mustBeWell()
		})
	}
}

// TestPortsWithLargeHeaders guards against HTTP requests with headers of nearly 1 MiB, the
// default limit of net/http.
func TestPortsWithLargeHeaders(t *testing.T) {
	e := startEntry(t, manyFDs)
	for _, port := range []string{e.ready, e.lend} {
		each(crowd, func(int) {
			push(dialTest(t, port), []byte("GET /api/readiness HTTP/1.1\r\nHost: x\r\nX-A: "+bulk[:1<<20-5000]))
		})
		time.Sleep(holdTime)
	}
	e.mustBeWell()
}

// TestPortsWithUnreadAnswers guards against clients that ask for the metrics again and again
// and read nothing.
func TestPortsWithUnreadAnswers(t *testing.T) {
	e := startEntry(t, manyFDs)
	each(crowd, func(int) {
		push(dialTest(t, e.lend), []byte(strings.Repeat("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n", 500)))
	})
	time.Sleep(holdTime)
	e.mustBeWell()
}

// TestPortStorm guards against short requests to the ports in large numbers.
func TestPortStorm(t *testing.T) {
	e := startEntry(t, fewFDs)
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	each(1500, func(i int) {
		resp, err := client.Get("http://" + []string{e.ready, e.lend}[i%2] + "/metrics")
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	})
	e.mustBeWell()
}
