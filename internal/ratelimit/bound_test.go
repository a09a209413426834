package ratelimit

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// randomRun returns the check of a run with the given faults, without a safeguard.
func randomRun(seed int64, faults []uint32, remove safeguard) error {
	rng := rand.New(rand.NewSource(seed))
	// Small bursts leave little room for errors.
	limits := []Limit{{5, 5}, {50, 50}, {20, 100}, {296, 296}, {1, 30}, {80, 10}, {50, 5}, {200, 8}, {100, 2}, {20, 2}}
	l := limits[rng.Intn(len(limits))]
	bounds := DefaultBounds()
	switch rng.Intn(3) {
	case 0:
		// Without room for errors, the tokens have the shortest validity, and there is no fallback.
		bounds.Overage, bounds.Slack = 0, 0
	case 1:
		bounds.Overage, bounds.Slack = 0.1, 6
	}
	fleet := 2 + rng.Intn(6)
	if seed%6 == 2 {
		// So many that a part of them uses up what all fallback rates may be together.
		fleet += 8
	}
	m := newModel(seed, fleet, l, bounds)
	switch seed % 8 {
	case 3:
		m.listUnknown = true
	case 5:
		m.unlisted = map[int]bool{0: true, 1: true}
	}
	hosts := float64(len(m.hosts))
	load, period := []float64{1.2, 2, 5}[rng.Intn(3)], time.Duration(1+rng.Intn(8))*time.Second
	bursts := rng.Intn(3) == 0
	for i := range rng.Intn(3) {
		m.accounts = append(m.accounts, &accountRun{name: session.Account(fmt.Sprint("other-", i))})
	}
	for _, h := range m.hosts {
		m.start(h)
	}
	m.sendLate = rng.Intn(2) == 0
	m.demand = func(now time.Duration, host int) float64 {
		switch {
		case bursts && now%period == period-2*modelStep && (now/period)%time.Duration(hosts) == time.Duration(host):
			// Just before faults begin, so that its tokens are on their way then.
			return (load*l.Rate*period.Seconds() + l.Burst) / modelStep.Seconds()
		case bursts, period > 4*time.Second && (now/period+time.Duration(host))%3 == 0:
			return 0
		}
		return load * l.Rate / hosts
	}
	fixed := rng.Intn(4) > 0
	for _, n := range faults {
		// A window with a changed limit may have the operations of the highest one, which hides other errors.
		if f := randomFault(n, len(m.hosts), l); f.kind != changeLimit || !fixed {
			m.faults = append(m.faults, f)
		}
	}
	m.remove = remove
	m.run(45 * time.Second)
	if err := m.check(); err != nil || !fixed {
		return err
	}
	return m.checkCharges()
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
		if err := randomRun(seed, faults, noneRemoved); err != nil {
			return err.Error()
		}
		return ""
	}, gen.Int64(), gen.SliceOf(gen.UInt32())))
	props.TestingRun(t)
}

// TestFixedRuns keeps random runs that exceed the bounds with a safeguard removed, and the faults of runs that exceeded
// them because limits that changed twice at once reached the hosts of the model in different orders.
func TestFixedRuns(t *testing.T) {
	tests := []struct {
		seed   int64
		remove safeguard
		faults []uint32
	}{
		{200068, noneRemoved, []uint32{
			700009003, 572944254, 945901108, 4097762707, 1075989660, 1614825478, 1228219256, 1743649505, 3102760944,
			741908972, 1674108381, 1821514190,
		}},
		{300817, chargeSilentHosts, []uint32{
			0x12849dbf, 0x1405eef2, 0x4f84781a, 0x3bb47c24, 0x92e8651a, 0xc9ba8cca,
		}},
		{200101, emptyBucketsAtStart, []uint32{
			1126409871, 2029004767, 803685429, 2395713543, 615963193, 4231128074, 241720908, 2439084371, 3121111444,
			1792265004, 1059828248, 1708171561, 1071678976, 3516763017, 228740869,
		}},
		{300023, noneRemoved, []uint32{
			0x923c2395, 0x8e0bd0c3, 0xa0fbb12d, 0x6d436108, 0xce8c48c5, 0xd37e9659, 0xcd441c72, 0xe75b4407, 0xf673677b,
			0x9b22bb82, 0xc4dc243f, 0x99137f2a,
		}},
		{200077, sumOfFallbackRates, []uint32{
			3052232532, 2770697805, 3006329108, 2220315500, 1928981440, 1170323629, 4288893213, 3958976388, 2263719192,
			1603458017, 3293902972, 2819986053,
		}},
		{969, noneRemoved, []uint32{30848262, 2735574208, 3370218766, 32695692, 3591287224}},
		{100785, noneRemoved, []uint32{3514124784, 2507960350, 125440022}},
		// A host that had a lowered limit before the granting host generated at a rate under the old one.
		{5000100, noneRemoved, []uint32{4212008102, 1778051590, 3093883594}},
		{6000043, noneRemoved, []uint32{37893768, 861858670, 3749490517, 278872543, 2825926206, 971339791}},
		{101510, noneRemoved, []uint32{2153183342, 1882519351, 2982422572, 1756230798, 1129924564, 146323534}},
	}
	for _, tc := range tests {
		if err := randomRun(tc.seed, tc.faults, noneRemoved); err != nil {
			t.Errorf("seed %d: %v", tc.seed, err)
		}
		if tc.remove != noneRemoved && randomRun(tc.seed, tc.faults, tc.remove) == nil {
			t.Errorf("seed %d: without safeguard %d, the bounds hold", tc.seed, tc.remove)
		}
	}
}

// safeguardRun is a run that exceeds the bounds if a safeguard is removed.
type safeguardRun struct {
	name   string
	remove safeguard
	limit  Limit
	demand func(time.Duration, int) float64
	faults []fault
}

// safeguardFaults is the time of the first fault.
const safeguardFaults = 10 * time.Second

func lateDemand(now time.Duration, _ int) float64 {
	if now < safeguardFaults-time.Second {
		return 0
	}
	return 300
}

func safeguardRuns() []safeguardRun {
	even, bursty := Limit{50, 50}, Limit{20, 100}
	const at = safeguardFaults
	// So many that they have all that the fallback rates may be together.
	var cutOthers []fault
	for i := range 8 {
		cutOthers = append(cutOthers, fault{kind: cut, host: i + 1, at: at, time: time.Minute})
	}
	cutLater := []fault{{kind: restart, host: 0, at: at}}
	for _, f := range cutOthers {
		f.at += 800 * time.Millisecond
		cutLater = append(cutLater, f)
	}
	restartGranting := append([]fault{{kind: restart, host: 0, at: at + time.Second}}, cutOthers...)
	// The granting host has no demand until the links are cut, so that the others get the fallback rates.
	othersFirst := func(now time.Duration, host int) float64 {
		if host == 0 && now < at {
			return 0
		}
		return 150
	}
	return append(hostRuns(), []safeguardRun{
		{
			// Host 1 receives its tokens when it resumes, after the bucket has filled again for host 2.
			"validity counted from the sending", validityFromSending, bursty,
			func(now time.Duration, host int) float64 {
				if host == 1 && now == at-2*modelStep || host == 2 && now >= 18*time.Second {
					return 1e4
				}
				return 0
			},
			[]fault{{kind: freeze, host: 1, at: at - modelStep, time: 8 * time.Second}},
		},
		{"charging silent hosts", chargeSilentHosts, even, othersFirst, cutOthers},
		{
			"empty buckets at the start", emptyBucketsAtStart, bursty, lateDemand,
			[]fault{{kind: restart, host: -1, at: at}, {kind: restart, host: -1, at: at + time.Second}},
		},
		{"end of the fallback", fallbackEnds, even, othersFirst, cutOthers},
		{
			"reduced grants after a takeover", waitForFallbacks, even, othersFirst,
			restartGranting,
		},
		{"held back for hosts not heard of", holdBackForMissing, even, othersFirst, restartGranting},
		{
			// All hosts accept the new epoch before they are cut off.
			"former rates given up", giveUpFormerRates, even, othersFirst, cutLater,
		},
		{
			// The recent use right after a burst is above the rate.
			"sum of fallback rates", sumOfFallbackRates, bursty,
			func(now time.Duration, host int) float64 {
				if host == 0 {
					return 0
				}
				return lateDemand(now, host)
			},
			[]fault{{kind: freeze, host: 0, at: at, time: 14 * time.Second}},
		},
	}...)
}

// hostRuns returns the runs about the hosts that may send an operation at once, and about the levels of buckets.
func hostRuns() []safeguardRun {
	const at = safeguardFaults
	// In short cuts, each host starts a fallback again and again.
	var flapping, cutMany, restarts []fault
	for i := range 60 {
		cutMany = append(cutMany, fault{kind: cut, host: i + 1, at: at, time: time.Minute})
		if i >= 15 {
			continue
		}
		flapping = append(flapping, fault{kind: cut, host: i + 1, at: at, time: time.Minute, flapping: true})
		restarts = append(restarts, fault{kind: restart, host: -1, at: at + time.Duration(i)*600*time.Millisecond})
	}
	return []safeguardRun{
		{
			"filled buckets once in a while", filledOnce,
			Limit{1, 5},
			lateDemand,
			restarts,
		},
		{
			"whole token once in a while", wholeTokenOnce,
			Limit{1, 5},
			func(now time.Duration, host int) float64 {
				if now < at && int(now/(700*time.Millisecond))%16 != host {
					return 0
				}
				return 1.5 + 100*float64(now/at)
			},
			flapping,
		},
		{
			"number of hosts with a fallback rate", placesOfHosts,
			Limit{20, 20},
			func(now time.Duration, host int) float64 {
				// Each host has a part of the operations of the last seconds before the links are cut.
				if now < at-4500*time.Millisecond || now < at && int(now/(50*time.Millisecond))%61 != host {
					return 0
				}
				return 40
			},
			cutMany,
		},
	}
}

// TestSafeguards shows for each safeguard of the design a run that stays within the bounds with it, and exceeds them
// without it.
func TestSafeguards(t *testing.T) {
	for _, tc := range safeguardRuns() {
		t.Run(tc.name, func(t *testing.T) {
			for _, remove := range []safeguard{noneRemoved, tc.remove} {
				hosts := 4
				for _, f := range tc.faults {
					hosts = max(hosts, f.host+1)
				}
				m := newModel(1, hosts, tc.limit, DefaultBounds())
				m.demand, m.faults, m.remove, m.poisson = tc.demand, tc.faults, remove, false
				m.run(45 * time.Second)
				err := m.check()
				if remove == noneRemoved && err != nil {
					t.Errorf("with the safeguard: %v", err)
				}
				if remove != noneRemoved && err == nil {
					t.Error("without the safeguard, no window exceeds the bounds")
				}
				t.Logf("removed %d: %d operations, %v", remove, m.sent, err)
			}
		})
	}
}
