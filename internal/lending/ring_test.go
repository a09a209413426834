package lending

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
)

// TestRelays answers the load of a large fleet on the store: a few hosts of each
// region follow it, whichever are up, and the others hear from just these.
func TestRelays(t *testing.T) {
	now := time.Unix(100, 0)
	regions := map[string]string{"z-0": "north", "z-1": "north", "z-2": "south"}
	fleet := func(n int) []Peer {
		var peers []Peer
		for i := range n {
			peers = append(peers, Peer{
				Name: fmt.Sprintf("h-%d", i), Zone: fmt.Sprintf("z-%d", i%3), Address: fmt.Sprintf("a-%d", i), Weight: 0.2 + 0.1*float64(i%4),
			})
		}
		return peers
	}
	ring := func(p Peer, peers []Peer) *Ring {
		r := &Ring{Self: p.Name, Zone: p.Zone, Regions: regions, Now: func() time.Time { return now }}
		r.Set(peers)
		return r
	}
	for _, n := range []int{1, 7, 16, 90, 400} {
		peers := fleet(n)
		following, heard := 0, make(map[string]int)
		for _, p := range peers {
			addresses, first := ring(p, peers).Relays(false)
			if len(addresses) == 0 {
				following++
				continue
			}
			if first < relaysPerRegion || slices.Contains(addresses, p.Address) {
				t.Errorf("%d hosts: %s is to hear from %v, the first %d of them", n, p.Name, addresses, first)
			}
			heard[addresses[0]]++
		}
		want := map[int]int{1: 1, 7: 7, 16: 4, 90: 4, 400: 5 + 3}[n]
		if following != want {
			t.Errorf("%d hosts: %d of them follow the store, want %d", n, following, want)
		}
		for a, hearers := range heard {
			if hearers > 2*hearersPerRelay {
				t.Errorf("%d hosts: %d of them hear from %s", n, hearers, a)
			}
		}
	}
	peers := fleet(90)
	r := ring(peers[0], peers)
	before, first := r.Relays(false)
	for _, a := range before[:first] {
		r.Down(a)
	}
	after, _ := r.Relays(false)
	if len(after) > 0 && slices.ContainsFunc(after, func(a string) bool { return slices.Contains(before[:first], a) }) {
		t.Errorf("hosts that are down are to be heard: %v of %v", after, before)
	}
	if lost, first := r.Relays(true); len(lost) != maxRelays || first != maxRelays || slices.Contains(lost, peers[0].Address) {
		t.Errorf("a host that has lost the store hears from %v, %d", lost, first)
	}
	few := fleet(3)
	if lost, _ := ring(few[0], few).Relays(true); len(lost) != 2 {
		t.Errorf("a host that has lost the store hears from %v of two others", lost)
	}
}

// TestRankingIsKept answers the load of hundreds of endpoints before hundreds of hosts:
// who holds an endpoint's connections is asked several times a second for each of
// them, and is worked out anew only when the hosts change.
func TestRankingIsKept(t *testing.T) {
	now := time.Unix(100, 0)
	var peers []Peer
	for i := range 60 {
		peers = append(peers, Peer{Name: fmt.Sprintf("h-%d", i), Zone: "z", Address: fmt.Sprintf("a-%d", i), Weight: 0.2})
	}
	r := &Ring{Self: "h-0", Zone: "z", Now: func() time.Time { return now }}
	r.Set(peers)
	m := replicaset.Member{ID: "m", Zone: "z"}
	first, _ := r.Lenders(m, 100)
	if n := testing.AllocsPerRun(100, func() { r.Lenders(m, 100) }); n > 2 {
		t.Errorf("%.0f allocations for a ranking that is known", n)
	}
	holder := slices.IndexFunc(first, func(a string) bool { return a != "" })
	r.Down(first[holder])
	if again, _ := r.Lenders(m, 100); slices.Contains(again, first[holder]) {
		t.Error("a host that is down keeps its place in a ranking that is known")
	}
	r.Set(peers[:1])
	if alone, holders := r.Lenders(m, 100); holders != 0 {
		t.Errorf("after all others left, %v hold connections", alone)
	}
}
