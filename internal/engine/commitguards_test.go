package engine

import (
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// TestCommitOfUnregisteredReplica guards against lost commits: the replica that received a
// commit first may have joined without being registered, and no promotion asks it.
func TestCommitOfUnregisteredReplica(t *testing.T) {
	behind := replicaset.Status{Role: replicaset.Replica, Term: 1, Received: session.Point{Term: 1, Position: 6}}
	d := &commitGroup{reports: map[replicaset.EndpointID]replicaset.Status{"p": {Role: replicaset.Primary, Term: 1}, "a": behind, "b": behind}}
	e := d.engine()
	s, _ := e.Open("db", "")
	// The primary answers at 1/7. Neither registered replica has received more than 1/6.
	if o := s.Run(Statement{ID: "w-1", Kind: Write, Text: "WRITE 1 x"}); o.Code == Done {
		t.Error("a commit is acknowledged that no replica which a promotion asks has received")
	}
}

// TestDirectConnConfirmsCommits guards against lost commits: a borrower without a lender uses a
// connection of its own, whose commits nobody else confirms.
func TestDirectConnConfirmsCommits(t *testing.T) {
	follows := replicaset.Status{Role: replicaset.Replica, Term: 1}
	d := &commitGroup{
		reports: map[replicaset.EndpointID]replicaset.Status{"p": {Role: replicaset.Primary, Term: 1}, "a": follows, "b": follows},
	}
	e := d.engine()
	time.Sleep(replicaset.CommitProofTime + time.Millisecond)
	g := e.group("g")
	m, _ := g.Member("p")
	p := e.pool(g, m)
	c, err := e.dialMember(t.Context(), m, noAccount)
	if err != nil {
		t.Fatal(err)
	}
	b := &borrowedConn{e: e, pool: p, ownConn: c}
	out, err := b.run(Call{QueueDeadline: time.Now().Add(300 * time.Millisecond), Deadline: time.Now().Add(300 * time.Millisecond), Ops: []Op{{Kind: OpStatement, Text: "WRITE 1 x", Commits: true}}})
	if err == nil && out[0].Code == Done {
		t.Error("a commit on the borrower's own connection is answered without a commit proof")
	}
}

// TestCommitProvesReadsOnlySinceItsProof guards against stale reads: a commit proved reads from
// the time of its answer on, which may be later than the proof of the commit.
func TestCommitProvesReadsOnlySinceItsProof(t *testing.T) {
	d := &commitGroup{reports: map[replicaset.EndpointID]replicaset.Status{"p": {Role: replicaset.Primary, Term: 1}, "a": followsPrimary, "b": followsPrimary}}
	e := d.engine()
	provedAt := e.BootTime()
	time.Sleep(200 * time.Millisecond)
	// The host need not ask a replica for the commit, which would extend the proof.
	e.Group("g").RecordReport("a", followsPrimary)
	s, _ := e.Open("db", "")
	if o := s.Run(Statement{ID: "w-1", Kind: Write, Text: "WRITE 1 x"}); o.Code != Done {
		t.Fatal(o.Reason)
	}
	if g := e.group("g"); g.HasProof(provedAt.Add(ProofTime+100*time.Millisecond), ProofTime) {
		t.Error("the commit proves reads that began later than ProofTime after the commit proof")
	}
}

// TestCommitProofIsNotHeldByOtherGroups guards against commits that wait: the proof of a group
// was at hand, but its waiters were held until the record of each other group had been read.
func TestCommitProofIsNotHeldByOtherGroups(t *testing.T) {
	d := &commitGroup{reports: map[replicaset.EndpointID]replicaset.Status{"p": {Role: replicaset.Primary, Term: 1}, "a": {Role: replicaset.Replica, Term: 1}}}
	e := d.engine()
	for _, name := range []session.Group{"h", "i", "j", "k"} {
		e.group(name).SetLead(e.BootTime(), commitLead)
	}
	// Each read of a slow store takes longer than a read is reused for.
	reads := 0
	e.RecordedLead = func(session.Group) (replicaset.Lead, replicaset.Instant, error) {
		reads++
		at := e.BootTime()
		time.Sleep(160 * time.Millisecond)
		return commitLead, at, nil
	}
	time.Sleep(replicaset.CommitProofTime + time.Millisecond)
	began := time.Now()
	call := e.startCommitProof(e.group("g"), commitLead.Term)
	<-call.done
	if took := time.Since(began); call.err != nil || took > 300*time.Millisecond {
		t.Errorf("the proof took %s and %d reads of the store (%v), want one", took, reads, call.err)
	}
}
