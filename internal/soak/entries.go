package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cumintrestle/cumintrestle/platform/standin"
)

// putOddEntry writes an odd entry, under a key of its own or in place of an endpoint's own one,
// which the endpoint writes again.
func (w *world) putOddEntry(f Fault) {
	d := w.groups[f.Group].Databases[f.Member]
	all := standin.OddEntries(d.Registration("zone-0"), d.Address)
	// Nothing proves that this one never was a replica; see docs/questions.md.
	delete(all, standin.AddressOfOther)
	names := slices.Sorted(maps.Keys(all))
	entry := all[names[int(f.ForMS)%len(names)]]
	if f.Host%4 != 0 {
		w.store.Put("servers", fmt.Sprintf("odd-%d-%d", f.Group, f.AtMS), entry)
		return
	}
	w.store.Put("servers", d.ID, entry)
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.registered, d.ID)
}

// withdraw removes the registration of an endpoint, or lets it register again.
func (w *world) withdraw(id string, withdrawn bool) {
	w.mu.Lock()
	w.withdrawn[id] = withdrawn
	delete(w.registered, id)
	w.mu.Unlock()
	if withdrawn {
		w.store.Drop("servers", id)
	}
}

// entryKinds are faults of the list of endpoints.
var entryKinds = []faultKind{
	{name: "odd_entry", planned: true, begin: func(w *world, f Fault) { w.putOddEntry(f) }},
	{
		// The replica runs on, and follows its primary.
		name:  "replica_cut_from_store",
		begin: func(w *world, f Fault) { w.withdraw(w.endpointID(f), true) },
		end:   func(w *world, f Fault) { w.withdraw(w.endpointID(f), false) },
	},
	{
		name: "replica_away",
		begin: func(w *world, f Fault) {
			if d := w.groups[f.Group].Databases[f.Member]; d != w.groups[f.Group].Leader() {
				d.SetUnresponsive(true)
				w.withdraw(d.ID, true)
			}
		},
		end: func(w *world, f Fault) {
			w.groups[f.Group].Databases[f.Member].SetUnresponsive(false)
			w.withdraw(w.endpointID(f), false)
		},
	},
}

// entryBurst are the faults that meet those of the list of endpoints.
var entryBurst = []string{"replica_deaf", "host_killed", "host_stopped", "primary_dark", "host_reloads"}

// entryFaults returns up to three faults of the list of endpoints, each with other faults of
// the same group around it. They have a random sequence of their own.
func entryFaults(seed uint64, length time.Duration, hosts int) []Fault {
	r := rand.New(rand.NewPCG(seed, 5))
	var plan []Fault
	for range r.IntN(4) {
		at := time.Duration(r.Int64N(int64(max(length-time.Second, time.Millisecond))))
		f := Fault{
			Kind: entryKinds[r.IntN(len(entryKinds))].name, AtMS: at.Milliseconds(), ForMS: 500 + r.Int64N(6000),
			Host: r.IntN(hosts), Group: r.IntN(groups), Member: r.IntN(membersPerGroup),
		}
		plan = append(plan, f)
		for range r.IntN(4) {
			f.Kind, f.Host, f.Member = entryBurst[r.IntN(len(entryBurst))], r.IntN(hosts), r.IntN(membersPerGroup)
			f.AtMS = max(0, f.AtMS-300+r.Int64N(1200))
			f.ForMS = 200 + r.Int64N(4000)
			plan = append(plan, f)
		}
	}
	return plan
}
