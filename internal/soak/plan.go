package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"syscall"
	"time"
)

// Fault is one entry of a run's plan.
type Fault struct {
	Kind string `json:"kind"`
	// AtMS and ForMS are from the start of the load.
	AtMS  int64 `json:"at_ms"`
	ForMS int64 `json:"for_ms"`
	// Host, Group and Member say where, as far as the kind needs it.
	Host   int `json:"host"`
	Group  int `json:"group"`
	Member int `json:"member"`
}

// kind is one kind of fault: what begins it, and what ends it.
type kind struct {
	name string
	// planned work must not cut a request.
	planned    bool
	begin, end func(w *world, f Fault)
	// rare kinds come at most once for each group in a run.
	rare bool
}

func (w *world) member(f Fault) string { return w.group[f.Group].Databases[f.Member].ID }

func path(way way) (begin, end func(w *world, f Fault)) {
	return func(w *world, f Fault) { w.before[w.member(f)].set(w.hosts[f.Host].name, way) },
		func(w *world, f Fault) { w.before[w.member(f)].set(w.hosts[f.Host].name, wayOpen) }
}

func pathKind(name string, way way) kind {
	begin, end := path(way)
	return kind{name: name, begin: begin, end: end}
}

func storeKind(name string, way way) kind {
	return kind{
		name: name,
		begin: func(w *world, f Fault) {
			w.hosts[f.Host].store.set(w.hosts[f.Host].name, way)
			w.hosts[f.Host].order.set(w.hosts[f.Host].name, way)
		},
		end: func(w *world, f Fault) {
			w.hosts[f.Host].store.set(w.hosts[f.Host].name, wayOpen)
			w.hosts[f.Host].order.set(w.hosts[f.Host].name, wayOpen)
		},
	}
}

func signalKind(name string, s syscall.Signal, planned bool) kind {
	return kind{name: name, planned: planned, begin: func(w *world, f Fault) { w.hosts[f.Host].signal(s) }}
}

// kinds are all kinds of faults, in the order in which a seed chooses them.
var kinds = []kind{
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
	pathKind("path_slow", waySlow), pathKind("path_cut", wayCut), pathKind("path_mute", wayMute),
	pathKind("path_deaf", wayDeaf), pathKind("path_silent", waySilent),
	{name: "path_reset", begin: func(w *world, f Fault) { w.before[w.member(f)].reset(w.hosts[f.Host].name) }},
	storeKind("store_cut", wayCut), storeKind("store_mute", wayMute), storeKind("store_silent", waySilent),
	storeKind("store_slow", waySlow),
	{
		name:  "store_down",
		begin: func(w *world, _ Fault) { w.store.Down(true) },
		end:   func(w *world, _ Fault) { w.store.Down(false) },
	},
	{name: "store_answers_lost", begin: func(w *world, _ Fault) { w.store.DropAnswers(2) }},
	{name: "store_forgets", begin: func(w *world, _ Fault) { w.store.ForgetHistory() }},
	{
		name:  "primary_dark",
		begin: func(w *world, f Fault) { w.group[f.Group].Leader().SetUnresponsive(true) },
		end: func(w *world, f Fault) {
			for _, d := range w.group[f.Group].Databases {
				d.SetUnresponsive(false)
			}
		},
	},
	{name: "primary_crashes", begin: func(w *world, f Fault) { w.group[f.Group].Leader().Restart(true) }},
	{
		name:    "primary_leaves",
		planned: true,
		begin:   func(w *world, f Fault) { w.group[f.Group].Leader().SetDraining(true) },
		end: func(w *world, f Fault) {
			for _, d := range w.group[f.Group].Databases {
				d.SetDraining(false)
			}
		},
	},
	{name: "replica_loses_its_log", rare: true, begin: func(w *world, f Fault) {
		d := w.group[f.Group].Databases[f.Member]
		if d != w.group[f.Group].Leader() {
			d.Restart(false)
		}
	}},
	{name: "replica_restarts", begin: func(w *world, f Fault) {
		d := w.group[f.Group].Databases[f.Member]
		if d != w.group[f.Group].Leader() {
			d.Restart(true)
		}
	}},
	{
		name:  "replica_lags",
		begin: func(w *world, f Fault) { w.group[f.Group].Databases[f.Member].Lag(time.Second) },
		end:   func(w *world, f Fault) { w.group[f.Group].Databases[f.Member].Lag(0) },
	},
	{
		name:  "replica_deaf",
		begin: func(w *world, f Fault) { w.group[f.Group].Databases[f.Member].SetReplicationCut(true) },
		end:   func(w *world, f Fault) { w.group[f.Group].Databases[f.Member].SetReplicationCut(false) },
	},
	{name: "endpoint_busy", begin: func(w *world, f Fault) { w.group[f.Group].Databases[f.Member].AnswerBusy(30) }},
	{name: "write_answer_lost", begin: func(w *world, f Fault) { w.group[f.Group].Leader().DropAnswer("WRITE") }},
	{name: "commit_answer_lost", begin: func(w *world, f Fault) { w.group[f.Group].Leader().DropAnswer("COMMIT") }},
	{name: "configuration_changes", planned: true, begin: func(w *world, f Fault) { w.configure(f.Group) }},
}

const (
	// faultEvery is the mean pause between two faults of a plan.
	faultEvery = 900 * time.Millisecond
	// longestFault bounds how long one fault lasts.
	longestFault = 4 * time.Second
)

// Plan draws the faults of a run from its seed.
func Plan(seed uint64, length time.Duration, hosts int) []Fault {
	r := rand.New(rand.NewPCG(seed, 1))
	// Each run draws from some of the kinds, so that series of one kind come.
	some := r.Perm(len(kinds))[:3+r.IntN(len(kinds)-3)]
	seen := make(map[string]bool)
	var plan []Fault
	for at := faultEvery; at < length; at += time.Duration(r.ExpFloat64() * float64(faultEvery)) {
		k := kinds[some[r.IntN(len(some))]]
		f := Fault{
			Kind: k.name, AtMS: at.Milliseconds(), ForMS: 200 + r.Int64N(longestFault.Milliseconds()-200),
			Host: r.IntN(hosts), Group: r.IntN(groups), Member: r.IntN(membersPerGroup),
		}
		once := fmt.Sprint(k.name, f.Group)
		if k.rare && seen[once] {
			continue
		}
		seen[once] = true
		plan = append(plan, f)
	}
	return plan
}

// step is the beginning or the end of a fault.
type step struct {
	at  time.Duration
	run func()
}

// steps lays the plan out in time. Faults end with the load at the latest.
func (w *world) steps(plan []Fault, length time.Duration) []step {
	var all []step
	for _, f := range plan {
		k := kindOf(f.Kind)
		at := time.Duration(f.AtMS) * time.Millisecond
		all = append(all, step{at, func() { k.begin(w, f) }})
		if k.end != nil {
			all = append(all, step{min(at+time.Duration(f.ForMS)*time.Millisecond, length), func() { k.end(w, f) }})
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	return all
}

func kindOf(name string) kind {
	for _, k := range kinds {
		if k.name == name {
			return k
		}
	}
	panic("soak: no fault is called " + name)
}

// calm reports whether nothing but planned work went on in a span of the run.
func calm(plan []Fault, from, to time.Duration) bool {
	for _, f := range plan {
		begin := time.Duration(f.AtMS) * time.Millisecond
		end := begin + time.Duration(f.ForMS)*time.Millisecond + settleTime
		if !kindOf(f.Kind).planned && begin <= to && end >= from {
			return false
		}
	}
	return true
}
