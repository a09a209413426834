package lending

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
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
	if l.holders < 2 || up[0] == "" {
		return l
	}
	l.orders[1] = slices.Clone(up)
	l.orders[1][0], l.orders[1][1] = up[1], up[0]
	if up[1] == "" || xxhash.Sum64String(r.Self+string(k.key))%2 == 1 {
		l.order = 1
	}
	return l
}

// dropRankings drops the rankings that a new list of hosts changes. A host that joins or leaves
// changes only the rankings of its zone, and those across zones.
func (r *Ring) dropRankings(next []Peer) {
	before, after := peersByZone(r.peers), peersByZone(next)
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
