package soak

import (
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/history"
	"github.com/cumintrestle/cumintrestle/platform/standin"
)

// writeOnce writes one value to a database.
func writeOnce(t *testing.T, d *standin.Database, value string) standin.Answer {
	t.Helper()
	return runOnce(t, d, "WRITE a "+value)
}

// readAfter reads from a database whose log has to have a position.
func readAfter(t *testing.T, d *standin.Database, position string) standin.Answer {
	t.Helper()
	return runOnce(t, d, "AFTER "+position+" READ a")
}

func runOnce(t *testing.T, d *standin.Database, text string) standin.Answer {
	t.Helper()
	c, err := standin.Connect(d.Address, "orders", 2*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	a, err := c.Query("q", text)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// TestCommitThroughJoinedReplicaIsLost checks that the primary completes a waiting commit once
// a replica joins, and that the checker finds it missing in the log that was promoted.
func TestCommitThroughJoinedReplicaIsLost(t *testing.T) {
	g := standin.NewGroup("orders", 4)
	defer g.Close()
	g.CommitWait = 2 * time.Second
	g.Databases[3].Leave()
	l := newLedger()
	l.texts.plain = true
	ack := func(n int, value string, d *standin.Database) {
		if a := writeOnce(t, d, value); !a.Done() {
			t.Fatalf("write %s: %+v", value, a)
		}
		l.recordWrite(0, "a", n, "s", history.Acked)
	}
	ack(1, "a:1", g.Databases[0])
	g.Split()
	timer := time.AfterFunc(100*time.Millisecond, func() { g.Databases[3].Join(standin.PrimarySide) })
	defer timer.Stop()
	ack(2, "a:2", g.Databases[0])

	g.Promote(g.Databases[1].ID)
	for end := time.Now().Add(5 * time.Second); len(g.Promotions()) == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	g.EndSplit()
	g.Replicate()
	ack(3, "a:3", g.Databases[1])

	gaps := l.checkSwitches([]*standin.Group{g})
	if len(gaps) != 1 || gaps[0].Endpoint != g.Databases[1].ID || gaps[0].Term != 2 || gaps[0].MS < g.PromoteAfter.Milliseconds() {
		t.Errorf("gaps %+v, want one of at least %s", gaps, g.PromoteAfter)
	}
	if len(l.violations) != 1 || l.violations[0].Kind != "lost_by_promotion" || l.violations[0].ID != "a:2" {
		t.Errorf("violations %+v, want only a:2 lost by the promotion", l.violations)
	}
}

// TestSplitPrimaryLeadsOn checks that a primary that is cut off from the promoted replica goes
// on with a replica on its side.
func TestSplitPrimaryLeadsOn(t *testing.T) {
	g := standin.NewGroup("orders", 4)
	defer g.Close()
	g.Databases[3].Leave()
	g.Split()
	g.Databases[3].Join(standin.PrimarySide)
	g.Promote(g.Databases[1].ID)
	for end := time.Now().Add(5 * time.Second); len(g.Promotions()) == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if a := writeOnce(t, g.Databases[0], "a:1"); !a.Done() {
		t.Errorf("a write at the old primary is answered with %+v, want it done", a)
	}
	if a := writeOnce(t, g.Databases[1], "a:2"); !a.Done() {
		t.Errorf("a write at the new primary is answered with %+v, want it done", a)
	}
	if term := g.CommitTerm("a:1"); term != 1 {
		t.Errorf("the old primary commits in term %d, want 1", term)
	}
	if a := readAfter(t, g.Databases[0], "2.1"); a.Code != standin.LacksPosition {
		t.Errorf("a read at the old primary after a position of the new term is answered with %+v, want %s", a, standin.LacksPosition)
	}
	g.EndSplit()
	g.Replicate()
	if a := writeOnce(t, g.Databases[0], "a:3"); a.Code != "READONLY" {
		t.Errorf("after the partition a write at the old primary is answered with %+v, want READONLY", a)
	}
}

// TestSwitchFaultsStartInTheirPhase checks that a fault waits for the switch of its own group,
// and hits the host that holds that.
func TestSwitchFaultsStartInTheirPhase(t *testing.T) {
	w := &world{traps: &switchTraps{done: make(chan struct{}), holders: make(map[int]string)}}
	for _, name := range []string{"host-0", "host-1"} {
		p, err := newProxy("127.0.0.1:9", name)
		if err != nil {
			t.Fatal(err)
		}
		defer p.close()
		w.hosts = append(w.hosts, &process{w: w, name: name, storeProxy: p})
	}
	w.traps.arm(Fault{Kind: "holder_cut_from_store", Phase: phasePaused, ForMS: 60000, Group: 1})
	w.reached(1, phaseClaimed, "host-1")
	w.reached(0, phasePaused, "host-0")
	if len(w.traps.armed) != 1 {
		t.Fatal("the fault started before its phase")
	}
	w.reached(1, phasePaused, "")
	mode := func() pathMode {
		p := w.hosts[1].storeProxy
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.modes["host-1"]
	}
	for end := time.Now().Add(5 * time.Second); mode() != modeBlocked; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the fault did not start")
		}
	}
	if n := w.traps.close(); n != 1 || mode() != modeOpen {
		t.Errorf("%d faults have started, the path is in mode %d, want 1 and open", n, mode())
	}
}

// TestSwitchPlan checks that a plan follows from its seed, and that each fault is known.
func TestSwitchPlan(t *testing.T) {
	a, b := SwitchPlan(7, time.Minute, 5), SwitchPlan(7, time.Minute, 5)
	within := 0
	for i := range a {
		if a[i] != b[i] {
			t.Errorf("fault %d differs: %+v and %+v", i, a[i], b[i])
		}
		kindByName(a[i].Kind)
		if a[i].Phase != "" {
			within++
		}
	}
	if within == 0 {
		t.Error("no fault waits for a switch")
	}
}

// TestJoinedReplicaKnowsNoTerm checks that a replica that has reached no primary reports an
// empty log that is behind all others.
func TestJoinedReplicaKnowsNoTerm(t *testing.T) {
	g := standin.NewGroup("orders", 2)
	defer g.Close()
	g.Databases[1].Leave()
	g.Databases[0].SetUnresponsive(true)
	g.Databases[1].Join(standin.BothSides)
	c, err := standin.Connect(g.Databases[1].Address, "orders", time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	a, err := c.Query("-", "STATUS")
	if want := "replica 0 0.0 0 0 0 1"; err != nil || len(a.Rows) != 1 || a.Rows[0] != want {
		t.Errorf("status %v, error %v, want %q", a.Rows, err, want)
	}
}
