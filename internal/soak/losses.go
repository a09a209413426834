package soak

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cumintrestle/cumintrestle/platform/standin"
)

const (
	// lapseTime is how long the registration of an endpoint outlasts it.
	lapseTime = 3600 * time.Millisecond
	// rebornDelay is how long an endpoint that crashes is down.
	rebornDelay = 300 * time.Millisecond
)

// lossKinds are faults in which a group loses an endpoint, its log or what the store says of it. The
// groups have spare endpoints.
var lossKinds = []faultKind{
	{
		name:  "replicas_deaf",
		begin: func(w *world, f Fault) { w.setReplicasDeaf(f, true) },
		end:   func(w *world, f Fault) { w.setReplicasDeaf(f, false) },
	},
	{
		// It receives what the primary writes before any host can know of it.
		name: "unregistered_joins",
		begin: func(w *world, f Fault) {
			spare := w.groups[f.Group].Databases[membersPerGroup]
			w.withdraw(spare.ID, true)
			spare.Join(standin.BothSides)
		},
		end: func(w *world, f Fault) { w.withdraw(w.groups[f.Group].Databases[membersPerGroup].ID, false) },
	},
	{
		// It starts again without its log, behind the entry that it had. The other replica is deaf.
		name: "replica_reborn",
		begin: func(w *world, f Fault) {
			d, other := w.replicas(f)
			other.SetReplicationCut(true)
			w.keepEntry(d.ID, true)
			d.Leave()
			d.Restart(false)
			time.AfterFunc(rebornDelay, func() { d.Join(standin.BothSides) })
		},
		end: func(w *world, f Fault) {
			for _, d := range w.groups[f.Group].Databases {
				d.SetReplicationCut(false)
				w.keepEntry(d.ID, false)
			}
		},
	},
	{name: "promoted_lost", begin: func(w *world, f Fault) {
		for _, d := range w.groups[f.Group].Databases {
			if d.ID == w.lastPromoted(f.Group) {
				w.lose(d)
			}
		}
	}},
	{name: "primary_lost", begin: func(w *world, f Fault) { w.lose(w.groups[f.Group].Leader()) }},
}

// setReplicasDeaf sets whether the replicas of a group that have joined receive nothing.
func (w *world) setReplicasDeaf(f Fault, deaf bool) {
	g := w.groups[f.Group]
	for _, d := range g.Databases[:membersPerGroup] {
		if !deaf || d != g.Leader() {
			d.SetReplicationCut(deaf)
		}
	}
}

// replicas returns the two replicas of a group, in an order that follows from the fault.
func (w *world) replicas(f Fault) (first, second *standin.Database) {
	var all []*standin.Database
	for _, d := range w.groups[f.Group].Databases[:membersPerGroup] {
		if d != w.groups[f.Group].Leader() {
			all = append(all, d)
		}
	}
	return all[f.Member%2], all[1-f.Member%2]
}

// lose takes an endpoint away for good. Its registration lapses later.
func (w *world) lose(d *standin.Database) {
	d.Leave()
	d.Restart(false)
	time.AfterFunc(lapseTime, func() { w.withdraw(d.ID, true) })
}

// keepEntry sets whether the registration of an endpoint stays as it is.
func (w *world) keepEntry(id string, keep bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.withdrawn[id] = keep
}

func (w *world) notePromoted(group int, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.promoted[group] = id
}

func (w *world) lastPromoted(group int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.promoted[group]
}

// lossStories are troubles of one group, each a series of faults. They begin at AtMS, and the times of
// their faults are relative to that.
var lossStories = [][]Fault{
	// Only a copy that no host knows of receives the last commits before the primary crashes.
	{{Kind: "replicas_deaf", ForMS: 4500}, {Kind: "unregistered_joins", AtMS: 200, ForMS: 4500}, {Kind: "primary_dark", AtMS: 1000, ForMS: 5500}},
	// Only a replica that starts again without its log has received them.
	{{Kind: "replica_reborn", ForMS: 3000}, {Kind: "primary_dark", AtMS: 100, ForMS: 5000}},
	// The promoted replica is lost, and the old primary is a replica by then.
	{{Kind: primarySplit.name, ForMS: 2500}, {Kind: "promoted_lost", Phase: phaseOrdered, DelayMS: 150}},
	// The primary is lost while all hosts are down, so that nobody knows who it was.
	{{Kind: "primary_lost"}, {Kind: "all_hosts_killed", AtMS: 500}, {Kind: "all_hosts_killed", AtMS: 1900}},
	// The store forgets a switch, and the new primary is lost.
	{{Kind: "primary_crashes"}, {Kind: "primary_dark", ForMS: 3000}, {Kind: storeRestored.name, AtMS: 2500, ForMS: 300}, {Kind: "primary_lost", AtMS: 3300}},
}

// hostTroubles come beside the stories.
var hostTroubles = []string{"host_killed", "store_cut", "store_mute", "store_silent", "host_paused", "path_silent"}

// LossPlan derives from a seed one story of losses for each group, and troubles of hosts beside them.
func LossPlan(seed uint64, length time.Duration, hosts int) []Fault {
	r := rand.New(rand.NewPCG(seed, 11))
	var plan []Fault
	for g := range groups {
		at, member := 500+r.Int64N(max(1, length.Milliseconds()/4)), r.IntN(membersPerGroup)
		for _, f := range lossStories[r.IntN(len(lossStories))] {
			f.AtMS, f.Group, f.Member, f.Host = f.AtMS+at+r.Int64N(100), g, member, r.IntN(hosts)
			plan = append(plan, f)
		}
		if r.IntN(2) == 0 {
			plan = append(plan, Fault{
				Kind: hostTroubles[r.IntN(len(hostTroubles))], AtMS: at + r.Int64N(3000), ForMS: 300 + r.Int64N(1500),
				Host: r.IntN(hosts), Group: g, Member: member,
			})
		}
	}
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].AtMS < plan[j].AtMS })
	return plan
}
