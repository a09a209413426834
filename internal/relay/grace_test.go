package relay

import (
	"testing"
	"time"
)

// TestGraceAcrossClockStep guards against hosts without news of the store: after a step of the clock
// backwards, a link that had ended counted as current until the clock had caught up.
func TestGraceAcrossClockStep(t *testing.T) {
	for _, tt := range []struct {
		name    string
		ended   time.Duration
		current bool
	}{
		{"it has just ended", 0, true},
		{"it ended longer ago", -relinkGrace, false},
		{"the clock was set back since", time.Hour, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := &Link{}
			l.lastCurrent.Store(time.Now().Add(tt.ended).UnixNano())
			if got := l.Current(); got != tt.current {
				t.Errorf("the link counts as current: %t, want %t", got, tt.current)
			}
		})
	}
}
