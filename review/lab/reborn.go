package main

import (
	"sync"
	"time"

	"github.com/cumintrestle/cumintrestle/platform/standin"
)

const (
	// deafBefore is how long one replica has received nothing when the primary goes dark, crashDelay the time
	// from then to the crash of the other replica, and startDelay that from its crash to its new start.
	deafBefore, crashDelay, startDelay = time.Second, 300 * time.Millisecond, 300 * time.Millisecond
)

// playReborn lets one replica receive nothing, crashes the primary, and lets the other replica start again
// under its ID, cut off from the store.
func playReborn(rec *record) (bool, error) {
	w, g, err := newLedger(rec)
	if err != nil {
		return false, err
	}
	defer w.close()
	primary, reborn, deaf := g.Leader(), g.Databases[1], g.Databases[2]
	w.store.Promote = func(id string) bool {
		rec.write("promote call for %s", id)
		return g.Promote(id)
	}
	if err := w.startHosts(3); err != nil {
		return false, err
	}
	s := &writers{w: w, stop: make(chan struct{}), acked: make(map[string]time.Time)}
	s.start(4, w.hosts[1:]...)
	// The clients of the first host read only.
	for range 4 {
		s.wg.Go(func() { s.read(w.hosts[0]) })
	}
	time.Sleep(5 * time.Second)
	began := time.Now()
	var ends sync.WaitGroup
	if trouble() {
		rec.write("%s receives nothing from here on", deaf.ID)
		deaf.SetReplicationCut(true)
		ends.Go(func() {
			time.Sleep(deafTime)
			deaf.SetReplicationCut(false)
			rec.write("%s receives again", deaf.ID)
		})
		time.Sleep(deafBefore)
		primary.SetUnresponsive(true)
		rec.write("%s is dark", primary.ID)
		ends.Go(func() {
			time.Sleep(darkTime)
			primary.SetUnresponsive(false)
			rec.write("%s is back with its log", primary.ID)
		})
		time.Sleep(crashDelay)
		w.cutFromStore(reborn.ID, true)
		reborn.Leave()
		reborn.Restart(false)
		rec.write("%s is cut off from the store and crashes", reborn.ID)
		ends.Go(func() {
			time.Sleep(storeCutTime)
			w.cutFromStore(reborn.ID, false)
			rec.write("%s reaches the store", reborn.ID)
		})
		time.Sleep(startDelay)
		reborn.Join(standin.BothSides)
		rec.write("%s has started again and holds nothing", reborn.ID)
	}
	ends.Wait()
	time.Sleep(time.Until(began.Add(deafBefore + darkTime + 3*time.Second)))
	close(s.stop)
	s.wg.Wait()
	return s.countLost(g), nil
}
