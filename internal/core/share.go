package core

import "slices"

// Share is the part of a limited resource that one entry host run may use.
type Share struct {
	Run HostID `json:"run"`
	// N is the number of units that the run may use.
	N int `json:"n"`
	// Demand is the number of units that the run could use.
	Demand int `json:"wants"`
}

// Shares is the division of a resource among entry host runs. The sum of N never
// exceeds Total.
type Shares struct {
	Total   int     `json:"total"`
	Holders []Share `json:"holders"`
}

// Free returns the number of unassigned units.
func (s Shares) Free() int {
	n := s.Total
	for _, h := range s.Holders {
		n -= h.N
	}
	return n
}

// Of returns the share of a host run, if it has one.
func (s Shares) Of(run HostID) (Share, bool) {
	for _, h := range s.Holders {
		if h.Run == run {
			return h, true
		}
	}
	return Share{}, false
}

// WithoutRun returns the shares without that of run.
func (s Shares) WithoutRun(run HostID) Shares {
	out := Shares{Total: s.Total}
	for _, h := range s.Holders {
		if h.Run != run {
			out.Holders = append(out.Holders, h)
		}
	}
	return out
}

// withShare returns the shares with next in place of the run's current share.
func (s Shares) withShare(next Share) Shares {
	out := s.WithoutRun(next.Run)
	out.Holders = append(out.Holders, next)
	slices.SortFunc(out.Holders, func(a, b Share) int {
		if a.Run < b.Run {
			return -1
		}
		return 1
	})
	return out
}

// fairShare returns an equal part of the total, at least 1.
func (s Shares) fairShare(hosts int) int {
	return max(1, s.Total/max(1, hosts))
}

// Rebalance returns the shares after a run adjusts its own. demand is the number of
// units that the run could use, held the number that it has in use, and hosts the
// number of live entry hosts.
//
// A run takes free units up to its demand, but leaves one for each host without
// any, and gives back units above its demand. When no units are free, it also gives
// up those above its fair share if another run is below its own and needs more. It
// never gives up units in use.
func (s Shares) Rebalance(run HostID, demand, held, hosts int) Shares {
	own, _ := s.Of(run)
	fair := s.fairShare(hosts)
	wanted := min(max(demand, 1), s.Total)
	next := Share{Run: run, N: own.N, Demand: wanted}
	// Keep up to half the fair share in reserve if no other run needs it, so that
	// there are units to lend to other hosts while the table of shares is down.
	target := wanted
	if !s.hasUnmetDemand(run) {
		target = max(wanted, fair/2)
	}
	switch {
	case target > own.N:
		next.N = own.N + min(target-own.N, s.available(own, hosts))
	case target < own.N:
		next.N = max(target, held)
	}
	if next.N > fair && s.hasStarvedRun(run, fair) {
		next.N = max(fair, held)
	}
	if _, ok := s.Of(run); ok && next == own {
		return s
	}
	return s.withShare(next)
}

// available returns how many units a run may take: the free ones, minus one for each
// other live host that has none yet.
func (s Shares) available(own Share, hosts int) int {
	hostsWithoutUnits := hosts
	for _, h := range s.Holders {
		if h.N > 0 {
			hostsWithoutUnits--
		}
	}
	if own.N == 0 {
		hostsWithoutUnits--
		return min(max(1, s.Free()-max(0, hostsWithoutUnits)), s.Free())
	}
	return max(0, s.Free()-max(0, hostsWithoutUnits))
}

// hasUnmetDemand reports whether another run's demand exceeds its share while no
// units are free.
func (s Shares) hasUnmetDemand(run HostID) bool {
	if s.Free() > 0 {
		return false
	}
	for _, h := range s.Holders {
		if h.Run != run && h.Demand > h.N {
			return true
		}
	}
	return false
}

// hasStarvedRun reports whether another run has less than its fair share and less
// than its demand while no units are free.
func (s Shares) hasStarvedRun(run HostID, fair int) bool {
	if s.Free() > 0 {
		return false
	}
	for _, h := range s.Holders {
		if h.Run != run && h.N < fair && h.Demand > h.N {
			return true
		}
	}
	return false
}
