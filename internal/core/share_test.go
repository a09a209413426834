package core

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

func TestRebalance(t *testing.T) {
	for _, c := range []struct {
		name                string
		shares              Shares
		demand, held, hosts int
		want                int
	}{
		{"first run reserves half its fair share", Shares{Total: 40}, 0, 0, 4, 5},
		{"takes up to its demand", Shares{Total: 40}, 12, 0, 4, 12},
		{"leaves one unit for each host without any", Shares{Total: 6}, 20, 0, 4, 3},
		{"gives back units above its demand", Shares{Total: 10, Holders: []Share{{"a", 8, 8}, {"b", 2, 6}}}, 1, 1, 2, 1},
		{"keeps units in use", Shares{Total: 10, Holders: []Share{{"a", 8, 8}, {"b", 2, 6}}}, 1, 4, 2, 4},
		{"gives up units to a starved run", Shares{Total: 10, Holders: []Share{{"a", 8, 8}, {"b", 2, 6}}}, 8, 0, 2, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			next := c.shares.Rebalance("a", c.demand, c.held, c.hosts)
			if got, _ := next.Of("a"); got.N != c.want {
				t.Errorf("got %d, want %d (%+v)", got.N, c.want, next)
			}
		})
	}
}

// For random demands, the sum of the shares never exceeds the total, and every host
// gets at least one unit if there are enough.
func TestSharesNeverExceedTheTotal(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 0))
		hosts := 1 + r.IntN(9)
		s := Shares{Total: 1 + r.IntN(40)}
		for range 300 {
			run := HostID(fmt.Sprint(r.IntN(hosts)))
			own, _ := s.Of(run)
			s = s.Rebalance(run, r.IntN(50), r.IntN(own.N+1), hosts)
			if s.Free() < 0 {
				t.Fatalf("seed %d: %+v", seed, s)
			}
		}
		for i := range 4 * hosts {
			s = s.Rebalance(HostID(fmt.Sprint(i%hosts)), 50, 0, hosts)
		}
		for i := range hosts {
			if own, _ := s.Of(HostID(fmt.Sprint(i))); own.N == 0 && s.Total >= hosts {
				t.Errorf("seed %d: host %d has no unit of %+v", seed, i, s)
			}
		}
	}
}
