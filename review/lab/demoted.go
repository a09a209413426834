package main

import (
	"sync"
	"time"

	"github.com/cumintrestle/cumintrestle/platform/standin"
)

const (
	// lossDelay is how long after the promote call the database is lost. A promotion takes
	// 1,000 ms on bathafarn-dies.
	lossDelay = 300 * time.Millisecond
	// splitTime is the longest partition of a primary from its replicas in the site file.
	splitTime = 5 * time.Second
	// outageTime is the time from the disruption to the final fault.
	outageTime = 25 * time.Second
)

// playDemoted cuts a primary off from its replicas until another database is to take over, and loses
// that one before it leads. The final fault comes later.
func playDemoted(rec *record) (bool, error) {
	w, g, err := newLedger(rec)
	if err != nil {
		return false, err
	}
	defer w.close()
	// A commit waits until a replica has received it.
	g.CommitWait = time.Minute
	primary := g.Leader()
	var once sync.Once
	endSplit := func() {
		once.Do(func() {
			g.EndSplit()
			rec.write("%s reaches all databases again", primary.ID)
		})
	}
	if trouble() {
		losePromoted(w, g, primary, endSplit)
	}
	if err := w.startHosts(3); err != nil {
		return false, err
	}
	l := &load{w: w, stop: make(chan struct{})}
	began := time.Now()
	l.start("cards", "views")
	time.Sleep(calmTime)
	if trouble() {
		rec.write("%s is cut off from its replicas", primary.ID)
		g.Split()
		time.AfterFunc(splitTime, endSplit)
	}
	time.Sleep(outageTime)
	return l.judgeRecovery(began, time.Second)
}

// losePromoted loses the first database that is to be promoted for good, shortly after the call, and
// ends the partition of the primary.
func losePromoted(w *world, g *standin.Group, primary *standin.Database, endSplit func()) {
	var once sync.Once
	w.store.Promote = func(id string) bool {
		w.rec.write("promote call for %s", id)
		first := false
		once.Do(func() { first = true })
		if first {
			time.AfterFunc(lossDelay, func() { lose(w, g, primary, id, endSplit) })
			return true
		}
		for _, d := range g.Databases {
			d.SetReplicationCut(false)
		}
		return g.Promote(id)
	}
}

func lose(w *world, g *standin.Group, primary *standin.Database, id string, endSplit func()) {
	for _, d := range g.Databases {
		switch {
		case d.ID == id:
			d.Leave()
			d.Restart(false)
		case d != primary:
			// It has no primary to follow, until there is one again.
			d.SetReplicationCut(true)
		}
	}
	w.rec.write("%s is lost for good, before it leads", id)
	endSplit()
	time.Sleep(registrationTime)
	w.store.Drop("servers", id)
	w.rec.write("the entry of %s is removed", id)
}
