package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// told is a feed with what its owner was told.
type told struct {
	*Feed
	mu      sync.Mutex
	updates []Update
	lead    time.Duration
}

func newTold() *told {
	d := &told{}
	d.Feed = &Feed{
		Tables: []Table{"servers"}, Boot: func() time.Duration { return d.lead },
		Changed: func(u Update) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.updates = append(d.updates, u)
		},
	}
	return d
}

func (d *told) keys() string {
	var keys []string
	for _, r := range d.Rows("servers") {
		keys = append(keys, fmt.Sprintf("%s%s", r.Key, r.Value))
	}
	return strings.Join(keys, " ")
}

func whole(v Version, keys ...string) Update { return delta(0, v, keys...) }

func delta(after, v Version, keys ...string) Update {
	u := Update{Table: "servers", After: after, Version: v}
	for _, k := range keys {
		key, gone := strings.CutPrefix(k, "-")
		u.Rows = append(u.Rows, Row{Key: key, Version: v, Gone: gone})
	}
	return u
}

// TestTakeNeverGoesBack answers hosts that tell what they heard late, or that were
// away: a row that was deleted, or a value that was replaced, does not come back.
func TestTakeNeverGoesBack(t *testing.T) {
	tests := []struct {
		name  string
		takes []Update
		want  string
	}{
		{"in order", []Update{whole(3, "a", "b"), delta(3, 5, "c"), delta(5, 6, "-a")}, "b c"},
		{"an older whole table comes late", []Update{whole(3, "a", "b"), delta(3, 5, "-a"), whole(4, "a", "b")}, "b"},
		{"an older change comes late", []Update{whole(3, "a"), delta(3, 7, "-a"), delta(3, 5, "a")}, ""},
		{"the same change twice", []Update{whole(3, "a"), delta(3, 5, "-a"), delta(3, 5, "-a"), delta(5, 6, "d")}, "d"},
		{"changes between are missing", []Update{whole(3, "a"), delta(5, 6, "b")}, "a"},
		{"changes before the whole table", []Update{delta(2, 6, "b"), whole(7, "a")}, "a"},
		{"changes that overlap", []Update{whole(3, "a"), delta(3, 6, "b"), delta(5, 8, "c")}, "a b c"},
		{"a row comes back", []Update{whole(3, "a"), delta(3, 4, "-a"), delta(4, 5, "a")}, "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newTold()
			for _, u := range tt.takes {
				d.Take(u)
			}
			if got := d.keys(); got != tt.want {
				t.Errorf("rows %q, want %q", got, tt.want)
			}
		})
	}
}

// TestSince answers hosts that connect after they were away: they are told what
// they lack, deletions included, and all where that is not known any more.
func TestSince(t *testing.T) {
	d := newTold()
	d.Take(whole(3, "a", "b"))
	d.Take(delta(3, 5, "-a", "c"))
	for _, tt := range []struct {
		after, from Version
		rows        int
	}{{0, 0, 2}, {2, 0, 2}, {3, 3, 2}, {4, 4, 2}} {
		u, ok := d.since("servers", tt.after)
		if !ok || u.After != tt.from || len(u.Rows) != tt.rows || u.Version != 5 {
			t.Errorf("after %d: %t %+v, want %d rows after %d", tt.after, ok, u, tt.rows, tt.from)
		}
	}
	if u, ok := d.since("servers", 5); ok {
		t.Errorf("a host that knows all is told %+v", u)
	}
	for i := range maxGone + 1 {
		d.Take(delta(Version(5+i), Version(6+i), fmt.Sprintf("-x%d", i)))
	}
	if u, _ := d.since("servers", 5); u.After != 0 {
		t.Errorf("deletions were forgotten, and a host that lacks them is told only changes after %d", u.After)
	}
}

// TestStoreClock checks that the estimate of the store's clock is never ahead of it.
func TestStoreClock(t *testing.T) {
	d := newTold()
	d.lead = 100 * time.Second
	u := whole(3)
	u.StoreNow = 7 * time.Second
	d.Take(u)
	d.lead += time.Second
	late := delta(3, 4)
	late.StoreNow = 7500 * time.Millisecond
	d.Take(late)
	if got := d.StoreNow(); got != 8*time.Second {
		t.Errorf("the store's clock is taken for %s, want 8s", got)
	}
}

// serve lets others hear a feed, until stop.
func (d *told) serve(t *testing.T) (address string, stop func()) {
	mux := http.NewServeMux()
	mux.Handle("GET /feed", d.Feed)
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String(), func() {
		srv.CloseClientConnections()
		d.Feed.mu.Lock()
		for h := range d.heard {
			h.close()
		}
		d.Feed.mu.Unlock()
		_ = srv.Listener.Close()
	}
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal("not in time: " + what)
}

// TestLink follows one host through the loss of the host that it hears from, and
// through that one's loss of the store.
func TestLink(t *testing.T) {
	first, second, host := newTold(), newTold(), newTold()
	first.Take(whole(3, "a"))
	second.Take(whole(3, "a"))
	one, stopOne := first.serve(t)
	two, _ := second.serve(t)
	var mu sync.Mutex
	relays := []string{one, two}
	l := &Link{
		Feed: host.Feed, DialContext: (&net.Dialer{}).DialContext, Event: func(string, error) {}, Up: func(string) {},
		Relays: func() ([]string, int) {
			mu.Lock()
			defer mu.Unlock()
			return append([]string(nil), relays...), 2
		},
		Down: func(address string) {
			mu.Lock()
			defer mu.Unlock()
			if address == one {
				relays = []string{two}
			}
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(ctx)
	}()
	eventually(t, "the host hears all rows", func() bool { return host.keys() == "a" && l.Current() })
	first.Take(delta(3, 4, "b"))
	eventually(t, "the host hears a change", func() bool { return host.keys() == "a b" })
	second.Take(delta(3, 4, "b"))
	second.Take(delta(4, 5, "c"))
	stopOne()
	eventually(t, "the other host is heard", func() bool { return host.keys() == "a b c" && l.current.Load() })
	second.SetLost("servers", true)
	eventually(t, "the host notices that the other one has lost the store", func() bool { return !l.Current() })
	second.SetLost("servers", false)
	second.Take(delta(5, 6, "-a"))
	eventually(t, "the host hears again", func() bool { return host.keys() == "b c" && l.current.Load() })
	cancel()
	<-done
}

// FuzzMessage checks that no message from another host ends the process.
func FuzzMessage(f *testing.F) {
	u := whole(3, "a", "-b")
	f.Add(encode(message{Update: &u}))
	f.Add(encode(message{Current: true}))
	f.Add(encode(hello{Versions: map[Table]Version{"servers": 4}}))
	f.Fuzz(func(_ *testing.T, body []byte) {
		d := newTold()
		var m message
		if decode(body, &m) == nil && m.Update != nil {
			d.Take(*m.Update)
			d.since("servers", 1)
		}
		var hi hello
		_ = decode(body, &hi)
	})
}
