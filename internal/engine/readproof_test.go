package engine

import (
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// TestReadProofAfterGapWithoutStore guards against stale reads: after a promotion that the
// old primary could not be told of, its replicas, resumed, follow it again and prove its reads
// at a host without the store, as they proved its commits (TestBrokenChainOfCommitProofs).
func TestReadProofAfterGapWithoutStore(t *testing.T) {
	follows := replicaset.Status{Role: replicaset.Replica, Term: 1}
	d := &commitGroup{
		reports: map[replicaset.EndpointID]replicaset.Status{"p": {Role: replicaset.Primary, Term: 1}, "a": follows, "b": follows},
		blind:   true,
	}
	e := d.engine()
	g := e.group("g")
	time.Sleep(ProofTime + ProofMargin)
	if g.HasCommitProof(e.BootTime()) {
		t.Fatal("the commit proof is still valid")
	}
	if err := e.prove(g, g.Lead(), e.BootTime(), nil); err == nil {
		t.Error("a read of the latest state is proved by one unpaused replica after a gap in which a promotion fits")
	}
}

// TestAsynchronousCommitAfterGapWithoutStore is the same for the commits of a group that is not
// synchronous (rule ONE).
func TestAsynchronousCommitAfterGapWithoutStore(t *testing.T) {
	follows := replicaset.Status{Role: replicaset.Replica, Term: 1}
	d := &commitGroup{
		reports: map[replicaset.EndpointID]replicaset.Status{"p": {Role: replicaset.Primary, Term: 1}, "a": follows, "b": follows},
		blind:   true,
	}
	e := d.engine()
	e.Apply(&Declared{
		Version: 2, Groups: map[session.Group]GroupPolicy{"g": {MaxConnections: 9}},
		Databases: map[string]Database{"db": {Name: "db", Group: "g", StatementTimeout: 400 * time.Millisecond}},
	})
	time.Sleep(ProofTime + ProofMargin)
	s, _ := e.Open("db", "")
	if o := s.Run(Statement{ID: "w-1", Kind: Write, Text: "WRITE 1 x"}); o.Code == Done {
		t.Error("a commit is acknowledged by the word of one unpaused replica after a gap in which a promotion fits")
	}
}

// TestReadProofByReplicaThatJoined guards against stale reads: a replica that joins after the
// look of a switch is never paused, and proved reads of the old primary as it proved commits.
func TestReadProofByReplicaThatJoined(t *testing.T) {
	paused := replicaset.Status{Role: replicaset.Replica, Term: 1, PausedTerm: 3}
	d := &commitGroup{
		reports: map[replicaset.EndpointID]replicaset.Status{
			"p": {Role: replicaset.Primary, Term: 1}, "a": paused, "b": paused, "c": {Role: replicaset.Replica, Term: 1},
		},
	}
	e := d.engine()
	g := e.group("g")
	time.Sleep(ProofTime + ProofMargin)
	if err := e.prove(g, g.Lead(), e.BootTime(), nil); err == nil {
		t.Error("a read of the latest state is proved by a replica that the membership record does not name, while those that it names are paused")
	}
}

// TestReadProofWithoutStoreAsksAll guards against stale reads: a host without the store asked one recorded
// replica, which may be the only one that a promotion has not paused.
func TestReadProofWithoutStoreAsksAll(t *testing.T) {
	follows := replicaset.Status{Role: replicaset.Replica, Term: 1}
	leads := replicaset.Status{Role: replicaset.Primary, Term: 2}
	for name, tt := range map[string]struct {
		b      replicaset.Status
		proves bool
	}{"all follow": {follows, true}, "one leads": {leads, false}} {
		t.Run(name, func(t *testing.T) {
			d := &commitGroup{
				reports: map[replicaset.EndpointID]replicaset.Status{"p": {Role: replicaset.Primary, Term: 1}, "a": follows, "b": tt.b},
				blind:   true,
			}
			e := d.engine()
			g := e.group("g")
			g.SetBlind(true)
			g.RecordStoreProof(g.Lead(), e.BootTime())
			if err := e.obtainProof(g, g.Lead(), nil); (err == nil) != tt.proves {
				t.Errorf("proof of a read: %v, want one: %t", err, tt.proves)
			}
		})
	}
}
