package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"syscall"
	"time"
)

// Fault is one fault of a run's plan.
type Fault struct {
	Kind string `json:"kind"`
	// AtMS is the start, counted from the start of the load; ForMS is the duration.
	AtMS  int64 `json:"at_ms"`
	ForMS int64 `json:"for_ms"`
	// Host, Group and Member are the indexes of the target; a kind ignores those that
	// it does not need.
	Host   int `json:"host"`
	Group  int `json:"group"`
	Member int `json:"member"`
	// Phase delays the start until a switch of the group reaches that phase after AtMS, and
	// DelayMS from then on.
	Phase   phase `json:"phase,omitempty"`
	DelayMS int64 `json:"delay_ms,omitempty"`
}

// faultKind is a kind of fault, with the functions that begin and end it. end is
// nil for faults that need no separate end.
type faultKind struct {
	name string
	// planned marks planned work, during which no request may be cut off.
	planned    bool
	begin, end func(w *world, f Fault)
	// rare kinds occur at most once for each group in a run.
	rare bool
}

// endpointID returns the id of the endpoint that a fault targets.
func (w *world) endpointID(f Fault) string { return w.groups[f.Group].Databases[f.Member].ID }

// pathFault returns functions that set and reset the mode of the path between one
// host and one endpoint.
func pathFault(mode pathMode) (begin, end func(w *world, f Fault)) {
	return func(w *world, f Fault) { w.endpointProxies[w.endpointID(f)].setMode(w.hosts[f.Host].name, mode) },
		func(w *world, f Fault) { w.endpointProxies[w.endpointID(f)].setMode(w.hosts[f.Host].name, modeOpen) }
}

// pathKind is a fault of the path between one host and one endpoint.
func pathKind(name string, mode pathMode) faultKind {
	begin, end := pathFault(mode)
	return faultKind{name: name, begin: begin, end: end}
}

// storeKind is a fault of both paths between one host and the store.
func storeKind(name string, mode pathMode) faultKind {
	return faultKind{
		name: name,
		begin: func(w *world, f Fault) {
			w.hosts[f.Host].storeProxy.setMode(w.hosts[f.Host].name, mode)
			w.hosts[f.Host].promoteProxy.setMode(w.hosts[f.Host].name, mode)
		},
		end: func(w *world, f Fault) {
			w.hosts[f.Host].storeProxy.setMode(w.hosts[f.Host].name, modeOpen)
			w.hosts[f.Host].promoteProxy.setMode(w.hosts[f.Host].name, modeOpen)
		},
	}
}

// signalKind is a fault that sends a signal to one host.
func signalKind(name string, s syscall.Signal, planned bool) faultKind {
	return faultKind{name: name, planned: planned, begin: func(w *world, f Fault) { w.hosts[f.Host].signal(s) }}
}

// faultKinds has all kinds of faults. Plans refer to kinds by index, so a new order
// changes the plan of every seed.
var faultKinds = []faultKind{
	signalKind("host_killed", syscall.SIGKILL, false),
	signalKind("host_stopped", syscall.SIGTERM, true),
	signalKind("host_reloads", syscall.SIGHUP, true),
	{
		name:  "host_paused",
		begin: func(w *world, f Fault) { w.hosts[f.Host].signal(syscall.SIGSTOP) },
		end:   func(w *world, f Fault) { w.hosts[f.Host].signal(syscall.SIGCONT) },
	},
	{name: "all_hosts_killed", begin: func(w *world, _ Fault) {
		for _, p := range w.hosts {
			p.signal(syscall.SIGKILL)
		}
	}},
	pathKind("path_slow", modeSlow), pathKind("path_cut", modeBlocked), pathKind("path_mute", modeHoldAnswers),
	pathKind("path_deaf", modeHoldRequests), pathKind("path_silent", modeBlockExisting),
	{name: "path_reset", begin: func(w *world, f Fault) { w.endpointProxies[w.endpointID(f)].reset(w.hosts[f.Host].name) }},
	storeKind("store_cut", modeBlocked), storeKind("store_mute", modeHoldAnswers), storeKind("store_silent", modeBlockExisting),
	storeKind("store_slow", modeSlow),
	{
		name:  "store_down",
		begin: func(w *world, _ Fault) { w.store.Down(true) },
		end:   func(w *world, _ Fault) { w.store.Down(false) },
	},
	{name: "store_answers_lost", begin: func(w *world, _ Fault) { w.store.DropAnswers(2) }},
	{name: "store_forgets", begin: func(w *world, _ Fault) { w.store.ForgetHistory() }},
	{
		name:  "primary_dark",
		begin: func(w *world, f Fault) { w.groups[f.Group].Leader().SetUnresponsive(true) },
		end: func(w *world, f Fault) {
			for _, d := range w.groups[f.Group].Databases {
				d.SetUnresponsive(false)
			}
		},
	},
	{name: "primary_crashes", begin: func(w *world, f Fault) { w.groups[f.Group].Leader().Restart(true) }},
	{
		name:    "primary_leaves",
		planned: true,
		begin:   func(w *world, f Fault) { w.groups[f.Group].Leader().SetDraining(true) },
		end: func(w *world, f Fault) {
			for _, d := range w.groups[f.Group].Databases {
				d.SetDraining(false)
			}
		},
	},
	{name: "replica_loses_its_log", rare: true, begin: func(w *world, f Fault) {
		d := w.groups[f.Group].Databases[f.Member]
		if d != w.groups[f.Group].Leader() {
			d.Restart(false)
		}
	}},
	{name: "replica_restarts", begin: func(w *world, f Fault) {
		d := w.groups[f.Group].Databases[f.Member]
		if d != w.groups[f.Group].Leader() {
			d.Restart(true)
		}
	}},
	{
		name:  "replica_lags",
		begin: func(w *world, f Fault) { w.groups[f.Group].Databases[f.Member].Lag(time.Second) },
		end:   func(w *world, f Fault) { w.groups[f.Group].Databases[f.Member].Lag(0) },
	},
	{
		name:  "replica_deaf",
		begin: func(w *world, f Fault) { w.groups[f.Group].Databases[f.Member].SetReplicationCut(true) },
		end:   func(w *world, f Fault) { w.groups[f.Group].Databases[f.Member].SetReplicationCut(false) },
	},
	{name: "endpoint_busy", begin: func(w *world, f Fault) { w.groups[f.Group].Databases[f.Member].AnswerBusy(30) }},
	{name: "write_answer_lost", begin: func(w *world, f Fault) { w.groups[f.Group].Leader().DropAnswer("WRITE") }},
	{name: "commit_answer_lost", begin: func(w *world, f Fault) { w.groups[f.Group].Leader().DropAnswer("COMMIT") }},
	{name: "configuration_changes", planned: true, begin: func(w *world, f Fault) { w.moveDatabase(f.Group) }},
}

// storeRestored takes the store away and brings it back with a state of some seconds
// before. What operators and endpoints wrote since is written again a little later.
var storeRestored = faultKind{
	name:  "store_restored",
	begin: func(w *world, _ Fault) { w.store.Down(true) },
	end: func(w *world, f Fault) {
		lost := w.store.Restore(time.Duration(f.ForMS)*time.Millisecond + restoreAge(f))
		w.store.Down(false)
		time.AfterFunc(rewriteDelay, func() { w.store.Rewrite(lost) })
	},
}

// restoreAge is how long before it went away the store had the state that it comes back
// with.
func restoreAge(f Fault) time.Duration { return time.Duration(1+2*f.Member) * time.Second }

const (
	// rewriteDelay is how long after the store's return lost rows are written again.
	rewriteDelay = 300 * time.Millisecond
	// maxRestoreTime is the longest time for which the store is away before it comes back
	// with an earlier state.
	maxRestoreTime = 1500 * time.Millisecond
	// maxBurst is the maximum number of faults in a burst around a restore, at most
	// maxBurstSpacing apart.
	maxBurst        = 6
	maxBurstSpacing = 400 * time.Millisecond
)

// burstKinds are the faults in a burst: signals, restarts and changes in series.
var burstKinds = []string{
	"host_stopped", "host_reloads", "host_killed", "host_reloads", "configuration_changes", "primary_dark", "store_cut",
}

const (
	// meanFaultInterval is the mean time between the starts of two faults.
	meanFaultInterval = 900 * time.Millisecond
	// maxFaultDuration is the upper limit of a fault's duration.
	maxFaultDuration = 4 * time.Second
)

// Plan derives the faults of a run from its seed.
func Plan(seed uint64, length time.Duration, hosts int) []Fault {
	r := rand.New(rand.NewPCG(seed, 1))
	// Each run uses only some of the kinds, so that the same kind occurs repeatedly.
	some := r.Perm(len(faultKinds))[:3+r.IntN(len(faultKinds)-3)]
	seen := make(map[string]bool)
	var plan []Fault
	for at := meanFaultInterval; at < length; at += time.Duration(r.ExpFloat64() * float64(meanFaultInterval)) {
		k := faultKinds[some[r.IntN(len(some))]]
		f := Fault{
			Kind: k.name, AtMS: at.Milliseconds(), ForMS: 200 + r.Int64N(maxFaultDuration.Milliseconds()-200),
			Host: r.IntN(hosts), Group: r.IntN(groups), Member: r.IntN(membersPerGroup),
		}
		once := fmt.Sprint(k.name, f.Group)
		if k.rare && seen[once] {
			continue
		}
		seen[once] = true
		plan = append(plan, f)
	}
	plan = append(plan, restores(seed, length, hosts)...)
	plan = append(plan, entryFaults(seed, length, hosts)...)
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].AtMS < plan[j].AtMS })
	return plan
}

// restores returns up to two restores of the store, each with a burst of other faults
// that begins before it. They have a random sequence of their own.
func restores(seed uint64, length time.Duration, hosts int) []Fault {
	r := rand.New(rand.NewPCG(seed, 3))
	var plan []Fault
	for range r.IntN(3) {
		at := meanFaultInterval + time.Duration(r.Int64N(int64(max(length-meanFaultInterval-maxRestoreTime, time.Millisecond))))
		plan = append(plan, Fault{
			Kind: storeRestored.name, AtMS: at.Milliseconds(), ForMS: 100 + r.Int64N(maxRestoreTime.Milliseconds()-100), Member: r.IntN(membersPerGroup),
		})
		at -= time.Duration(r.Int64N(int64(2 * time.Second)))
		for range r.IntN(maxBurst + 1) {
			plan = append(plan, Fault{
				Kind: burstKinds[r.IntN(len(burstKinds))], AtMS: max(0, at.Milliseconds()), ForMS: 200 + r.Int64N(1500),
				Host: r.IntN(hosts), Group: r.IntN(groups), Member: r.IntN(membersPerGroup),
			})
			at += time.Duration(r.Int64N(int64(maxBurstSpacing)))
		}
	}
	return plan
}

// step is the begin or end function of a fault, and when to call it.
type step struct {
	at  time.Duration
	run func()
}

// schedule returns the begin and end functions of all faults of a plan in order of
// time. Faults end with the load at the latest.
func (w *world) schedule(plan []Fault, length time.Duration) []step {
	var all []step
	for _, f := range plan {
		k := kindByName(f.Kind)
		at := time.Duration(f.AtMS) * time.Millisecond
		if f.Phase != "" {
			all = append(all, step{at, func() { w.traps.arm(f) }})
			continue
		}
		all = append(all, step{at, func() { k.begin(w, f) }})
		if k.end != nil {
			all = append(all, step{min(at+time.Duration(f.ForMS)*time.Millisecond, length), func() { k.end(w, f) }})
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	return all
}

// kindByName panics if there is no kind with this name.
func kindByName(name string) faultKind {
	for _, kinds := range [][]faultKind{faultKinds, entryKinds, switchKinds, accountKinds, lossKinds, {storeRestored, primarySplit}} {
		for _, k := range kinds {
			if k.name == name {
				return k
			}
		}
	}
	panic("soak: no fault is called " + name)
}

// onlyPlannedFaults reports whether no fault but planned work could have effects
// between two times since the start of the load.
func onlyPlannedFaults(plan []Fault, from, to time.Duration) bool {
	for _, f := range plan {
		begin := time.Duration(f.AtMS) * time.Millisecond
		end := begin + time.Duration(f.ForMS)*time.Millisecond + faultEffectTime
		if f.Phase != "" {
			// It may start in any later switch.
			end = to
		}
		if !kindByName(f.Kind).planned && begin <= to && end >= from {
			return false
		}
	}
	return true
}
