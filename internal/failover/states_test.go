package failover

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/internal/revision"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// The parts of a group's state, as the package comment lists them: what the store records, what has become of
// the primary p, and what has become of the replica b. The replica a always answers. The registration of
// an endpoint that is silent lapses.
var (
	recordStates = map[string]replicaset.Lead{
		"no record":   {},
		"recorded":    {ID: "p", Term: 1},
		"switching":   {ID: "p", Term: 1, Switching: true, Holder: "host-2", Token: 4},
		"taken over":  {ID: "p", Term: 1, Switching: true, TakenOver: true, Holder: "host-2", Token: 4},
		"from a copy": {ID: "p", Term: 1},
	}
	primaryStates = map[string]func(f *fakeCluster){
		"leads": func(*fakeCluster) {},
		"demoted": func(f *fakeCluster) {
			f.reports["p"] = replicaset.Status{Role: replicaset.Replica, Term: 1, Received: at(1, 12)}
		},
		"started again, empty": func(f *fakeCluster) { f.reports["p"] = replicaset.Status{Role: replicaset.Replica} },
		"silent":               func(f *fakeCluster) { f.silent["p"] = true },
		"gone":                 func(f *fakeCluster) { f.silent["p"], f.absent["p"] = true, true },
		"cut off from the store": func(f *fakeCluster) {
			f.absent["p"] = true
		},
	}
	replicaStates = map[string]func(f *fakeCluster){
		"follows": func(*fakeCluster) {},
		"paused": func(f *fakeCluster) {
			f.reports["b"] = replicaset.Status{Role: replicaset.Replica, Term: 1, PausedTerm: 9, Received: at(1, 9)}
		},
		"silent": func(f *fakeCluster) {
			f.silent["b"] = true
			f.setLag("a", 0, at(1, 9))
		},
		"gone": func(f *fakeCluster) {
			f.silent["b"], f.absent["b"] = true, true
			f.setLag("a", 0, at(1, 9))
		},
		"promoted, unrecorded": func(f *fakeCluster) {
			f.reports["b"] = replicaset.Status{Role: replicaset.Primary, Term: 2, Received: at(1, 9)}
		},
	}
)

// TestEveryStateHasAWayOut guards against states without a serving primary that nobody leaves: a group
// gets one without a further fault to end, with all that b has received.
func TestEveryStateHasAWayOut(t *testing.T) {
	for record, lead := range recordStates {
		for primary, setPrimary := range primaryStates {
			for replica, setReplica := range replicaStates {
				for _, fresh := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s/%s/%s/fresh %t", record, primary, replica, fresh), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							cluster := newFakeCluster()
							cluster.absent = make(map[replicaset.EndpointID]bool)
							cluster.state.Openings = map[revision.Era]EraOpening{0: {Version: 1, Terms: map[session.Group]session.Term{"g": 1}}}
							if lead.ID != "" {
								lead = cluster.setLead(lead)
							}
							if record == "from a copy" {
								cluster.state.Openings = map[revision.Era]EraOpening{0: {Version: 9, Terms: map[session.Group]session.Term{}}}
								cluster.version = 9
							}
							walkState(t, cluster, lead, setPrimary, setReplica, fresh)
						})
					})
				}
			}
		}
	}
}

// walkState runs a manager on a group in a state. A host that is not fresh has known the group before.
func walkState(t *testing.T, cluster *fakeCluster, lead replicaset.Lead, setPrimary, setReplica func(f *fakeCluster), fresh bool) {
	if fresh {
		setPrimary(cluster)
		setReplica(cluster)
	}
	m, set := cluster.manager(t)
	if !fresh {
		setPrimary(cluster)
		setReplica(cluster)
	}
	now := m.Engine.BootTime()
	if lead.ID != "" {
		set.SetLead(now, lead)
	}
	cluster.observe(m)
	for id := range cluster.absent {
		set.Deregister(now, id)
	}
	if p, ok := set.Member("p"); ok && cluster.report("p").Role == replicaset.Replica {
		p.Role = replicaset.Replica
		if cluster.report("p").Term == 0 {
			p.Started = 2
		}
		set.Register(now, p)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	// Callers send statements to the primary all the while, and a silent one does not answer.
	for i := range 600 {
		m.Engine.Maintain()
		for _, id := range []replicaset.EndpointID{"p", "b"} {
			if i == 40 && cluster.isSilent(id) {
				set.Deregister(m.Engine.BootTime(), id)
			}
		}
		if id := set.Lead().ID; id != "" && cluster.isSilent(id) {
			set.RecordFailure(m.Engine.BootTime(), id)
		}
		time.Sleep(100 * time.Millisecond)
	}
	lead = set.Lead()
	served := lead.ID != "" && !lead.Switching && !cluster.isSilent(lead.ID) && cluster.report(lead.ID).Role == replicaset.Primary
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if !served {
		t.Errorf("after a minute the lead is %+v, and that endpoint reports %s", lead, cluster.report(lead.ID))
	}
	if got := cluster.report(lead.ID).Received; got.Less(at(1, 9)) {
		t.Errorf("%s leads with the log up to %s, and commits up to %s were acknowledged", lead.ID, got, at(1, 9))
	}
}

func (f *fakeCluster) isSilent(id replicaset.EndpointID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent[id]
}
