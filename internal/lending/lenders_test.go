package lending

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
)

// TestLendersAreKept guards against the cost of a list of lenders coming back: it was made anew at
// each look at an endpoint, with an entry for each host of the zone.
func TestLendersAreKept(t *testing.T) {
	var peers []Peer
	for i := range 300 {
		peers = append(peers, Peer{Name: fmt.Sprintf("h-%d", i), Zone: "z", Address: fmt.Sprintf("a-%d", i), Weight: 0.2})
	}
	now := time.Unix(100, 0)
	r := &Ring{Self: "h-0", Zone: "z", Now: func() time.Time { return now }}
	r.Set(peers)
	m := replicaset.Member{ID: "m", Zone: "z"}
	list, _ := r.Lenders(m, 9, "")
	if len(list) != maxListed {
		t.Errorf("%d of 300 hosts are listed, want %d", len(list), maxListed)
	}
	look := func() { r.Lenders(m, 9, "") }
	if n := testing.AllocsPerRun(100, look); n != 0 {
		t.Errorf("%.0f allocations for a cached list, want none", n)
	}
	// A link that opens reports its host as up, and the store's rows may repeat.
	r.MarkUp("a-1")
	r.Set(peers)
	if n := testing.AllocsPerRun(1, look); n != 0 {
		t.Errorf("%.0f allocations although nothing has changed, want none", n)
	}
}

// TestKeptLendersFollowHosts guards against a list that is kept after the hosts of a zone have
// changed, or after one of them went down, was reached again or is due for another try.
func TestKeptLendersFollowHosts(t *testing.T) {
	now := time.Unix(100, 0)
	all := make([]Peer, 40)
	for i := range all {
		all[i] = Peer{Name: fmt.Sprintf("h-%d", i), Zone: fmt.Sprintf("z-%d", i%2), Address: fmt.Sprintf("a-%d", i), Weight: 0.1 + float64((i+2)%3)}
	}
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		r := &Ring{Self: "h-0", Zone: "z-0", Now: func() time.Time { return now }}
		for step := range 200 {
			p := all[rnd.IntN(len(all))]
			switch rnd.IntN(5) {
			case 0:
				r.Set(slices.DeleteFunc(slices.Clone(all), func(o Peer) bool { return o.Name != "h-0" && rnd.IntN(4) == 0 }))
			case 1:
				r.Set(slices.DeleteFunc(slices.Clone(r.peers), func(o Peer) bool { return o == p && p.Name != "h-0" }))
			case 2:
				r.MarkDown(p.Address)
			case 3:
				r.MarkUp(p.Address)
			case 4:
				now = now.Add(time.Duration(rnd.IntN(2000)) * time.Millisecond)
			}
			fresh := &Ring{Self: r.Self, Zone: r.Zone, Now: r.Now, down: maps.Clone(r.down)}
			fresh.Set(r.peers)
			for _, zone := range []string{"z-0", "z-1", "nowhere"} {
				m := replicaset.Member{ID: replicaset.EndpointID(fmt.Sprint("m", seed)), Zone: zone}
				heldUnasked := fresh.Holds(m, 9)
				got, holders := r.Lenders(m, 9, "")
				want, wantHolders := fresh.Lenders(m, 9, "")
				if !slices.Equal(got, want) || holders != wantHolders {
					t.Fatalf("seed %d, step %d, %s: the kept list is %v (%d), want %v (%d)", seed, step, zone, got, holders, want, wantHolders)
				}
				if holds := slices.Contains(got[:holders], ""); r.Holds(m, 9) != holds || heldUnasked != holds {
					t.Fatalf("seed %d, step %d, %s: Holds is %t before and %t after the list %v", seed, step, zone, heldUnasked, r.Holds(m, 9), got)
				}
			}
		}
	}
}
