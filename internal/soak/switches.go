package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cumintrestle/cumintrestle/platform/standin"
)

// phase is a step of the replacement of a primary.
type phase string

const (
	// phaseClaimed is when a host has recorded that it replaces the primary.
	phaseClaimed phase = "claimed"
	// phasePaused is when a replica has been paused.
	phasePaused phase = "paused"
	// phaseOrdered is when the promote call has arrived.
	phaseOrdered phase = "ordered"
)

var phases = []phase{phaseClaimed, phasePaused, phaseOrdered}

// spareMembers is the number of endpoints of each group that may join in a run with faults
// in switches.
const spareMembers = 2

// switchTraps starts faults once the replacement of a primary has reached their phase.
type switchTraps struct {
	done chan struct{}
	wg   sync.WaitGroup

	mu    sync.Mutex
	armed []Fault
	// holders has the host that last claimed a switch of each group.
	holders map[int]string
	// sprung counts the faults that have started.
	sprung int
}

// watchSwitches follows the switches of all groups. It has to be called before hosts start.
func (w *world) watchSwitches() {
	w.traps = &switchTraps{done: make(chan struct{}), holders: make(map[int]string)}
	w.store.OnWrite = func(table, key string, value []byte) {
		var record struct {
			Switching bool   `json:"switching"`
			Holder    string `json:"holder"`
		}
		name, ok := strings.CutPrefix(key, "group/")
		if table != "lead" || !ok || json.Unmarshal(value, &record) != nil || !record.Switching {
			return
		}
		w.reached(w.groupIndex(name), phaseClaimed, record.Holder)
	}
	for i, g := range w.groups {
		g.OnPause = func() { w.reached(i, phasePaused, "") }
	}
}

// reached starts the faults that wait for this phase. It does not block. An empty holder
// leaves the known one.
func (w *world) reached(group int, p phase, holder string) {
	t := w.traps
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if holder != "" {
		t.holders[group] = holder
	}
	t.armed = slices.DeleteFunc(t.armed, func(f Fault) bool {
		if f.Group != group || f.Phase != p {
			return false
		}
		if i := slices.IndexFunc(w.hosts, func(p *process) bool { return p.name == t.holders[group] }); i >= 0 {
			f.Host = i
		}
		t.sprung++
		t.wg.Go(func() { w.runTrap(f) })
		return true
	})
}

// runTrap runs one fault until its time or the load is over.
func (w *world) runTrap(f Fault) {
	k := kindByName(f.Kind)
	if !w.traps.sleep(f.DelayMS) {
		return
	}
	k.begin(w, f)
	w.traps.sleep(f.ForMS)
	if k.end != nil {
		k.end(w, f)
	}
}

func (t *switchTraps) sleep(ms int64) bool {
	select {
	case <-t.done:
		return false
	case <-time.After(time.Duration(ms) * time.Millisecond):
		return true
	}
}

func (t *switchTraps) arm(f Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.armed = append(t.armed, f)
}

// close ends all faults and returns how many have started.
func (t *switchTraps) close() int {
	t.mu.Lock()
	t.armed = nil
	t.mu.Unlock()
	close(t.done)
	t.wg.Wait()
	return t.sprung
}

func (w *world) groupIndex(name string) int {
	return slices.IndexFunc(w.groups, func(g *standin.Group) bool { return g.Name == name })
}

// join lets an endpoint that is not a member yet join a group.
func (w *world) join(f Fault) {
	for i, d := range w.groups[f.Group].Databases[membersPerGroup:] {
		if d.Join([]standin.Side{standin.PrimarySide, standin.BothSides}[(f.Member+i)%2]) {
			return
		}
	}
}

// restartPaused restarts one of the group's paused replicas, which ends its pause.
func (w *world) restartPaused(f Fault) {
	all := w.groups[f.Group].Databases
	for i := range all {
		if d := all[(f.Member+i)%len(all)]; d.Paused() && d != w.groups[f.Group].Leader() {
			d.Restart(true)
			return
		}
	}
}

// setControlBusy sets whether a group's endpoints answer control requests with BUSY: all, or
// all but the primary.
func (w *world) setControlBusy(f Fault, busy bool) {
	for _, d := range w.groups[f.Group].Databases {
		if !busy || f.Member == 0 || d != w.groups[f.Group].Leader() {
			d.SetControlBusy(busy)
		}
	}
}

// setOthersCut cuts all hosts but one off from the store only, or ends that.
func (w *world) setOthersCut(f Fault, mode pathMode) {
	for i, p := range w.hosts {
		if i != f.Host {
			p.storeProxy.setMode(p.name, mode)
		}
	}
}

// setSplit cuts a primary off from its replicas and from every second host, or ends that.
func (w *world) setSplit(f Fault, split bool) {
	g := w.groups[f.Group]
	if !split {
		g.EndSplit()
		for _, d := range g.Databases {
			for _, p := range w.hosts {
				w.endpointProxies[d.ID].setMode(p.name, modeOpen)
			}
		}
		return
	}
	primary := g.Leader()
	g.Split()
	for i, p := range w.hosts {
		if (i+f.Host)%2 == 0 {
			w.endpointProxies[primary.ID].setMode(p.name, modeBlocked)
		}
	}
}

var primarySplit = faultKind{
	name:  "primary_split",
	begin: func(w *world, f Fault) { w.setSplit(f, true) },
	end:   func(w *world, f Fault) { w.setSplit(f, false) },
}

// switchKinds are the faults within a switch. Their host is the one that holds it.
var switchKinds = []faultKind{
	{
		name:  "holder_paused",
		begin: func(w *world, f Fault) { w.hosts[f.Host].signal(syscall.SIGSTOP) },
		end:   func(w *world, f Fault) { w.hosts[f.Host].signal(syscall.SIGCONT) },
	},
	signalKind("holder_killed", syscall.SIGKILL, false),
	{
		name:  "holder_cut_from_store",
		begin: func(w *world, f Fault) { w.hosts[f.Host].storeProxy.setMode(w.hosts[f.Host].name, modeBlocked) },
		end:   func(w *world, f Fault) { w.hosts[f.Host].storeProxy.setMode(w.hosts[f.Host].name, modeOpen) },
	},
	{
		name:  "others_cut_from_store",
		begin: func(w *world, f Fault) { w.setOthersCut(f, modeBlocked) },
		end:   func(w *world, f Fault) { w.setOthersCut(f, modeOpen) },
	},
	{
		name:  "control_busy",
		begin: func(w *world, f Fault) { w.setControlBusy(f, true) },
		end:   func(w *world, f Fault) { w.setControlBusy(f, false) },
	},
	replicaJoins, pausedRestarts,
	// Twice, as these two let a commit be completed within the switch.
	replicaJoins, pausedRestarts,
}

var (
	replicaJoins   = faultKind{name: "replica_joins", begin: func(w *world, f Fault) { w.join(f) }}
	pausedRestarts = faultKind{name: "paused_replica_restarts", begin: func(w *world, f Fault) { w.restartPaused(f) }}
)

// switchCauses are the faults that make hosts replace a primary.
var switchCauses = []string{primarySplit.name, primarySplit.name, "primary_leaves", "primary_dark"}

// SwitchPlan derives from a seed faults that make hosts replace primaries, and others in the
// middle of that.
func SwitchPlan(seed uint64, length time.Duration, hosts int) []Fault {
	r := rand.New(rand.NewPCG(seed, 7))
	var plan []Fault
	for at := int64(800); at < length.Milliseconds()-2000; at += 1200 + r.Int64N(2500) {
		cause := Fault{Kind: switchCauses[r.IntN(len(switchCauses))], AtMS: at, ForMS: 2000 + r.Int64N(3000), Host: r.IntN(hosts), Group: r.IntN(groups)}
		plan = append(plan, cause)
		if r.IntN(3) > 0 {
			// This host is on the primary's side of a split.
			plan = append(plan, Fault{Kind: "store_cut", AtMS: at - 400 + r.Int64N(1600), ForMS: 2000 + r.Int64N(5000), Host: (cause.Host + 1) % hosts})
		}
		for range 2 + r.IntN(4) {
			f := Fault{
				Kind: switchKinds[r.IntN(len(switchKinds))].name, AtMS: at, Phase: phases[r.IntN(len(phases))], DelayMS: max(0, r.Int64N(1200)-300),
				ForMS: 100 + r.Int64N(3000), Group: cause.Group, Member: r.IntN(membersPerGroup),
			}
			if r.IntN(4) == 0 {
				// Longer than a lease and the margin after it.
				f.ForMS += 7000
			}
			plan = append(plan, f)
		}
		if r.IntN(3) == 0 {
			// No other host learns of the switch, and a replica receives again after the last
			// look at the positions.
			f := Fault{Kind: "others_cut_from_store", AtMS: at, Phase: phaseClaimed, ForMS: 1500, Group: cause.Group, Member: r.IntN(membersPerGroup)}
			again := f
			again.Kind, again.Phase, again.DelayMS = "paused_replica_restarts", phaseOrdered, r.Int64N(200)
			plan = append(plan, f, again)
		}
		for range r.IntN(3) {
			plan = append(plan, Fault{
				Kind: burstKinds[r.IntN(len(burstKinds))], AtMS: at + r.Int64N(1500), ForMS: 200 + r.Int64N(1500), Host: r.IntN(hosts), Group: r.IntN(groups),
			})
		}
	}
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].AtMS < plan[j].AtMS })
	return plan
}

// PrimaryPlan takes the primary of each group away in turn. Every second one crashes, the
// others go silent.
func PrimaryPlan(_ uint64, length time.Duration, _ int) []Fault {
	var plan []Fault
	for i, at := 0, int64(1500); at < length.Milliseconds()-5000; i, at = i+1, at+2000 {
		f := Fault{Kind: "primary_dark", AtMS: at, ForMS: 4500, Group: i % groups}
		plan = append(plan, f)
		if i%2 == 1 {
			f.Kind, f.ForMS = "primary_crashes", 0
			plan = append(plan, f)
		}
	}
	return plan
}

// runFaults starts the faults of a plan at their times, and ends those that wait for a
// switch with the load.
func (w *world) runFaults(ctx context.Context, began time.Time, plan []Fault) {
	for _, s := range w.schedule(plan, w.opt.Length) {
		time.Sleep(time.Until(began.Add(s.at)))
		s.run()
	}
	<-ctx.Done()
	if w.traps != nil {
		w.sprung = w.traps.close()
	}
}
