package lending

import (
	"math"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
)

// downTime is how long a host that did not answer is passed over.
const downTime = 1500 * time.Millisecond

// Peer is an entry host that may lend.
type Peer struct {
	Name, Zone, Address string
	// Weight is the host's size, as a part of a core.
	Weight float64
}

// Ring chooses who holds the connections to an endpoint.
type Ring struct {
	Self, Zone string
	Now        func() time.Time

	mu    sync.Mutex
	peers []Peer
	zones int
	hosts int
	down  map[string]time.Time
}

// Set replaces the known hosts.
func (r *Ring) Set(peers []Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	zones := make(map[string]bool)
	r.peers = r.peers[:0]
	for _, p := range peers {
		zones[p.Zone] = true
		if p.Zone == r.Zone {
			r.peers = append(r.peers, p)
		}
	}
	r.zones, r.hosts = len(zones), len(peers)
}

// Down notes that a host did not answer.
func (r *Ring) Down(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down == nil {
		r.down = make(map[string]time.Time)
	}
	r.down[address] = r.Now().Add(downTime)
}

// Lenders returns how many zones share the endpoint's connections and who holds
// those of this host's zone, the first choice first; an empty address is this
// host. Zones is 0 where each host holds its own.
func (r *Ring) Lenders(id replicaset.EndpointID, maxConnections int) (addresses []string, zones int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if maxConnections == 0 || maxConnections >= r.hosts || len(r.peers) == 0 {
		return nil, 0
	}
	type rank struct {
		address string
		score   float64
	}
	now := r.Now()
	ranks := make([]rank, 0, len(r.peers))
	for _, p := range r.peers {
		address := p.Address
		if p.Name == r.Self {
			address = ""
		}
		if now.Before(r.down[address]) {
			continue
		}
		ranks = append(ranks, rank{address, score(p, id)})
	}
	sort.Slice(ranks, func(i, j int) bool { return ranks[i].score > ranks[j].score })
	for _, k := range ranks {
		addresses = append(addresses, k.address)
	}
	return addresses, r.zones
}

// score ranks a host for an endpoint; the chance to come first grows with the
// square of the host's weight.
func score(p Peer, id replicaset.EndpointID) float64 {
	h := xxhash.Sum64String(p.Name + "\x00" + string(id))
	u := (float64(h>>11) + 1) / (1<<53 + 1)
	w := max(p.Weight, 0.01)
	return -w * w / math.Log(u)
}
