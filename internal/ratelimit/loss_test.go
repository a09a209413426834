package ratelimit

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// lossRun lets an account use 40% of its limit on some of 80 hosts for 12 s, and then starts the faults.
func lossRun(seed int64, l Limit, hosts int, faults ...fault) (m *model, before int) {
	m = newModel(seed, 80, l, DefaultBounds())
	m.demand = func(_ time.Duration, host int) float64 {
		if host < 10 || host >= 10+hosts {
			return 0
		}
		return 0.4 * l.Rate / float64(hosts)
	}
	for _, h := range m.hosts {
		h.debt = []float64{m.rng.Float64()}
	}
	m.run(12 * time.Second)
	before = m.sent
	m.waits = nil
	clear(m.refused)
	m.faults = faults
	return m, before
}

// TestLossOfGrantingHost guards against accounts that are not served, or only after long waits, from the loss of the
// granting host, while the store is down, until the next one grants.
func TestLossOfGrantingHost(t *testing.T) {
	tests := []struct {
		limit Limit
		hosts int
		// least is the least part of the usual use that must be served in the first 5.5 s, gap that until the next
		// host grants.
		least, gap float64
	}{
		{Limit{296, 296}, 60, 0.9, 0.9},
		{Limit{80, 80}, 20, 0.9, 0.9},
		{Limit{20, 20}, 10, 0.9, 0.9},
		{Limit{5, 5}, 5, 0.9, 0.85},
		{Limit{5, 5}, 20, 0.8, 0.7},
	}
	for _, tc := range tests {
		t.Run(fmt.Sprintf("%v/%d", tc.limit.Rate, tc.hosts), func(t *testing.T) {
			const at = 12 * time.Second
			var early, served float64
			var length time.Duration
			var waits []time.Duration
			refused := 0
			// A single run has as few as 18 operations.
			const runs = 10
			for seed := range int64(runs) {
				m, before := lossRun(11+seed, tc.limit, tc.hosts,
					fault{kind: crash, host: -1, at: at, time: time.Hour}, fault{kind: storeDown, at: at, time: 3600 * time.Millisecond})
				epoch := m.row.epoch
				m.run(at + 5500*time.Millisecond)
				early += float64(m.sent-before) / (0.4 * tc.limit.Rate * 5.5) / runs
				for m.row.epoch == epoch && m.now < at+20*time.Second {
					m.run(m.now + modelStep)
				}
				length = max(length, m.now-at)
				served += float64(m.sent-before) / (0.4 * tc.limit.Rate * (m.now - at).Seconds()) / runs
				waits = append(waits, m.waits...)
				refused += m.refused["unavailable"] + m.refused["exceeded"]
				m.run(m.now + 40*time.Second)
				if err := m.check(); err != nil {
					t.Error(err)
				}
			}
			slices.Sort(waits)
			median, longest := waits[len(waits)/2], waits[len(waits)-1]
			t.Logf("next grant after %v, served %.2f, at first %.2f, median wait %v, longest %v, refused %d",
				length, served, early, median, longest, refused)
			if length > leaseTime+time.Second || early < tc.least || served < tc.gap || median > patience || longest > silenceLimit+patience/2 {
				t.Errorf("served %.2f of the operations in %v, median wait %v, longest %v", served, length, median, longest)
			}
		})
	}
}

// TestRestartOfAllHosts guards against accounts that wait for their first token when all hosts have restarted.
func TestRestartOfAllHosts(t *testing.T) {
	for _, l := range []Limit{{296, 296}, {20, 20}, {5, 5}} {
		const at = 12 * time.Second
		m, before := lossRun(11, l, 20, fault{kind: restartAll, at: at})
		m.run(at + 5*time.Second)
		part := float64(m.sent-before) / (0.4 * l.Rate * 5)
		t.Logf("%v: served %.2f, longest wait %v, refused %v", l, part, slices.Max(m.waits), m.refused)
		if len(m.refused) > 0 || slices.Max(m.waits) > restartTime+patience {
			t.Errorf("%v: served %.2f, longest wait %v, refused %v", l, part, slices.Max(m.waits), m.refused)
		}
		m.run(at + 40*time.Second)
		if err := m.check(); err != nil {
			t.Error(err)
		}
	}
}

// TestTakeoverWithAllHostsInTouch guards against a part of the rate that stays held back after a takeover although all
// hosts have accepted the new epoch.
func TestTakeoverWithAllHostsInTouch(t *testing.T) {
	for _, l := range []Limit{{296, 296}, {41, 41}, {5, 5}} {
		const at = 12 * time.Second
		var part float64
		for seed := range int64(10) {
			m, _ := lossRun(11+seed, l, 20, fault{kind: restart, host: -1, at: at})
			usual := m.demand
			m.demand = func(now time.Duration, host int) float64 {
				// 70% and 10% of the limit in turns.
				if (now-at-time.Second)/(5*time.Second)%2 == 0 {
					return usual(now, host) * 0.7 / 0.4
				}
				return usual(now, host) * 0.1 / 0.4
			}
			m.run(at + time.Second)
			// The part of the rate that is held back matters once the bucket is empty, as after a burst.
			for _, b := range m.hosts[m.row.holder].granter.buckets {
				b.settle(m.now+m.hosts[m.row.holder].offset, m.hosts[m.row.holder].granter.term)
				b.level, b.top = min(b.level, 0), min(b.top, 0)
			}
			before := m.sent
			m.run(at + 21*time.Second)
			part += float64(m.sent-before) / (0.4 * l.Rate * 20) / 10
			if err := m.check(); err != nil {
				t.Error(err)
			}
		}
		t.Logf("%v: served %.3f of the operations", l, part)
		if part < 0.95 {
			t.Errorf("%v: served %.3f of the operations", l, part)
		}
	}
}

// TestTakeoverWithCutHosts guards against operations beyond the bounds, and against a rate that is held back for longer
// than needed, when hosts that are cut off use up their fallback rates of the former epoch after a takeover.
func TestTakeoverWithCutHosts(t *testing.T) {
	for _, l := range []Limit{{296, 296}, {41, 41}, {5, 5}} {
		for _, cuts := range []int{1, 4, 12} {
			const at = 12 * time.Second
			faults := []fault{{kind: restart, host: -1, at: at + time.Second}}
			for i := range cuts {
				faults = append(faults, fault{kind: cut, host: 10 + i, at: at, time: time.Minute})
			}
			m, _ := lossRun(11, l, 20, faults...)
			m.demand = func(_ time.Duration, host int) float64 {
				if host < 10 || host >= 30 {
					return 0
				}
				return l.Rate / 5
			}
			generated := 0
			for m.now < at+20*time.Second {
				m.run(m.now + time.Second)
				if m.now == at+3*time.Second {
					g := m.hosts[m.row.holder]
					if got, want := g.granter.term.part(m.now+g.offset), min(perHostPart*float64(cuts), fallbackPart); got != want {
						t.Errorf("%v: %v held back for %d hosts, want %v", l, got, cuts, want)
					}
				}
			}
			for i := range cuts {
				generated += int(m.hosts[10+i].spender.stats.Fallback)
			}
			if generated < cuts/2 {
				t.Errorf("%v: %d operations under fallback rates on %d hosts", l, generated, cuts)
			}
			if err := m.check(); err != nil {
				t.Errorf("%v: %d hosts: %v", l, cuts, err)
			}
		}
	}
}
