package lending

import (
	"math"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// minDownTime is how long a host that did not answer is skipped. The time
	// doubles with each further failure, up to maxDownTime.
	minDownTime = 1500 * time.Millisecond
	maxDownTime = 6 * time.Second
)

// downState is the backoff state of a host that did not answer.
type downState struct {
	until   time.Time
	backoff time.Duration
}

// holdersPerEndpoint is how many hosts hold connections to one endpoint.
const holdersPerEndpoint = 2

// minHostsForRelays is the fleet size from which a few hosts follow the store and
// relay its changes to the others.
const minHostsForRelays = 16

const (
	// relaysPerRegion is the minimum number of relays in a region.
	relaysPerRegion = 2
	// subscribersPerRelay is the number of hosts of a region per relay.
	subscribersPerRelay = 64
	// spareRelays is how many hosts are listed after the relays of the region, for
	// use when none of the relays can be used.
	spareRelays = 2
	// maxFallbackRelays is how many hosts are listed for a host that cannot reach
	// the store.
	maxFallbackRelays = 4
	// relayKey is hashed in place of an endpoint ID when relays are ranked.
	relayKey = "feed"
)

// maxDetours is how many hosts are listed as intermediaries to an endpoint that
// this host cannot reach.
const maxDetours = 2

// Peer is an entry host that can lend connections, this host included.
type Peer struct {
	Name, Zone, Address string
	// Weight is the host's CPU share, in cores.
	Weight float64
}

// Ring ranks entry hosts: it selects the hosts that hold connections to an endpoint
// and the hosts that relay changes of the store.
type Ring struct {
	// Self is this host's name.
	Self string
	// Zone is this host's availability zone.
	Zone string
	// Regions maps zones to their regions. A zone that is not listed is a region of
	// its own.
	Regions map[string]string
	Now     func() time.Time
	// OnChange, if set, is called when this host may have become a holder: the list of
	// hosts has changed, or a host was marked down.
	OnChange func()

	mu    sync.Mutex
	peers []Peer
	// byZone has the hosts of each zone.
	byZone map[string][]Peer
	// down holds the hosts that did not answer, by address.
	down map[string]downState
	// rankings caches the rankings of the hosts in the list.
	rankings map[rankingKey][]Peer
	// lenders caches the lists that Lenders returns.
	lenders map[rankingKey]*lenderList
}

// rankingKey identifies a ranking of the hosts of a zone. If zone is empty, it is a
// ranking of the hosts of this host's region or, with otherRegions, of all others, or with
// allRegions of all hosts.
type rankingKey struct {
	zone         string
	key          replicaset.EndpointID
	otherRegions bool
	allRegions   bool
}

// Set replaces the list of hosts.
func (r *Ring) Set(peers []Peer) {
	if r.replace(peers) && r.OnChange != nil {
		r.OnChange()
	}
}

// replace replaces the list of hosts and reports whether it differs.
func (r *Ring) replace(peers []Peer) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.Equal(r.peers, peers) {
		return false
	}
	r.dropRankings(peers)
	r.peers = append(r.peers[:0], peers...)
	r.lenders = nil
	return true
}

// MarkDown marks a host that did not answer as down. It has no effect while the host is
// still being skipped for an earlier failure.
func (r *Ring) MarkDown(address string) {
	if r.skip(address) && r.OnChange != nil {
		r.OnChange()
	}
}

// skip marks a host as down and reports whether it was not before.
func (r *Ring) skip(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down == nil {
		r.down = make(map[string]downState)
	}
	now := r.Now()
	a := r.down[address]
	if now.Before(a.until) {
		return false
	}
	a.backoff = min(max(2*a.backoff, minDownTime), maxDownTime)
	a.until = now.Add(a.backoff)
	r.down[address] = a
	r.lenders = nil
	return true
}

// MarkUp clears the backoff of a host that answered.
func (r *Ring) MarkUp(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.down[address]; ok {
		delete(r.down, address)
		r.lenders = nil
	}
}

// Lenders returns the addresses of the first maxListed hosts that are up, in the order
// of the endpoint's ranking; the first holders of them hold connections to the endpoint.
// An empty address is this host. If this host is a holder, it comes first; otherwise
// a hash decides which of the two holders comes first, to spread the load. For an
// account a hash of the account always decides, so that each of its connections
// to the endpoint is held by the same host and serves all others. The caller must not
// change the list.
//
// Holders is 0 if each host opens connections of its own: no other host is known, or
// the endpoint has no connection limit. It is also 0 if no host of the ranking is up.
//
// The holders are hosts of the endpoint's zone, so that one pool serves all zones
// and a connection is occupied only while the endpoint works, not during a round
// trip to another region.
func (r *Ring) Lenders(m replicaset.Member, maxConnections int, a session.Account) (addresses []string, holders int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if maxConnections == 0 || len(r.peers) < 2 {
		return nil, 0
	}
	l := r.lenderList(rankingKey{zone: m.Zone, key: m.ID})
	order := l.order
	if a != "" && l.holders > 1 {
		order = int(xxhash.Sum64String(string(a)+string(m.ID)) % 2)
	}
	return l.orders[order], l.holders
}

// liveAddresses returns the addresses of the hosts of a ranking that are not marked
// down, in order. An empty address is this host.
func (r *Ring) liveAddresses(k rankingKey) []string {
	now := r.Now()
	peers := r.ranking(k)
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

// ranking returns the hosts of a ranking, highest score first. The result is cached
// until the hosts that it ranks change.
func (r *Ring) ranking(k rankingKey) []Peer {
	if order, ok := r.rankings[k]; ok {
		return order
	}
	var peers []Peer
	if near, far := r.splitByRegion(); k.allRegions {
		peers = r.peers
	} else if k.zone != "" {
		peers = r.hostsInZone(k.zone)
	} else if peers = near; k.otherRegions {
		peers = far
	}
	order := slices.Clone(peers)
	scores := make(map[string]float64, len(order))
	for _, p := range order {
		scores[p.Name] = score(p, k.key)
	}
	sort.SliceStable(order, func(i, j int) bool { return scores[order[i].Name] > scores[order[j].Name] })
	if r.rankings == nil {
		r.rankings = make(map[rankingKey][]Peer)
	}
	r.rankings[k] = order
	return order
}

// Relays returns the hosts that this host can receive the changes of the store from,
// in the order in which to try them. The first preferred of them are the relays of
// its region, starting with one chosen by hash to spread the load; the rest are
// spares. There are none if this host is a relay itself, or if the fleet has fewer
// than minHostsForRelays hosts.
//
// With storeLost, any other host can be used: those of this host's region come
// first, and all of them count as preferred.
func (r *Ring) Relays(storeLost bool) (addresses []string, preferred int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	addresses = r.liveAddresses(rankingKey{key: relayKey})
	if storeLost {
		addresses = slices.DeleteFunc(append(addresses, r.liveAddresses(rankingKey{key: relayKey, otherRegions: true})...), isSelf)
		n := min(len(addresses), maxFallbackRelays)
		return addresses[:n], n
	}
	near := len(r.ranking(rankingKey{key: relayKey}))
	preferred = min(max(relaysPerRegion, (near+subscribersPerRelay-1)/subscribersPerRelay), len(addresses))
	if len(r.peers) < minHostsForRelays || preferred == 0 || slices.ContainsFunc(addresses[:preferred], isSelf) {
		return nil, 0
	}
	start := int(xxhash.Sum64String(r.Self+relayKey) % uint64(preferred))
	order := append(slices.Clone(addresses[start:preferred]), addresses[:start]...)
	spare := slices.DeleteFunc(addresses[preferred:], isSelf)
	return append(order, spare[:min(len(spare), spareRelays)]...), preferred
}

// isSelf reports whether an address is that of this host.
func isSelf(address string) bool { return address == "" }

// Rank returns this host's position in the ranking of an endpoint, as Lenders
// returns it: 0 for a holder, math.MaxInt for a host that is not ranked. It reports
// false if each host opens connections of its own.
func (r *Ring) Rank(m replicaset.Member, maxConnections int) (rank int, ok bool) {
	addresses, holders := r.Lenders(m, maxConnections, "")
	if holders == 0 {
		return 0, false
	}
	if i := slices.Index(addresses, ""); i >= 0 {
		return i, true
	}
	return math.MaxInt, true
}

// grantKey is hashed in place of an endpoint ID when hosts are ranked for granting the limits
// of accounts.
const grantKey = "limits"

// GrantRank returns this host's position among the hosts that are up, in the order in which they
// take over granting the limits of accounts. It is false if this host is not listed.
func (r *Ring) GrantRank() (rank int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rank = slices.Index(r.liveAddresses(rankingKey{key: grantKey, allRegions: true}), "")
	return rank, rank >= 0
}

// Address returns the address of a host by its name. It is empty for this host.
func (r *Ring) Address(name string) (address string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if name == r.Self {
		return "", true
	}
	for _, p := range r.peers {
		if p.Name == name {
			return p.Address, true
		}
	}
	return "", false
}

// Detours returns hosts through which an endpoint may be reached that this host
// cannot reach: those of the endpoint's zone first, then others.
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

// hostsInZone returns the hosts of a zone, or all hosts if the zone has none.
func (r *Ring) hostsInZone(zone string) []Peer {
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

// splitByRegion returns the hosts of this host's region, or of its zone if the region
// is not known, and all other hosts.
func (r *Ring) splitByRegion() (near, far []Peer) {
	for _, p := range r.peers {
		if p.Zone == r.Zone || r.Regions[r.Zone] != "" && r.Regions[p.Zone] == r.Regions[r.Zone] {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	return near, far
}

// score returns the rendezvous hashing score of a host for an endpoint. The
// probability of ranking first is proportional to the square of the host's weight.
func score(p Peer, id replicaset.EndpointID) float64 {
	h := xxhash.Sum64String(p.Name + "\x00" + string(id))
	u := (float64(h>>11) + 1) / (1<<53 + 1)
	w := max(p.Weight, 0.01)
	return -w * w / math.Log(u)
}
