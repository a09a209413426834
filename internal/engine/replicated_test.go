package engine

import (
	"testing"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
)

// TestCommitBesideSwitchIsInDoubt guards against lost commits: a primary that was being replaced
// completed a write with a replica that had just joined, or was not registered any more, and the
// host acknowledged it although the promotion did not ask that replica. Unless stated, no replica
// that promotions ask is known to have the write.
func TestCommitBesideSwitchIsInDoubt(t *testing.T) {
	tests := []struct {
		name   string
		during func(e *Engine, g *replicaset.Set)
		want   Code
	}{
		{"a registered replica has the write", func(e *Engine, g *replicaset.Set) {
			g.Register(e.BootTime(), replicaset.Member{ID: "r", Group: "g", Address: "r", Role: replicaset.Replica})
			g.RecordReport("r", followsPrimary)
		}, Done},
		{"no registered replica has the write", func(e *Engine, g *replicaset.Set) {
			g.Register(e.BootTime(), replicaset.Member{ID: "r", Group: "g", Address: "r", Role: replicaset.Replica})
		}, InDoubt},
		{"the primary is being replaced", func(e *Engine, g *replicaset.Set) {
			g.SetLead(e.BootTime(), replicaset.Lead{ID: "p", Term: 1, Switching: true, Version: 2})
		}, InDoubt},
		{"the primary has been replaced", func(e *Engine, g *replicaset.Set) {
			g.SetLead(e.BootTime(), replicaset.Lead{ID: "q", Term: 2, Version: 2})
		}, InDoubt},
		{"the registration of a replica has lapsed", func(e *Engine, g *replicaset.Set) {
			g.Register(e.BootTime(), replicaset.Member{ID: "r", Group: "g", Address: "r", Role: replicaset.Replica})
			g.Deregister(e.BootTime(), "r")
		}, InDoubt},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := &pinnedEndpoint{}
			e := newPinnedEngine(d)
			d.onWrite = func() { tt.during(e, e.Group("g")) }
			if o, _ := openPinned(t, e, "a").do(Write, "WRITE 1 x"); o.Code != tt.want {
				t.Errorf("the write is answered with %s, want %s", o.Code, tt.want)
			}
		})
	}
}
