package core

import "slices"

// Share is how many units of a scarce resource one host run may hold.
type Share struct {
	Run HostID `json:"run"`
	N   int    `json:"n"`
	// Wants is how many the host could use.
	Wants int `json:"wants"`
}

// Shares is how a resource is divided. The sum of N never exceeds Total.
type Shares struct {
	Total   int     `json:"total"`
	Holders []Share `json:"holders"`
}

// Free returns how many units no host holds.
func (s Shares) Free() int {
	n := s.Total
	for _, h := range s.Holders {
		n -= h.N
	}
	return n
}

// Of returns a host run's share.
func (s Shares) Of(run HostID) (Share, bool) {
	for _, h := range s.Holders {
		if h.Run == run {
			return h, true
		}
	}
	return Share{}, false
}

// Without returns the shares after a run gave all back.
func (s Shares) Without(run HostID) Shares {
	out := Shares{Total: s.Total}
	for _, h := range s.Holders {
		if h.Run != run {
			out.Holders = append(out.Holders, h)
		}
	}
	return out
}

// with returns the shares after a run's share was set.
func (s Shares) with(next Share) Shares {
	out := s.Without(next.Run)
	out.Holders = append(out.Holders, next)
	slices.SortFunc(out.Holders, func(a, b Share) int {
		if a.Run < b.Run {
			return -1
		}
		return 1
	})
	return out
}

// fair is an equal part of the total, at least 1.
func (s Shares) fair(hosts int) int {
	return max(1, s.Total/max(1, hosts))
}

// Rebalance returns the shares as a run should have them that could use demand
// units now and holds held of them. A run takes what is free up to its demand,
// always leaving one unit for each run that has none; beyond its fair part it
// gives way to runs that want more than they have. It never gives up units that
// it still holds.
func (s Shares) Rebalance(run HostID, demand, held, hosts int) Shares {
	own, _ := s.Of(run)
	fair := s.fair(hosts)
	want := min(max(demand, 1), s.Total)
	next := Share{Run: run, N: own.N, Wants: want}
	// What nobody wants is kept at hand up to half the fair part, so that
	// there is something to lend while the table is down.
	target := want
	if !s.wanted(run) {
		target = max(want, fair/2)
	}
	switch {
	case target > own.N:
		next.N = own.N + min(target-own.N, s.spare(own, hosts))
	case target < own.N:
		next.N = max(target, held)
	}
	if next.N > fair && s.starved(run, fair) {
		next.N = max(fair, held)
	}
	if _, ok := s.Of(run); ok && next == own {
		return s
	}
	return s.with(next)
}

// spare is what a run may take: all that is free, less one unit for each live
// host that holds nothing yet.
func (s Shares) spare(own Share, hosts int) int {
	without := hosts
	for _, h := range s.Holders {
		if h.N > 0 {
			without--
		}
	}
	if own.N == 0 {
		without--
		return min(max(1, s.Free()-max(0, without)), s.Free())
	}
	return max(0, s.Free()-max(0, without))
}

// wanted reports whether another run wants more than it has and nothing is
// free for it.
func (s Shares) wanted(run HostID) bool {
	if s.Free() > 0 {
		return false
	}
	for _, h := range s.Holders {
		if h.Run != run && h.Wants > h.N {
			return true
		}
	}
	return false
}

// starved reports whether another run has less than its fair part and wants
// more than it has, with nothing free for it.
func (s Shares) starved(run HostID, fair int) bool {
	if s.Free() > 0 {
		return false
	}
	for _, h := range s.Holders {
		if h.Run != run && h.N < fair && h.Wants > h.N {
			return true
		}
	}
	return false
}
