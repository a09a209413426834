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
				proved = max(proved, m.proved(c.limit))
			}
		}
		if n := float64(i - first + 1); n > proved+1e-6 {
			return fmt.Errorf("%v operations in the window before %v, at most %v expected", n, t, proved)
		}
	}
	return nil
}

// proved returns the most operations in a window.
func (m *model) proved(l Limit) float64 {
	p := m.bounds.plan(l)
	return p.refill*(m.bounds.Window+p.validity).Seconds() + l.depth() + p.start + float64(p.hosts) +
		skewMargin.Seconds()*fallbackPart*l.Rate
}

// checkCharges is stricter than check for a limit that does not change: in an interval of any length, the tokens of the
// allowed operations conform to the bucket, whatever their validity. A host may generate tokens for up to skewMargin
// before it is charged; it makes up for that, and for its whole token, when it reports, unless it restarts. Each term adds the whole tokens of the
// hosts in fallback, and its start level.
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
		switch f.kind {
		case restart, crash:
			restarts++
		case restartAll:
			restarts += len(m.hosts)
		}
	}
	p := m.bounds.plan(m.limit)
	allowed := m.limit.depth() + (m.limit.Rate*skewMargin.Seconds()+1)*float64(1+restarts)
	allowed += (float64(p.hosts) + p.start) * float64(m.row.epoch)
	// lowest is the least of the operations before minus the rate, over all starts of an interval.
	lowest := math.Inf(1)
	for i, t := range charged {
		line := float64(i) - p.refill*t.Seconds()
		lowest = min(lowest, line)
		if n := line + 1 - lowest; n > allowed {
			return fmt.Errorf("%v tokens beyond the rate before %v, at most %v expected", n, t, allowed)
		}
	}
	return nil
}
