package failover

import (
	"context"
	"errors"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/internal/revision"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// fakeCluster is a group of three endpoints and a store, without I/O.
type fakeCluster struct {
	mu         sync.Mutex
	reports    map[replicaset.EndpointID]replicaset.Status
	silent     map[replicaset.EndpointID]bool
	pauseTerms []session.Term
	promoted   []replicaset.EndpointID
	tokens     []uint64
	state      State
	era        revision.Era
	version    revision.Version
	conflict   bool
	// absent has the members that are not registered when the host starts.
	absent map[replicaset.EndpointID]bool
	// onPause, if set, is called when a replica is paused.
	onPause func()
	// full has the endpoints that accept no connection.
	full map[replicaset.EndpointID]bool
	// recorded is set if the membership of the group is recorded when the host starts.
	recorded bool
	changes  []Change
	// exposed is set once a replica reports that it follows the old primary after a
	// promotion, while the old primary still reports that it leads.
	exposed bool
}

func at(t, n int) session.Point {
	return session.Point{Term: session.Term(t), Position: session.Position(n)}
}

func newFakeCluster() *fakeCluster {
	return &fakeCluster{
		recorded: true,
		silent:   make(map[replicaset.EndpointID]bool),
		reports: map[replicaset.EndpointID]replicaset.Status{
			"p": {Role: replicaset.Primary, Term: 1, Received: at(1, 9)},
			"a": {Role: replicaset.Replica, Term: 1, Received: at(1, 8)},
			"b": {Role: replicaset.Replica, Term: 1, Received: at(1, 9)},
		},
		version: 1,
		state: State{
			Leads: make(map[session.Group]replicaset.Lead), Memberships: make(map[session.Group]replicaset.Membership), Openings: map[revision.Era]EraOpening{0: {Version: 1}},
		},
	}
}

func (f *fakeCluster) setLag(id replicaset.EndpointID, lag time.Duration, received session.Point) {
	st := f.reports[id]
	st.Lag, st.Received = lag, received
	f.reports[id] = st
}

func (f *fakeCluster) answer(id replicaset.EndpointID, op engine.Op) (engine.Outcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent[id] {
		return engine.Outcome{}, context.DeadlineExceeded
	}
	st := f.reports[id]
	switch {
	case op.Kind == engine.OpPause:
		if f.onPause != nil {
			f.onPause()
		}
		st.PausedTerm = op.Term
		f.pauseTerms = append(f.pauseTerms, op.Term)
	case op.Kind == engine.OpResume:
		st.PausedTerm = 0
	case op.Kind == engine.OpDemote && st.Role == replicaset.Primary && st.Term < op.Term:
		st.Role = replicaset.Replica
	}
	f.reports[id] = st
	f.checkExposure()
	return engine.Outcome{Report: st}, nil
}

// checkExposure records whether the old primary can be proved to lead after a promotion.
func (f *fakeCluster) checkExposure() {
	old := f.reports["p"]
	if len(f.promoted) == 0 || f.silent["p"] || old.Role != replicaset.Primary {
		return
	}
	for _, st := range f.reports {
		if st.Role == replicaset.Replica && st.Term == old.Term && st.PausedTerm <= st.Term {
			f.exposed = true
		}
	}
}

func (f *fakeCluster) promote(_ context.Context, _ session.Group, id replicaset.EndpointID, _ string, token uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.promoted = append(f.promoted, id)
	f.tokens = append(f.tokens, token)
	st := f.reports[id]
	st.Role, st.Term, st.PausedTerm = replicaset.Primary, st.Term+1, 0
	f.reports[id] = st
	for o, other := range f.reports {
		// A promotion ends the pauses for its term at once; the other members learn of the
		// new primary later.
		if other.PausedTerm <= st.Term {
			other.PausedTerm = 0
			f.reports[o] = other
		}
	}
	f.checkExposure()
	return nil
}

func (f *fakeCluster) read(context.Context) (State, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	st := State{
		Lease: f.state.Lease, Now: f.state.Now, Leads: make(map[session.Group]replicaset.Lead),
		Memberships: maps.Clone(f.state.Memberships), Whole: true, Openings: maps.Clone(f.state.Openings), Revision: revision.Revision{Era: f.era, Version: f.version},
	}
	for g, l := range f.state.Leads {
		st.Leads[g] = l
	}
	return st, nil
}

func (f *fakeCluster) write(_ context.Context, c Change) (revision.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conflict || c.Read.Openings[c.Read.Revision.Era].Version != f.state.Openings[c.Read.Revision.Era].Version || !c.KeepLease && c.Lease.Version != f.state.Lease.Version || c.Lead.Version != f.state.Leads[c.Group].Version {
		return revision.Revision{}, ErrConflict
	}
	f.version++
	c.Lease.Era, c.Lease.Version, c.Lead.Era, c.Lead.Version = f.era, f.version, f.era, f.version
	if !c.KeepLease {
		f.state.Lease = c.Lease
	}
	f.state.Leads[c.Group] = c.Lead
	f.changes = append(f.changes, c)
	if c.Read.Revision.Era != f.era {
		return revision.Revision{}, errors.New("another era")
	}
	return revision.Revision{Era: f.era, Version: f.version}, nil
}

func (f *fakeCluster) writeMembership(_ context.Context, c MembershipChange) (revision.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Read.Memberships[c.Group].Revision.Version != f.state.Memberships[c.Group].Revision.Version || c.Read.Leads[c.Group].Version != f.state.Leads[c.Group].Version {
		return revision.Revision{}, ErrConflict
	}
	f.version++
	c.Membership.Revision = revision.Revision{Era: f.era, Version: f.version}
	f.state.Memberships[c.Group] = c.Membership
	return c.Membership.Revision, nil
}

func (f *fakeCluster) openEra(_ context.Context, read State, opening EraOpening) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if read.Revision.Era != f.era {
		return ErrConflict
	}
	f.version++
	opening.Version = f.version
	f.state.Openings = map[revision.Era]EraOpening{f.era: opening}
	return nil
}

// recordedMembership returns a membership record of the given replicas.
func recordedMembership(ids ...replicaset.EndpointID) replicaset.Membership {
	m := replicaset.Membership{Revision: revision.Revision{Version: 1}}
	for _, id := range ids {
		m.Replicas = append(m.Replicas, replicaset.RecordedReplica{Member: replicaset.Member{
			ID: id, Group: "g", Address: string(id), Role: replicaset.Replica, Started: 1,
		}})
	}
	return m
}

func (f *fakeCluster) manager(t *testing.T) (*Manager, *replicaset.Set) {
	start := time.Now()
	boot := func() replicaset.Instant { return replicaset.Instant(time.Minute + time.Since(start)) }
	e := &engine.Engine{Zone: "z", Now: time.Now, BootTime: boot, Event: func(v engine.Event) {
		t.Logf("%s %s %s", v.Decision, v.Endpoint, v.Reason)
	}}
	e.Dial = func(_ context.Context, m replicaset.Member, _ session.Account) (*engine.Conn, error) {
		if f.full[m.ID] {
			return nil, &engine.DialError{Code: engine.TooManyConnections}
		}
		return &engine.Conn{Endpoint: m.ID, Close: func() {}, Do: func(_ time.Time, ops ...engine.Op) ([]engine.Outcome, error) {
			o, err := f.answer(m.ID, ops[0])
			return []engine.Outcome{o}, err
		}}, nil
	}
	e.Apply(&engine.Declared{Version: 1, Groups: map[session.Group]engine.GroupPolicy{"g": {MaxConnections: 9, Synchronous: true}}})
	set := e.Group("g")
	for _, id := range []replicaset.EndpointID{"p", "a", "b"} {
		role := replicaset.Replica
		if id == "p" {
			role = replicaset.Primary
		}
		if f.absent[id] {
			continue
		}
		set.Register(boot(), replicaset.Member{ID: id, Group: "g", Address: string(id), Role: role, Slots: 1, Started: 1})
	}
	if f.recorded {
		f.state.Memberships["g"] = recordedMembership("p", "a", "b")
		set.SetMembership(boot(), f.state.Memberships["g"], true)
	}
	return &Manager{
		HostID: "host-1", Engine: e, Promote: f.promote, Store: Store{Read: f.read, Write: f.write, OpenEra: f.openEra, WriteMembership: f.writeMembership},
	}, set
}
