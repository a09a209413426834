package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/cumintrestle/cumintrestle/platform/standin"
)

const (
	// joinDelay is the time from the beginning of the replicas' deafness to the start of the new database,
	// joinedTime that from then to the crash of the primary.
	joinDelay, joinedTime = 200 * time.Millisecond, 800 * time.Millisecond
	// storeCutTime is how long the new database is cut off from the store.
	storeCutTime = 5 * time.Second
	// deafTime is how long the replicas receive nothing, darkTime how long the primary is dark.
	deafTime, darkTime = 6500 * time.Millisecond, 7 * time.Second
)

// writers write values that differ, and note which were acknowledged.
type writers struct {
	w    *world
	stop chan struct{}
	wg   sync.WaitGroup

	mu    sync.Mutex
	next  int
	acked map[string]time.Time
}

func (s *writers) start(perHost int, hosts ...*host) {
	for _, h := range hosts {
		for range perHost {
			s.wg.Go(func() { s.run(h) })
		}
	}
}

func (s *writers) run(h *host) {
	var c *standin.Caller
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(30 * time.Millisecond):
		}
		s.mu.Lock()
		s.next++
		value := fmt.Sprintf("v%d", s.next)
		s.mu.Unlock()
		var a standin.Answer
		var err error
		if c == nil {
			c, err = standin.Connect(h.callers, "cards", 2*time.Second)
		}
		if err == nil {
			a, err = c.Query("w"+value, "WRITE 1 "+value)
		}
		if err == nil && a.Done() {
			s.mu.Lock()
			s.acked[value] = time.Now()
			s.mu.Unlock()
		}
		s.w.rec.write("WRITE 1 %s at %s: digest %q, code %q %.50q, error %v", value, h.name, a.Digest, a.Code, a.Reason, err)
		if c != nil && (err != nil || !a.Done()) {
			c.Close()
			c = nil
		}
	}
}

// read reads until stop.
func (s *writers) read(h *host) {
	var c *standin.Caller
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for n := 0; ; n++ {
		select {
		case <-s.stop:
			return
		case <-time.After(30 * time.Millisecond):
		}
		var a standin.Answer
		var err error
		if c == nil {
			c, err = standin.Connect(h.callers, "cards", 2*time.Second)
		}
		if err == nil {
			a, err = c.Query(fmt.Sprintf("r%d", n), "READ 1")
		}
		if c != nil && (err != nil || !a.Done()) {
			c.Close()
			c = nil
		}
	}
}

// playJoined starts a new database while the replicas receive nothing, and then crashes the primary.
func playJoined(rec *record) (bool, error) {
	w, g, err := newLedgerOf(rec, 4)
	if err != nil {
		return false, err
	}
	defer w.close()
	primary, added := g.Leader(), g.Databases[3]
	added.Leave()
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
	if trouble() {
		w.cutFromStore(added.ID, true)
		for _, d := range g.Databases[1:3] {
			d.SetReplicationCut(true)
		}
		rec.write("%s and %s receive nothing from here on", g.Databases[1].ID, g.Databases[2].ID)
	}
	began := time.Now()
	time.Sleep(joinDelay)
	added.Join(standin.BothSides)
	rec.write("%s is started for a release and joins", added.ID)
	time.Sleep(joinedTime)
	if trouble() {
		primary.SetUnresponsive(true)
		rec.write("%s is dark", primary.ID)
		time.AfterFunc(darkTime, func() {
			primary.SetUnresponsive(false)
			rec.write("%s is back with its log", primary.ID)
		})
	}
	time.Sleep(time.Until(began.Add(joinDelay + storeCutTime)))
	w.cutFromStore(added.ID, false)
	rec.write("%s reaches the store", added.ID)
	time.Sleep(time.Until(began.Add(deafTime)))
	for _, d := range g.Databases[1:3] {
		d.SetReplicationCut(false)
	}
	time.Sleep(time.Until(began.Add(joinDelay + joinedTime + darkTime + 2*time.Second)))
	close(s.stop)
	s.wg.Wait()
	return s.countLost(g), nil
}

// countLost reports whether a database was promoted without a commit that was acknowledged before.
func (s *writers) countLost(g *standin.Group) bool {
	lost := 0
	for _, p := range g.Promotions() {
		missing := 0
		for value, at := range s.acked {
			if !p.Kept[value] && g.CommitTerm(value) < p.Term {
				missing++
				s.w.rec.write("LOST: %s, acknowledged at %.3f, isn't in the log of %s, promoted for term %d", value, at.Sub(s.w.rec.began).Seconds(), p.ID, p.Term)
			}
		}
		s.w.rec.write("%s was promoted for term %d; its log lacked %d acknowledged commits", p.ID, p.Term, missing)
		lost += missing
	}
	s.w.rec.write("%d writes were acknowledged, %d of them are lost", len(s.acked), lost)
	return lost > 0
}
