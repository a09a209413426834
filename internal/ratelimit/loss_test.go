package ratelimit

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// lossRun lets an account use 40% of its limit on some of 80 hosts for 12 s, and then starts the faults.
func lossRun(l Limit, hosts int, faults ...fault) (m *model, before int) {
	m = newModel(11, 80, l, DefaultBounds())
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
		// least is the least part of the usual use that must be served until the next host grants.
		least float64
	}{
		{Limit{296, 296}, 60, 0.9},
		{Limit{80, 80}, 20, 0.9},
		{Limit{20, 20}, 10, 0.9},
		{Limit{5, 5}, 5, 0.9},
		{Limit{5, 5}, 20, 0.8},
	}
	for _, tc := range tests {
		t.Run(fmt.Sprintf("%v/%d", tc.limit.Rate, tc.hosts), func(t *testing.T) {
			const at = 12 * time.Second
			m, before := lossRun(tc.limit, tc.hosts,
				fault{kind: crash, host: -1, at: at, time: time.Hour}, fault{kind: storeDown, at: at, time: 3600 * time.Millisecond})
			epoch := m.row.epoch
			for m.row.epoch == epoch && m.now < at+20*time.Second {
				m.run(m.now + modelStep)
			}
			length := m.now - at
			served := float64(m.sent-before) / (0.4 * tc.limit.Rate * length.Seconds())
			slices.Sort(m.waits)
			median, longest := m.waits[len(m.waits)/2], m.waits[len(m.waits)-1]
			t.Logf("next grant after %v, served %.2f, median wait %v, longest %v, refused %v",
				length, served, median, longest, m.refused)
			if length > leaseTime+time.Second || served < tc.least || median > patience || longest > silenceLimit+patience/2 {
				t.Errorf("served %.2f of the operations in %v, median wait %v, longest %v", served, length, median, longest)
			}
			m.run(m.now + 40*time.Second)
			if err := m.check(); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestRestartOfAllHosts guards against accounts that wait for their first token when all hosts have restarted.
func TestRestartOfAllHosts(t *testing.T) {
	for _, l := range []Limit{{296, 296}, {20, 20}, {5, 5}} {
		const at = 12 * time.Second
		m, before := lossRun(l, 20, fault{kind: restartAll, at: at})
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
