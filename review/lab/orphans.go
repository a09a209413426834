package main

import (
	"time"

	"github.com/cumintrestle/cumintrestle/platform/standin"
)

const (
	// downTime is how long the hosts are down after a kill. The longest down_s of a final fault in the
	// site files is 1.6 s.
	downTime = 1600 * time.Millisecond
	// firstKill is the time from the loss of the primary to the first kill of all hosts, secondKill that
	// from their return to the second one.
	firstKill, secondKill = 500 * time.Millisecond, 400 * time.Millisecond
)

// playOrphans loses the primary of a group that was never switched, and kills all hosts twice.
func playOrphans(rec *record) (bool, error) {
	w, g, err := newLedger(rec)
	if err != nil {
		return false, err
	}
	defer w.close()
	primary := g.Leader()
	w.store.Promote = func(id string) bool {
		rec.write("promote call for %s", id)
		for _, d := range g.Databases {
			d.SetReplicationCut(false)
		}
		return g.Promote(id)
	}
	if err := w.startHosts(3); err != nil {
		return false, err
	}
	l := &load{w: w, stop: make(chan struct{})}
	began := time.Now()
	l.start("cards", "views")
	time.Sleep(calmTime)
	if trouble() {
		losePrimary(w, g, primary)
	}
	time.Sleep(firstKill)
	rec.write("all hosts are killed")
	if err := w.restartHosts(downTime); err != nil {
		return false, err
	}
	time.Sleep(secondKill)
	return l.judgeRecovery(began, downTime)
}

// losePrimary loses the primary for good. Its entry in the store lapses.
func losePrimary(w *world, g *standin.Group, primary *standin.Database) {
	for _, d := range g.Databases {
		if d != primary {
			// It has no primary to follow, until there is one again.
			d.SetReplicationCut(true)
		}
	}
	primary.Leave()
	primary.Restart(false)
	w.rec.write("%s is lost for good", primary.ID)
	time.AfterFunc(registrationTime, func() {
		w.store.Drop("servers", primary.ID)
		w.rec.write("the entry of %s is removed", primary.ID)
	})
}
