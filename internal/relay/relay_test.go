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

	"github.com/cumintrestle/cumintrestle/internal/revision"
)

// recordingFeed is a feed that records the updates passed to OnUpdate, with a settable
// clock.
type recordingFeed struct {
	*Feed
	mu       sync.Mutex
	updates  []Update
	bootTime time.Duration
}

func newRecordingFeed() *recordingFeed {
	d := &recordingFeed{}
	d.Feed = &Feed{
		Tables: []Table{"servers"}, BootTime: func() time.Duration { return d.bootTime },
		OnUpdate: func(u Update) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.updates = append(d.updates, u)
		},
	}
	return d
}

func (d *recordingFeed) keys() string {
	var keys []string
	for _, r := range d.Rows("servers") {
		keys = append(keys, fmt.Sprintf("%s%s", r.Key, r.Value))
	}
	return strings.Join(keys, " ")
}

func fullUpdate(v revision.Version, keys ...string) Update { return fullUpdateIn(1, v, keys...) }

func fullUpdateIn(era revision.Era, v revision.Version, keys ...string) Update {
	u := deltaIn(era, 0, v, keys...)
	u.After = revision.Revision{}
	return u
}

func delta(after, v revision.Version, keys ...string) Update { return deltaIn(1, after, v, keys...) }

func deltaIn(era revision.Era, after, v revision.Version, keys ...string) Update {
	u := Update{Table: "servers", After: revision.Revision{Era: era, Version: after}, Revision: revision.Revision{Era: era, Version: v}}
	for _, k := range keys {
		key, deleted := strings.CutPrefix(k, "-")
		u.Rows = append(u.Rows, Row{Key: key, Version: v, Deleted: deleted})
	}
	return u
}

// TestTakeNeverGoesBack checks that a deleted row or a replaced value does not come back
// when outdated updates arrive, from a slow host or one that was disconnected.
func TestTakeNeverGoesBack(t *testing.T) {
	tests := []struct {
		name    string
		updates []Update
		want    string
	}{
		{"in order", []Update{fullUpdate(3, "a", "b"), delta(3, 5, "c"), delta(5, 6, "-a")}, "b c"},
		{"an older whole table comes late", []Update{fullUpdate(3, "a", "b"), delta(3, 5, "-a"), fullUpdate(4, "a", "b")}, "b"},
		{"an older change comes late", []Update{fullUpdate(3, "a"), delta(3, 7, "-a"), delta(3, 5, "a")}, ""},
		{"the same change twice", []Update{fullUpdate(3, "a"), delta(3, 5, "-a"), delta(3, 5, "-a"), delta(5, 6, "d")}, "d"},
		{"changes between are missing", []Update{fullUpdate(3, "a"), delta(5, 6, "b")}, "a"},
		{"changes before the whole table", []Update{delta(2, 6, "b"), fullUpdate(7, "a")}, "a"},
		{"changes that overlap", []Update{fullUpdate(3, "a"), delta(3, 6, "b"), delta(5, 8, "c")}, "a b c"},
		{"a row comes back", []Update{fullUpdate(3, "a"), delta(3, 4, "-a"), delta(4, 5, "a")}, "a"},
		{"the store comes back from a copy", []Update{fullUpdate(9, "a", "b"), fullUpdateIn(2, 4, "a")}, "a"},
		{"a version is given out again", []Update{fullUpdate(9, "a"), fullUpdateIn(2, 4, "a"), deltaIn(2, 4, 9, "c")}, "a c"},
		{"an answer of an earlier era comes late", []Update{fullUpdate(3, "a"), fullUpdateIn(2, 4, "b"), fullUpdate(9, "a"), delta(3, 9, "c")}, "b"},
		{"changes of a new era before its whole table", []Update{fullUpdate(3, "a"), deltaIn(2, 3, 4, "b"), fullUpdateIn(2, 5, "b", "c")}, "b c"},
		{"changes that begin in the era before", []Update{fullUpdate(3, "a"), {Table: "servers", After: revision.Revision{Era: 1, Version: 3}, Revision: revision.Revision{Era: 2, Version: 4}}}, "a"},
		{"two copies, the second one first", []Update{fullUpdate(9, "a"), fullUpdateIn(3, 5, "c"), fullUpdateIn(2, 7, "b")}, "c"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newRecordingFeed()
			for _, u := range tt.updates {
				d.Apply(u)
			}
			if got := d.keys(); got != tt.want {
				t.Errorf("rows %q, want %q", got, tt.want)
			}
		})
	}
}

// TestSince checks that a host that was disconnected gets the changes it missed,
// deletions included, or the whole table once the tombstones have been dropped.
func TestSince(t *testing.T) {
	d := newRecordingFeed()
	d.Apply(fullUpdate(3, "a", "b"))
	d.Apply(delta(3, 5, "-a", "c"))
	for _, tt := range []struct {
		era         revision.Era
		after, from revision.Version
		rows        int
	}{{1, 0, 0, 2}, {1, 2, 0, 2}, {1, 3, 3, 2}, {1, 4, 4, 2}, {0, 4, 0, 2}} {
		u, ok := d.updateSince("servers", revision.Revision{Era: tt.era, Version: tt.after})
		if !ok || u.After.Version != tt.from || len(u.Rows) != tt.rows || u.Revision.Version != 5 {
			t.Errorf("after %d: %t %+v, want %d rows after %d", tt.after, ok, u, tt.rows, tt.from)
		}
	}
	for _, at := range []revision.Revision{{Era: 1, Version: 5}, {Era: 2, Version: 4}} {
		if u, ok := d.updateSince("servers", at); ok {
			t.Errorf("a host that is up to date gets %+v", u)
		}
	}
	for i := range maxTombstones + 1 {
		d.Apply(delta(revision.Version(5+i), revision.Version(6+i), fmt.Sprintf("-x%d", i)))
	}
	if u, _ := d.updateSince("servers", revision.Revision{Era: 1, Version: 5}); !u.After.IsZero() {
		t.Errorf("tombstones were dropped, but a host that lacks them gets only the changes after %d", u.After)
	}
}

// TestStoreClock checks that the estimate of the store's clock is never ahead of it.
func TestStoreClock(t *testing.T) {
	d := newRecordingFeed()
	d.bootTime = 100 * time.Second
	u := fullUpdate(3)
	u.StoreNow = 7 * time.Second
	d.Apply(u)
	d.bootTime += time.Second
	late := delta(3, 4)
	late.StoreNow = 7500 * time.Millisecond
	d.Apply(late)
	if got := d.StoreNow(); got != 8*time.Second {
		t.Errorf("StoreNow is %s, want 8s", got)
	}
	restored := fullUpdateIn(2, 2)
	restored.StoreNow = 3 * time.Second
	d.Apply(restored)
	old := fullUpdate(9)
	old.StoreNow = 20 * time.Second
	d.Apply(old)
	if got := d.StoreNow(); got != 3*time.Second {
		t.Errorf("StoreNow is %s after the store has come back with its clock at 3s", got)
	}
}

// serve serves a feed to subscribers until stop is called.
func (d *recordingFeed) serve(t *testing.T) (address string, stop func()) {
	mux := http.NewServeMux()
	mux.Handle("GET "+Path, d.Feed)
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String(), func() {
		srv.CloseClientConnections()
		d.Feed.mu.Lock()
		for h := range d.subscribers {
			h.close()
		}
		d.Feed.mu.Unlock()
		_ = srv.Listener.Close()
	}
}

func eventually(t *testing.T, event string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal("timeout waiting for: " + event)
}

// TestLink checks that a host moves to another relay when its relay fails, is no longer
// current when that one loses the store, and recovers with it.
func TestLink(t *testing.T) {
	first, second, host := newRecordingFeed(), newRecordingFeed(), newRecordingFeed()
	first.Apply(fullUpdate(3, "a"))
	second.Apply(fullUpdate(3, "a"))
	first.SetStoreReachable("servers", true)
	second.SetStoreReachable("servers", true)
	one, stopOne := first.serve(t)
	two, _ := second.serve(t)
	var mu sync.Mutex
	relays := []string{one, two}
	l := &Link{
		Feed: host.Feed, DialContext: (&net.Dialer{}).DialContext, OnEvent: func(string, error) {}, OnUp: func(string) {},
		Relays: func() ([]string, int) {
			mu.Lock()
			defer mu.Unlock()
			return append([]string(nil), relays...), 2
		},
		OnDown: func(address string) {
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
	eventually(t, "the host receives all rows", func() bool { return host.keys() == "a" && l.Current() })
	first.Apply(delta(3, 4, "b"))
	eventually(t, "the host receives a change", func() bool { return host.keys() == "a b" })
	second.Apply(delta(3, 4, "b"))
	second.Apply(delta(4, 5, "c"))
	stopOne()
	eventually(t, "the host follows the other relay", func() bool { return host.keys() == "a b c" && l.current.Load() })
	second.SetStoreReachable("servers", false)
	eventually(t, "the host notices that its relay lost the store", func() bool { return !l.Current() })
	second.SetStoreReachable("servers", true)
	second.Apply(delta(5, 6, "-a"))
	eventually(t, "the host receives changes again", func() bool { return host.keys() == "b c" && l.current.Load() })
	cancel()
	<-done
}

// TestBothRelaysLost checks that hosts move to a spare relay when both preferred relays
// of their region have lost the store (grown Relojeros, scale-1, seed 755034039204:
// CONFIG, LOST). In that run hosts cycled between these and a third host, which counted
// as current although it did not follow the store, and they did not follow the store
// themselves.
func TestBothRelaysLost(t *testing.T) {
	var addresses []string
	var spare *recordingFeed
	for i := range 3 {
		d := newRecordingFeed()
		d.Apply(fullUpdate(3, "a"))
		if i < 2 {
			d.SetStoreReachable("servers", false)
		} else {
			spare = d
		}
		address, _ := d.serve(t)
		addresses = append(addresses, address)
	}
	host := newRecordingFeed()
	var mu sync.Mutex
	linked := 0
	l := &Link{
		Feed: host.Feed, DialContext: (&net.Dialer{}).DialContext, OnUp: func(string) {}, OnDown: func(string) {},
		Relays: func() ([]string, int) { return addresses, 2 },
		OnEvent: func(_ string, err error) {
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				linked++
			}
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.Run(ctx)
	eventually(t, "the host subscribes to the third one", func() bool { return spare.Subscribers() > 0 })
	if l.current.Load() {
		t.Error("the link is current although the third host does not follow the store")
	}
	spare.SetStoreReachable("servers", true)
	spare.Apply(delta(3, 4, "b"))
	eventually(t, "the link to the third host becomes current", func() bool { return l.Current() && host.keys() == "a b" })
	time.Sleep(heartbeatInterval + heartbeatInterval/2)
	mu.Lock()
	defer mu.Unlock()
	if linked != 1 || !l.current.Load() {
		t.Errorf("the link became current %d times, want once and still current", linked)
	}
}

// TestHearsOnlyFromCurrent checks that a host applies no rows of a relay that is not
// current, unless it cannot reach the store itself. A relay may have lost the store a
// while ago or not follow it yet, and its rows may be outdated.
func TestHearsOnlyFromCurrent(t *testing.T) {
	for _, lost := range []bool{false, true} {
		t.Run(fmt.Sprintf("own access to the store lost: %t", lost), func(t *testing.T) {
			other, host := newRecordingFeed(), newRecordingFeed()
			other.Apply(fullUpdate(3, "left-since"))
			address, _ := other.serve(t)
			if lost {
				host.SetStoreReachable("servers", false)
			}
			l := &Link{
				Feed: host.Feed, DialContext: (&net.Dialer{}).DialContext, OnEvent: func(string, error) {}, OnUp: func(string) {}, OnDown: func(string) {},
				Relays: func() ([]string, int) { return []string{address}, 1 },
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go l.Run(ctx)
			eventually(t, "the host subscribes", func() bool { return other.Subscribers() > 0 })
			if lost {
				eventually(t, "the host applies the rows", func() bool { return host.keys() == "left-since" })
				return
			}
			time.Sleep(syncTimeout)
			if host.keys() != "" || l.current.Load() {
				t.Errorf("the host applied %q from a relay that is not current", host.keys())
			}
			other.Apply(fullUpdate(4, "new"))
			other.SetStoreReachable("servers", true)
			eventually(t, "the link becomes current", func() bool { return host.keys() == "new" && l.Current() })
		})
	}
}

// TestPack checks that a large update is compressed and decoded unchanged. A change of a
// large configuration is sent to every host of the fleet.
func TestPack(t *testing.T) {
	for _, size := range []int{0, compressThreshold - 1, compressThreshold, 300 << 10} {
		u := fullUpdate(3, "config")
		u.Rows[0].Value = []byte(strings.Repeat(`{"host":"d-17","timeout-ms":900}`, size/32+1)[:size])
		body := encode(pack(u))
		if size > compressThreshold && len(body) > size/4 {
			t.Errorf("an update of %d bytes is encoded in %d bytes", size, len(body))
		}
		var m message
		if err := decode(body, &m); err != nil {
			t.Fatal(err)
		}
		got, err := m.unpack()
		if err != nil || string(got.Rows[0].Value) != string(u.Rows[0].Value) || got.Revision.Version != 3 {
			t.Errorf("an update of %d bytes is changed by encoding and decoding: %v", size, err)
		}
	}
}

// FuzzMessage checks that no message from another host causes a panic.
func FuzzMessage(f *testing.F) {
	u := fullUpdate(3, "a", "-b")
	f.Add(encode(message{Update: &u}))
	large := fullUpdate(3, "a")
	large.Rows[0].Value = make([]byte, compressThreshold)
	f.Add(encode(pack(large)))
	f.Add(encode(message{Packed: []byte{1, 2, 3}}))
	f.Add(encode(message{Current: true}))
	f.Add(encode(hello{Revisions: map[Table]revision.Revision{"servers": {Era: 1, Version: 4}}}))
	f.Fuzz(func(_ *testing.T, body []byte) {
		d := newRecordingFeed()
		var m message
		if decode(body, &m) == nil {
			if u, err := m.unpack(); err == nil && u != nil {
				d.Apply(*u)
				d.updateSince("servers", revision.Revision{Era: 1, Version: 1})
			}
		}
		var hi hello
		_ = decode(body, &hi)
	})
}
