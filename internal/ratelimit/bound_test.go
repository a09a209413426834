package ratelimit

import (
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// randomRun returns the check of a run with the given faults.
func randomRun(seed int64, faults []uint32) error {
	rng := rand.New(rand.NewSource(seed))
	l := []Limit{{5, 5}, {50, 50}, {20, 100}, {80, 10}, {296, 296}, {1, 30}}[rng.Intn(6)]
	m := newModel(seed, 2+rng.Intn(6), l)
	hosts := float64(len(m.hosts))
	load, period := []float64{0.9, 2, 5}[rng.Intn(3)], time.Duration(1+rng.Intn(8))*time.Second
	m.sendLate = rng.Intn(2) == 0
	m.demand = func(now time.Duration, host int) float64 {
		if period > 4*time.Second && (now/period+time.Duration(host))%3 == 0 {
			return 0
		}
		return load * l.Rate / hosts
	}
	for _, n := range faults {
		m.faults = append(m.faults, randomFault(n, len(m.hosts), l))
	}
	m.run(45 * time.Second)
	return m.check()
}

// TestBoundUnderFaults guards against operations beyond the bounds in any window, under lost, late, repeated and
// reordered messages, cut links, frozen and restarted hosts, a new granting host, a store outage and changed limits.
func TestBoundUnderFaults(t *testing.T) {
	params := gopter.DefaultTestParameters()
	params.MinSuccessfulTests = 400
	if testing.Short() {
		params.MinSuccessfulTests = 50
	}
	params.MaxSize = 12
	props := gopter.NewProperties(params)
	props.Property("operations in every window are bounded", prop.ForAll(func(seed int64, faults []uint32) string {
		if err := randomRun(seed, faults); err != nil {
			return err.Error()
		}
		return ""
	}, gen.Int64(), gen.SliceOf(gen.UInt32())))
	props.TestingRun(t)
}
