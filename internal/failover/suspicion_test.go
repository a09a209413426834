package failover

import (
	"context"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
)

// TestSwitchThatCannotEnd answers a group that is split: a host that reaches neither
// the primary nor one of the replicas recorded a switch, which kept all others from
// a primary that they reached, until it gave up, again and again.
func TestSwitchThatCannotEnd(t *testing.T) {
	tests := []struct {
		name   string
		change func(w *world, set *replicaset.Set)
	}{
		{"a replica does not answer", func(w *world, _ *replicaset.Set) { w.silent["b"] = true }},
		{"a replica is gone with its log", func(_ *world, set *replicaset.Set) {
			m, _ := set.Member("b")
			m.Started = 2
			set.Register(replicaset.Instant(time.Minute), m)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld()
			m, set := w.manager(t)
			w.silent["p"] = true
			tt.change(w, set)
			set.Avoid(m.Engine.Boot().Add(-time.Second), "p")
			ctx, cancel := context.WithTimeout(context.Background(), deadAfter+2*unheardAfter+3*surveyEvery)
			defer cancel()
			m.handle(ctx, set, set.Lead(), reasonSilent)
			w.mu.Lock()
			defer w.mu.Unlock()
			if len(w.changes) != 0 {
				t.Errorf("a switch is recorded: %+v", w.changes)
			}
		})
	}
}

// TestReliefIsRare reproduces a switch that followed another one of the same
// group at once, ordered by a host that did not order the first.
func TestReliefIsRare(t *testing.T) {
	w := newWorld()
	m, set := w.manager(t)
	set.SetLead(m.Engine.Boot(), replicaset.Lead{ID: "b", Term: 1, Version: 3})
	if m.mayRelieve(set) {
		t.Error("a primary that was recorded a moment ago may be relieved")
	}
	set.SetLead(m.Engine.Boot().Add(-relieveEvery), replicaset.Lead{ID: "a", Term: 2, Version: 4})
	if !m.mayRelieve(set) {
		t.Errorf("a primary may not be relieved %s after it was recorded", relieveEvery)
	}
}
