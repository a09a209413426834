package lending

import (
	"math"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
)

const (
	// downTime is how long a host that did not answer is passed over, doubled up
	// to longestDown while it goes on not to answer.
	downTime    = 1500 * time.Millisecond
	longestDown = 6 * time.Second
)

// absence is a host that did not answer.
type absence struct {
	until time.Time
	last  time.Duration
}

// holdersPerEndpoint is how many hosts share an endpoint's connections.
const holdersPerEndpoint = 2

// manyHosts is from how many hosts on a few of them follow the store for the others.
const manyHosts = 16

const (
	// relaysPerRegion is how many hosts of a region follow the store for the others
	// at least, and hearersPerRelay how many others one of them serves.
	relaysPerRegion = 2
	hearersPerRelay = 64
	// spareRelays is how many further hosts are asked where those are away, and
	// maxRelays how many a host asks that has lost the store.
	spareRelays = 2
	maxRelays   = 4
	// relayKey stands for the endpoint in the ranking of relays.
	relayKey = "feed"
)

// maxDetours is how many hosts are asked for a way to an endpoint.
const maxDetours = 2

// Peer is an entry host that may lend.
type Peer struct {
	Name, Zone, Address string
	// Weight is the host's size, as a part of a core.
	Weight float64
}

// Ring chooses who holds the connections to an endpoint.
type Ring struct {
	Self string
	// Zone is this host's availability zone.
	Zone string
	// Regions tells the region of each zone; nil takes each zone for a region.
	Regions map[string]string
	Now     func() time.Time

	mu    sync.Mutex
	peers []Peer
	down  map[string]absence
	// orders are the rankings that were asked for since the hosts changed last.
	orders map[orderKey][]Peer
}

// orderKey names a ranking of the hosts of a zone, or of this host's region where
// zone is empty.
type orderKey struct {
	zone string
	key  replicaset.EndpointID
	far  bool
}

// Set replaces the known hosts.
func (r *Ring) Set(peers []Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers = append(r.peers[:0], peers...)
	r.orders = nil
}

// Down notes that a host did not answer.
func (r *Ring) Down(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down == nil {
		r.down = make(map[string]absence)
	}
	now := r.Now()
	a := r.down[address]
	if now.Before(a.until) {
		return
	}
	a.last = min(max(2*a.last, downTime), longestDown)
	a.until = now.Add(a.last)
	r.down[address] = a
}

// Up notes that a host answers.
func (r *Ring) Up(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.down, address)
}

// Lenders returns who holds the connections to an endpoint, the one that this
// host asks first at the start, and how many share them; an empty address is
// this host. Holders is 0 where each host holds its own: no other one is known, or
// the endpoint has no limit. The holders are hosts of the endpoint's zone, so that
// one pool serves all zones, and a connection is in use for the time of the work
// and not for the way from another region.
func (r *Ring) Lenders(m replicaset.Member, maxConnections int) (addresses []string, holders int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if maxConnections == 0 || len(r.peers) < 2 {
		return nil, 0
	}
	addresses = r.ranked(orderKey{zone: m.Zone, key: m.ID})
	holders = min(holdersPerEndpoint, len(addresses))
	if holders > 1 && addresses[0] != "" && (addresses[1] == "" || xxhash.Sum64String(r.Self+string(m.ID))%2 == 1) {
		addresses[0], addresses[1] = addresses[1], addresses[0]
	}
	return addresses, holders
}

// ranked returns the addresses of the hosts that are not down in the order of a
// ranking; an empty one is this host.
func (r *Ring) ranked(k orderKey) []string {
	now := r.Now()
	peers := r.order(k)
	addresses := make([]string, 0, len(peers))
	for _, p := range peers {
		if p.Name == r.Self {
			addresses = append(addresses, "")
		} else if !now.Before(r.down[p.Address].until) {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

// order returns the hosts of a ranking, the highest score first. Each endpoint's is
// asked for several times a second, and stays until the hosts change.
func (r *Ring) order(k orderKey) []Peer {
	if order, ok := r.orders[k]; ok {
		return order
	}
	var peers []Peer
	if near, far := r.byRegion(); k.zone != "" {
		peers = r.candidates(k.zone)
	} else if peers = near; k.far {
		peers = far
	}
	order := slices.Clone(peers)
	scores := make(map[string]float64, len(order))
	for _, p := range order {
		scores[p.Name] = score(p, k.key)
	}
	sort.SliceStable(order, func(i, j int) bool { return scores[order[i].Name] > scores[order[j].Name] })
	if r.orders == nil {
		r.orders = make(map[orderKey][]Peer)
	}
	r.orders[k] = order
	return order
}

// Relays returns the hosts that this one hears of the store from, the one that it
// asks first at the start: hosts of its region, the first of which are meant to serve
// the others. It returns none where this host is one of them, or where there are
// few hosts. A host that has lost the store hears from any other one.
func (r *Ring) Relays(lost bool) (addresses []string, first int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	addresses = r.ranked(orderKey{key: relayKey})
	if lost {
		addresses = slices.DeleteFunc(append(addresses, r.ranked(orderKey{key: relayKey, far: true})...), isSelf)
		n := min(len(addresses), maxRelays)
		return addresses[:n], n
	}
	near := len(r.order(orderKey{key: relayKey}))
	first = min(max(relaysPerRegion, (near+hearersPerRelay-1)/hearersPerRelay), len(addresses))
	if len(r.peers) < manyHosts || first == 0 || slices.ContainsFunc(addresses[:first], isSelf) {
		return nil, 0
	}
	turn := int(xxhash.Sum64String(r.Self+relayKey) % uint64(first))
	order := append(slices.Clone(addresses[turn:first]), addresses[:turn]...)
	spare := slices.DeleteFunc(addresses[first:], isSelf)
	return append(order, spare[:min(len(spare), spareRelays)]...), first
}

// isSelf tells the address that stands for this host.
func isSelf(address string) bool { return address == "" }

// Rank returns how many hosts come before this one for an endpoint: those that
// hold its connections first. It reports false where each host holds its own.
func (r *Ring) Rank(m replicaset.Member, maxConnections int) (rank int, ok bool) {
	addresses, holders := r.Lenders(m, maxConnections)
	if holders == 0 {
		return 0, false
	}
	if i := slices.Index(addresses, ""); i >= 0 {
		return i, true
	}
	return math.MaxInt, true
}

// Detours returns hosts that may reach an endpoint which this one does not: of
// its zone first, then others.
func (r *Ring) Detours(m replicaset.Member) (addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	for _, near := range []bool{true, false} {
		for _, p := range r.peers {
			if (p.Zone == m.Zone) == near && p.Name != r.Self && !now.Before(r.down[p.Address].until) {
				addresses = append(addresses, p.Address)
			}
		}
	}
	return addresses[:min(len(addresses), maxDetours)]
}

// candidates are the hosts of a zone, or all where it has none.
func (r *Ring) candidates(zone string) []Peer {
	var out []Peer
	for _, p := range r.peers {
		if p.Zone == zone {
			out = append(out, p)
		}
	}
	if out == nil {
		return r.peers
	}
	return out
}

// byRegion are the hosts of this host's region, or of its zone where no regions are
// known, and the others.
func (r *Ring) byRegion() (near, far []Peer) {
	for _, p := range r.peers {
		if p.Zone == r.Zone || r.Regions[r.Zone] != "" && r.Regions[p.Zone] == r.Regions[r.Zone] {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	return near, far
}

// score ranks a host for an endpoint; the chance to come first grows with the
// square of the host's weight.
func score(p Peer, id replicaset.EndpointID) float64 {
	h := xxhash.Sum64String(p.Name + "\x00" + string(id))
	u := (float64(h>>11) + 1) / (1<<53 + 1)
	w := max(p.Weight, 0.01)
	return -w * w / math.Log(u)
}
