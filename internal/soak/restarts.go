package soak

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"
)

const (
	// maxRestartGap is the longest pause between two hosts of a rolling restart.
	maxRestartGap = 1500 * time.Millisecond
	// maxOverlappingRestarts is how many rolling restarts a series has at most.
	maxOverlappingRestarts = 4
	// maxWork and meanWork bound how long endpoints work at a statement in this plan.
	meanWork, maxWork = 12 * time.Millisecond, 250 * time.Millisecond
	// restartStatementTimeout is configured for all databases with every second seed of this plan:
	// statements may still wait when the grace period of a host ends.
	restartStatementTimeout = 2500 * time.Millisecond
	// limitMargin is how long before its time limit a statement may end because of it: hosts keep
	// 20 ms for the answer to the caller, and as much for that to a borrowing host.
	limitMargin = 50 * time.Millisecond
)

// RestartPlan derives the faults of a run from its seed: series of rolling restarts that overlap,
// with reloads and changes of the configuration between the signals. All of it is planned work.
func RestartPlan(seed uint64, length time.Duration, hosts int) []Fault {
	r := rand.New(rand.NewPCG(seed, 9))
	var plan []Fault
	add := func(kind string, at time.Duration, host int) {
		if at < length {
			plan = append(plan, Fault{Kind: kind, AtMS: at.Milliseconds(), Host: host, Group: r.IntN(groups)})
		}
	}
	for at := meanFaultInterval; at < length; {
		gap := 100*time.Millisecond + time.Duration(r.Int64N(int64(maxRestartGap)))
		for range 1 + r.IntN(maxOverlappingRestarts) {
			begin := at + time.Duration(r.Int64N(int64(time.Second)))
			for i, host := range r.Perm(hosts) {
				add("host_stopped", begin+time.Duration(i)*gap, host)
			}
		}
		end := at + time.Duration(hosts)*gap
		for ; at < end; at += time.Duration(r.ExpFloat64() * float64(meanFaultInterval)) {
			add([]string{"host_reloads", "configuration_changes"}[r.IntN(2)], at, r.IntN(hosts))
		}
		at += time.Duration(r.Int64N(int64(3 * time.Second)))
	}
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].AtMS < plan[j].AtMS })
	return plan
}

// workTime returns a function that draws how long a statement takes. Most are short, some far longer.
func workTime(seed uint64) func() time.Duration {
	r := rand.New(rand.NewPCG(seed, 10))
	var mu sync.Mutex
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return min(time.Duration(r.ExpFloat64()*r.ExpFloat64()*float64(meanWork)), maxWork)
	}
}

func (w *world) statementTimeout() time.Duration {
	if w.opt.Plan == PlanRestarts && w.opt.Seed%2 == 0 {
		return restartStatementTimeout
	}
	return statementTimeout
}

// provesOutcome reports whether hosts have to know of each write whether it is kept, unless its time
// limit passes while the endpoint works: there are no faults, or planned restarts only.
func (w *world) provesOutcome() bool {
	return w.opt.Plan == PlanRestarts || w.opt.Plan == PlanCalm
}
