package lending

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
)

// TestRelays checks that in a large fleet only a few hosts of each region follow the
// store, chosen among those that are up, and that the other hosts subscribe to these.
// Otherwise the load on the store would grow with the fleet.
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
		following, subscribers := 0, make(map[string]int)
		for _, p := range peers {
			addresses, preferred := ring(p, peers).Relays(false)
			if len(addresses) == 0 {
				following++
				continue
			}
			if preferred < relaysPerRegion || slices.Contains(addresses, p.Address) {
				t.Errorf("%d hosts: %s is given the relays %v, %d of them preferred", n, p.Name, addresses, preferred)
			}
			subscribers[addresses[0]]++
		}
		want := map[int]int{1: 1, 7: 7, 16: 4, 90: 4, 400: 5 + 3}[n]
		if following != want {
			t.Errorf("%d hosts: %d follow the store, want %d", n, following, want)
		}
		for a, count := range subscribers {
			if count > 2*subscribersPerRelay {
				t.Errorf("%d hosts: %d subscribe to %s", n, count, a)
			}
		}
	}
	peers := fleet(90)
	r := ring(peers[0], peers)
	before, preferred := r.Relays(false)
	for _, a := range before[:preferred] {
		r.MarkDown(a)
	}
	after, _ := r.Relays(false)
	if len(after) > 0 && slices.ContainsFunc(after, func(a string) bool { return slices.Contains(before[:preferred], a) }) {
		t.Errorf("relays that are down are listed: %v, earlier %v", after, before)
	}
	if lost, preferred := r.Relays(true); len(lost) != maxFallbackRelays || preferred != maxFallbackRelays || slices.Contains(lost, peers[0].Address) {
		t.Errorf("relays for a host that cannot reach the store: %v, %d of them preferred", lost, preferred)
	}
	few := fleet(3)
	if lost, _ := ring(few[0], few).Relays(true); len(lost) != 2 {
		t.Errorf("relays for a host that cannot reach the store: %v, want the two other hosts", lost)
	}
}

// TestRankingIsKept checks that a ranking is cached until the hosts change, and that
// hosts that are down are still left out. With hundreds of hosts and endpoints, each
// ranking is needed several times a second and is too expensive to compute each time.
func TestRankingIsKept(t *testing.T) {
	now := time.Unix(100, 0)
	var peers []Peer
	for i := range 60 {
		peers = append(peers, Peer{Name: fmt.Sprintf("h-%d", i), Zone: "z", Address: fmt.Sprintf("a-%d", i), Weight: 0.2})
	}
	r := &Ring{Self: "h-0", Zone: "z", Now: func() time.Time { return now }}
	r.Set(peers)
	m := replicaset.Member{ID: "m", Zone: "z"}
	first, _ := r.Lenders(m, 100, "")
	if n := testing.AllocsPerRun(100, func() { r.Lenders(m, 100, "") }); n > 2 {
		t.Errorf("%.0f allocations for a cached ranking, want at most 2", n)
	}
	holder := slices.IndexFunc(first, func(a string) bool { return a != "" })
	r.MarkDown(first[holder])
	if again, _ := r.Lenders(m, 100, ""); slices.Contains(again, first[holder]) {
		t.Error("a host marked down is listed from a cached ranking")
	}
	r.Set(peers[:1])
	if alone, holders := r.Lenders(m, 100, ""); holders != 0 {
		t.Errorf("with no other host, Lenders returned %v, want no holders", alone)
	}
}
