package lending

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
)

// maxListed is how many hosts a list of lenders has. A call is sent to the first two at most, and
// the rank of a host matters for failover up to the eighth.
const maxListed = 16

// lenderList is the list of lenders of one endpoint. It is valid until the list of hosts changes
// or a host is marked down or up.
type lenderList struct {
	// orders has the list, and the same with the two holders exchanged. order is the one
	// that this host uses.
	orders  [2][]string
	order   int
	holders int
	// until is when a host that is left out because it is down is listed again, zero if
	// none is.
	until time.Time
}

// lenderList returns the cached list of lenders of a ranking, or makes it.
func (r *Ring) lenderList(k rankingKey) *lenderList {
	l, ok := r.lenders[k]
	if ok && (l.until.IsZero() || r.Now().Before(l.until)) {
		return l
	}
	l = r.newLenderList(k)
	if r.lenders == nil {
		r.lenders = make(map[rankingKey]*lenderList)
	}
	r.lenders[k] = l
	return l
}

func (r *Ring) newLenderList(k rankingKey) *lenderList {
	now := r.Now()
	l := &lenderList{}
	var up []string
	for _, p := range r.ranking(k) {
		if len(up) == maxListed {
			break
		}
		until := r.down[p.Address].until
		switch {
		case p.Name == r.Self:
			up = append(up, "")
		case !now.Before(until):
			up = append(up, p.Address)
		case l.until.IsZero() || until.Before(l.until):
			l.until = until
		}
	}
	l.holders = min(holdersPerEndpoint, len(up))
	l.orders = [2][]string{up, up}
	if l.holders < 2 {
		return l
	}
	l.orders[1] = slices.Clone(up)
	l.orders[1][0], l.orders[1][1] = up[1], up[0]
	if up[0] == "" {
		return l
	}
	if up[1] == "" || xxhash.Sum64String(r.Self+string(k.key))%2 == 1 {
		l.order = 1
	}
	return l
}

// dropRankings drops the rankings that a new list of hosts changes. A host that joins or leaves
// changes only the rankings of its zone, and those across zones.
func (r *Ring) dropRankings(next []Peer) {
	before, after := r.byZone, peersByZone(next)
	r.byZone = after
	maps.DeleteFunc(r.rankings, func(k rankingKey, _ []Peer) bool {
		return k.zone == "" || len(before[k.zone]) == 0 || !slices.Equal(before[k.zone], after[k.zone])
	})
}

func peersByZone(peers []Peer) map[string][]Peer {
	zones := make(map[string][]Peer)
	for _, p := range peers {
		zones[p.Zone] = append(zones[p.Zone], p)
	}
	return zones
}

// Holds reports whether this host is one of the holders that Lenders returns. For an endpoint
// that Lenders is not asked about, it ranks no hosts: it stops at the second host that is up and
// ranks before this one.
func (r *Ring) Holds(m replicaset.Member, maxConnections int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if maxConnections == 0 || len(r.peers) < 2 {
		return false
	}
	k := rankingKey{zone: m.Zone, key: m.ID}
	if _, ok := r.lenders[k]; ok || m.Zone == "" {
		l := r.lenderList(k)
		return slices.Contains(l.orders[0][:l.holders], "")
	}
	peers := r.byZone[m.Zone]
	if len(peers) == 0 {
		peers = r.peers
	}
	self := slices.IndexFunc(peers, func(p Peer) bool { return p.Name == r.Self })
	if self < 0 {
		return false
	}
	now, own, before := r.Now(), score(peers[self], m.ID), 0
	for i, p := range peers {
		// Hosts of equal score rank in the order of the list.
		if s := score(p, m.ID); i == self || s < own || s == own && i > self || now.Before(r.down[p.Address].until) {
			continue
		}
		if before++; before == holdersPerEndpoint {
			return false
		}
	}
	return true
}
