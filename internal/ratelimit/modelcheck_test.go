package ratelimit

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// check returns the first window in which more operations were sent than the proof in account-limits.md says, which is
// at most what the bounds allow. A lowered limit counts one window after it came into force.
func (m *model) check() error {
	for _, a := range m.accounts {
		if err := m.checkWindows(a.sent); err != nil {
			return fmt.Errorf("%s: %w", a.name, err)
		}
	}
	return nil
}

func (m *model) checkWindows(sent []time.Duration) error {
	window := m.bounds.Window
	first := 0
	for i, t := range sent {
		for sent[first] <= t-window {
			first++
		}
		proved := 0.0
		for k, c := range m.history {
			if c.at <= t && (k == len(m.history)-1 || m.history[k+1].at > t-2*window) {
				reach := window + m.bounds.Validity(c.limit) + skewMargin
				proved = max(proved, c.limit.Rate*reach.Seconds()+c.limit.depth())
			}
		}
		if n := float64(i - first + 1); n > proved+1e-6 {
			return fmt.Errorf("%v operations in the window before %v, at most %v expected", n, t, proved)
		}
	}
	return nil
}

// checkCharges is stricter than check for a limit that does not change: in an interval of any length, the tokens of the
// allowed operations conform to the bucket, whatever their validity. A host may generate tokens for up to skewMargin
// before it is charged; it makes up for that when it reports, unless it restarts.
func (m *model) checkCharges() error {
	for _, a := range m.accounts {
		if err := m.checkBucket(a.charged); err != nil {
			return fmt.Errorf("%s: %w", a.name, err)
		}
	}
	return nil
}

func (m *model) checkBucket(charged []time.Duration) error {
	slices.Sort(charged)
	restarts := 0
	for _, f := range m.faults {
		if f.kind == restart || f.kind == crash {
			restarts++
		}
	}
	allowed := m.limit.depth() + m.limit.Rate*skewMargin.Seconds()*float64(1+restarts) + 1
	// lowest is the least of the operations before minus the rate, over all starts of an interval.
	lowest := math.Inf(1)
	for i, t := range charged {
		line := float64(i) - m.limit.Rate*t.Seconds()
		lowest = min(lowest, line)
		if n := line + 1 - lowest; n > allowed {
			return fmt.Errorf("%v tokens beyond the rate before %v, at most %v expected", n, t, allowed)
		}
	}
	return nil
}
