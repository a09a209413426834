package ratelimit

import (
	"math"
	"math/rand"
	"testing"
	"time"
)

// TestPlan guards against a plan that does not keep the bounds, or that gives an account less than its limit.
func TestPlan(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for range 10000 {
		l := Limit{Rate: math.Exp(rng.Float64()*9 - 2), Burst: math.Exp(rng.Float64() * 7)}
		b := DefaultBounds()
		p := b.plan(l)
		most := p.refill*(b.Window+p.validity).Seconds() + l.depth() + p.start + float64(p.hosts) + 0.05*l.Rate
		if most > b.Allowed(l)+1e-6 && p.validity > minValidity {
			t.Errorf("%v: %+v allows %v in a window, want %v at most", l, p, most, b.Allowed(l))
		}
		if p.refill < l.Rate || p.validity < minValidity || p.validity > maxValidity || p.start < 0 || p.start > l.depth() {
			t.Errorf("%v: %+v", l, p)
		}
	}
	tests := []struct {
		limit    Limit
		validity time.Duration
		hosts    int
		// refill and start are lower limits.
		refill, start float64
	}{
		{Limit{296, 296}, 400 * time.Millisecond, 59, 296, 5},
		{Limit{80, 80}, 400 * time.Millisecond, 27, 80, 5},
		{Limit{20, 20}, 400 * time.Millisecond, 18, 20, 5},
		{Limit{5, 5}, 400 * time.Millisecond, 15, 5.1, 5},
		{Limit{1, 1}, 400 * time.Millisecond, 19, 1, 1},
		{Limit{0, 0}, time.Second, 0, 0, 0},
	}
	for _, tc := range tests {
		p := DefaultBounds().plan(tc.limit)
		t.Logf("%v: %+v", tc.limit, p)
		if p.validity != tc.validity || p.hosts != tc.hosts || p.refill < tc.refill || p.start < tc.start {
			t.Errorf("%v: %+v, want %+v", tc.limit, p, tc)
		}
	}
}
