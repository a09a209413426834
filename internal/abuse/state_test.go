package abuse

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// longID is a request ID with which a short statement is a message of legal size.
var longID = strings.Repeat("i", 1_000_000)

// TestStateOfLongMessages guards against sessions that keep whole messages for the short values,
// statements and names that were parts of them.
func TestStateOfLongMessages(t *testing.T) {
	for name, text := range map[string]string{"values": "SET v%d x", "prepared": "PREPARE p%d READ 0"} {
		t.Run(name, func(t *testing.T) {
			e := startEntry(t, manyFDs)
			nc := e.open()
			for i := range crowd {
				push(nc, []byte(fmt.Sprintf("QUERY %s%d "+text+"\r\n", longID, i, i)))
			}
			time.Sleep(holdTime)
			e.mustBeWell()
		})
	}
	t.Run("start", func(t *testing.T) {
		e := startEntry(t, manyFDs)
		each(crowd, func(int) { push(dialTest(t, e.callers), []byte("START latest "+longID+"\r\n")) })
		time.Sleep(holdTime)
		e.mustBeWell()
	})
}

// TestManyShortValues guards against values that take far more memory than their bytes.
func TestManyShortValues(t *testing.T) {
	e := startEntry(t, manyFDs)
	const values = 10_000
	each(crowd, func(int) {
		nc := e.open()
		if nc == nil {
			return
		}
		go discard(nc)
		var b strings.Builder
		for j := range values {
			fmt.Fprintf(&b, "QUERY q SET v%d x\r\n", j)
		}
		push(nc, []byte(b.String()))
	})
	time.Sleep(holdTime)
	e.mustBeWell()
}

// discard reads answers until the connection is closed.
func discard(nc net.Conn) {
	body := make([]byte, 64<<10)
	for {
		if _, err := nc.Read(body); err != nil {
			return
		}
	}
}

// TestPostgresStateOfLongRequests guards against idle sessions that keep their last request, or all of it
// for the request ID that was a part of it.
func TestPostgresStateOfLongRequests(t *testing.T) {
	p := startPostgres(t, manyFDs)
	set, err := (&pgproto3.Query{String: "SET cumintrestle.request_id = 'r'" + strings.Repeat(" ", 1<<20)}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	each(crowd, func(int) {
		nc := p.session()
		if nc == nil {
			return
		}
		push(nc, set)
		_ = nc.SetReadDeadline(time.Now().Add(serveTimeout))
		_, _ = nc.Read(make([]byte, 64))
	})
	p.mustBeWell()
}
