package replicaset

import (
	"maps"
	"slices"
	"strings"

	"github.com/cumintrestle/cumintrestle/internal/revision"
)

// MaxRecordedReplicas is the maximum number of replicas in a membership record.
const MaxRecordedReplicas = 64

// RecordedReplica is one incarnation in a membership record.
type RecordedReplica struct {
	// Member has the ID, the start time, the address and the zone.
	Member Member
	// Covered is set for a lost replica if the others hold all commits that it held.
	Covered bool
}

// Membership is the record in the store of the members of a group that may hold acknowledged
// commits. It names lost replicas until their loss is covered, so that a host that starts
// later knows of them.
type Membership struct {
	Replicas []RecordedReplica
	// Unreadable is set if the record could not be read.
	Unreadable bool
	// Revision is the revision of the record in the store, zero if there is none.
	Revision revision.Revision
}

// SetMembership adopts a membership record from the store, and ignores one that is not newer
// than the known one. A record is trusted if it was written since the store last came back
// from a copy; of any other one, this host takes only the replicas that it does not know.
func (s *Set) SetMembership(now Instant, m Membership, trusted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.membershipAt.Less(m.Revision) {
		return
	}
	recorded := make(map[incarnation]RecordedReplica, len(m.Replicas))
	for _, r := range m.Replicas {
		recorded[r.Member.incarnation()] = r
	}
	if trusted && s.recordTrusted && s.membershipAt.Era == m.Revision.Era {
		s.dropStruckOff(recorded)
	}
	s.membershipAt, s.recordTrusted = m.Revision, trusted
	if trusted {
		s.recorded, s.earlier.covered = recorded, true
	}
	for i := range recorded {
		if o, ok := s.members[i.id]; ok && o.incarnation() == i {
			o.recorded = true
		}
	}
	s.findLosses(now, recorded)
	s.report(StateChanged)
}

// dropStruckOff forgets lost replicas that were recorded and are not any more: another host
// has seen that their loss is covered.
func (s *Set) dropStruckOff(recorded map[incarnation]RecordedReplica) {
	for i := range s.recorded {
		if _, ok := recorded[i]; !ok {
			delete(s.lost, i)
		}
	}
}

// findLosses adds the recorded replicas that are not registered to the lost ones.
func (s *Set) findLosses(now Instant, recorded map[incarnation]RecordedReplica) {
	for i, r := range recorded {
		if o, ok := s.members[i.id]; ok && o.incarnation() == i || i.id == s.lead.ID {
			continue
		}
		s.addLoss(r.Member, loss{since: now, covered: r.Covered})
		if l := s.lost[i]; r.Covered {
			l.covered = true
		}
	}
}

// MembershipLost records that the store has no membership record of the group at the given
// revision.
func (s *Set) MembershipLost(at revision.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.membershipAt.Less(at) {
		s.membershipAt, s.recorded, s.recordTrusted = revision.Revision{}, nil, false
		s.report(StateChanged)
	}
}

// ProposeMembership returns the membership record as this host knows it, and true if the
// store's record differs. A host that does not know which replicas were lost before it
// started proposes nothing.
func (s *Set) ProposeMembership(now Instant) (Membership, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.earlier.covered {
		return Membership{}, false
	}
	want := make(map[incarnation]RecordedReplica)
	for _, m := range s.members {
		if _, ok := s.recorded[m.incarnation()]; ok || m.removedAt == 0 {
			want[m.incarnation()] = RecordedReplica{Member: m.Member}
		}
	}
	for i, l := range s.lost {
		if l.covered && now.Sub(l.since) >= coveredRetention {
			continue
		}
		want[i] = RecordedReplica{Member: l.Member, Covered: l.covered}
	}
	for i, r := range s.recorded {
		// A primary that is gone is not among the lost replicas.
		if i.id == s.lead.ID && s.members[i.id] == nil {
			want[i] = r
		}
	}
	if len(want) > MaxRecordedReplicas {
		maps.DeleteFunc(want, func(_ incarnation, r RecordedReplica) bool { return r.Covered })
	}
	if s.recordTrusted && sameReplicas(want, s.recorded) || len(want) > MaxRecordedReplicas {
		return Membership{}, false
	}
	return Membership{Replicas: sortReplicas(want)}, true
}

func sameReplicas(a, b map[incarnation]RecordedReplica) bool {
	if len(a) != len(b) {
		return false
	}
	for i, r := range a {
		if o, ok := b[i]; !ok || o.Covered != r.Covered || o.Member.Address != r.Member.Address {
			return false
		}
	}
	return true
}

func sortReplicas(all map[incarnation]RecordedReplica) []RecordedReplica {
	out := make([]RecordedReplica, 0, len(all))
	for _, r := range all {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b RecordedReplica) int {
		if c := strings.Compare(string(a.Member.ID), string(b.Member.ID)); c != 0 {
			return c
		}
		return int(min(max(a.Member.Started-b.Member.Started, -1), 1))
	})
	return out
}
