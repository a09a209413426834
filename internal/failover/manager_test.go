package failover

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// world is a group of three endpoints and a store, without any I/O.
type world struct {
	mu       sync.Mutex
	reports  map[replicaset.EndpointID]replicaset.Status
	silent   map[replicaset.EndpointID]bool
	pauses   []session.Term
	promoted []replicaset.EndpointID
	tokens   []uint64
	state    State
	version  uint64
	conflict bool
	changes  []Change
	// exposed is set once a replica says that it follows an old primary which has
	// been replaced, while that one still says that it leads.
	exposed bool
}

func at(t, n int) session.Point {
	return session.Point{Term: session.Term(t), Position: session.Position(n)}
}

func newWorld() *world {
	return &world{
		silent: make(map[replicaset.EndpointID]bool),
		reports: map[replicaset.EndpointID]replicaset.Status{
			"p": {Role: replicaset.Primary, Term: 1, Received: at(1, 9)},
			"a": {Role: replicaset.Replica, Term: 1, Received: at(1, 8)},
			"b": {Role: replicaset.Replica, Term: 1, Received: at(1, 9)},
		},
		state: State{Leads: make(map[session.Group]replicaset.Lead)},
	}
}

func (w *world) lag(id replicaset.EndpointID, lag time.Duration, received session.Point) {
	st := w.reports[id]
	st.Lag, st.Received = lag, received
	w.reports[id] = st
}

func (w *world) answer(id replicaset.EndpointID, op engine.Op) (engine.Outcome, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.silent[id] {
		return engine.Outcome{}, context.DeadlineExceeded
	}
	st := w.reports[id]
	switch {
	case op.Kind == engine.OpPause:
		st.Held = op.Term
		w.pauses = append(w.pauses, op.Term)
	case op.Kind == engine.OpResume:
		st.Held = 0
	case op.Kind == engine.OpDemote && st.Role == replicaset.Primary && st.Term < op.Term:
		st.Role = replicaset.Replica
	}
	w.reports[id] = st
	w.look()
	return engine.Outcome{Report: st}, nil
}

// look notes whether the old primary could be proved to lead after a promotion.
func (w *world) look() {
	old := w.reports["p"]
	if len(w.promoted) == 0 || w.silent["p"] || old.Role != replicaset.Primary {
		return
	}
	for _, st := range w.reports {
		if st.Role == replicaset.Replica && st.Term == old.Term && st.Held <= st.Term {
			w.exposed = true
		}
	}
}

func (w *world) promote(_ context.Context, _ session.Group, id replicaset.EndpointID, _ string, token uint64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.promoted = append(w.promoted, id)
	w.tokens = append(w.tokens, token)
	st := w.reports[id]
	st.Role, st.Term, st.Held = replicaset.Primary, st.Term+1, 0
	w.reports[id] = st
	for o, other := range w.reports {
		// A promotion ends the pauses for its term; that it happened the others hear
		// later.
		if other.Held <= st.Term {
			other.Held = 0
			w.reports[o] = other
		}
	}
	w.look()
	return nil
}

func (w *world) read(context.Context) (State, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	st := State{Duty: w.state.Duty, Now: w.state.Now, Leads: make(map[session.Group]replicaset.Lead)}
	for g, l := range w.state.Leads {
		st.Leads[g] = l
	}
	return st, nil
}

func (w *world) write(_ context.Context, c Change) (uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conflict || !c.KeepDuty && c.Duty.Version != w.state.Duty.Version || c.Lead.Version != w.state.Leads[c.Group].Version {
		return 0, ErrConflict
	}
	w.version++
	c.Duty.Version, c.Lead.Version = w.version, w.version
	if !c.KeepDuty {
		w.state.Duty = c.Duty
	}
	w.state.Leads[c.Group] = c.Lead
	w.changes = append(w.changes, c)
	return w.version, nil
}

func (w *world) manager(t *testing.T) (*Manager, *replicaset.Set) {
	start := time.Now()
	boot := func() replicaset.Instant { return replicaset.Instant(time.Minute + time.Since(start)) }
	e := &engine.Engine{Zone: "z", Now: time.Now, Boot: boot, Event: func(v engine.Event) {
		t.Logf("%s %s %s", v.Decision, v.Endpoint, v.Reason)
	}}
	e.Dial = func(_ context.Context, m replicaset.Member) (*engine.Conn, error) {
		return &engine.Conn{Endpoint: m.ID, Close: func() {}, Do: func(_ time.Time, ops ...engine.Op) ([]engine.Outcome, error) {
			o, err := w.answer(m.ID, ops[0])
			return []engine.Outcome{o}, err
		}}, nil
	}
	e.Apply(&engine.Declared{Version: 1, Groups: map[session.Group]engine.GroupPolicy{"g": {MaxConnections: 9, Synchronous: true}}})
	set := e.Group("g")
	for _, id := range []replicaset.EndpointID{"p", "a", "b"} {
		role := replicaset.Replica
		if id == "p" {
			role = replicaset.Primary
		}
		set.Register(boot(), replicaset.Member{ID: id, Group: "g", Address: string(id), Role: role, Slots: 1, Started: 1})
	}
	return &Manager{
		Self: "host-1", Engine: e, Promote: w.promote, Records: Records{Read: w.read, Write: w.write},
	}, set
}

// switches are the situations in which a switch starts, and who leads then.
var switches = []struct {
	name     string
	reason   string
	change   func(w *world, set *replicaset.Set)
	promoted replicaset.EndpointID
	lead     replicaset.EndpointID
}{
	{"the furthest replica leads", reasonSilent, func(w *world, _ *replicaset.Set) { w.silent["p"] = true }, "b", "b"},
	{"replicas that lag leave all reads to the primary", reasonPressed, func(w *world, _ *replicaset.Set) {
		w.lag("a", 20*time.Second, at(1, 9))
		w.lag("b", 10*time.Second, at(1, 9))
	}, "a", "a"},
	{"the one that lags has not received all", reasonPressed, func(w *world, _ *replicaset.Set) {
		w.lag("a", 20*time.Second, at(1, 8))
	}, "", "p"},
	{"a primary that leaves", reasonDraining, func(*world, *replicaset.Set) {}, "b", "b"},
	{"a replica does not answer and may hold more", reasonSilent, func(w *world, _ *replicaset.Set) {
		w.silent["p"], w.silent["b"] = true, true
	}, "", "p"},
	{"a replica came back without its log", reasonSilent, func(w *world, set *replicaset.Set) {
		w.silent["p"] = true
		m, _ := set.Member("b")
		m.Started = 2
		set.Register(replicaset.Instant(time.Minute), m)
	}, "", "p"},
	{"more was acknowledged than any replica has", reasonSilent, func(w *world, set *replicaset.Set) {
		w.silent["p"] = true
		set.Acknowledge(at(1, 12))
	}, "", "p"},
	{"another host holds the duty", reasonSilent, func(w *world, _ *replicaset.Set) {
		w.silent["p"] = true
		w.state.Duty = Duty{Holder: "host-2", Token: 4, Until: time.Hour}
	}, "", "p"},
	{"the record changed meanwhile", reasonSilent, func(w *world, _ *replicaset.Set) { w.conflict = true }, "", "p"},
	{"a promotion was not recorded", reasonOrphaned, func(w *world, set *replicaset.Set) {
		w.reports["a"] = replicaset.Status{Role: replicaset.Primary, Term: 2, Received: at(1, 9)}
		w.state.Leads["g"] = replicaset.Lead{ID: "p", Term: 1, Switching: true, Version: 5}
		w.version = 5
		set.SetLead(1, w.state.Leads["g"])
	}, "", "a"},
}

func TestSwitchover(t *testing.T) {
	for _, tt := range switches {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld()
			m, set := w.manager(t)
			tt.change(w, set)
			m.switchover(context.Background(), set, set.Lead().Version, tt.reason)
			w.mu.Lock()
			defer w.mu.Unlock()
			if tt.promoted == "" && len(w.promoted) > 0 || tt.promoted != "" && (len(w.promoted) != 1 || w.promoted[0] != tt.promoted) {
				t.Errorf("promoted %v, want %q", w.promoted, tt.promoted)
			}
			if lead := set.Lead(); lead.ID != tt.lead || lead.Switching {
				t.Errorf("the group is led by %+v, want %s and no switch", lead, tt.lead)
			}
			if w.exposed {
				t.Error("the old primary can be proved to lead after the promotion")
			}
			for _, p := range w.pauses {
				if p != 3 {
					t.Errorf("replicas are paused for the terms %v, want only the one after the next", w.pauses)
					break
				}
			}
			for id, st := range w.reports {
				if tt.lead != "p" && !w.silent[id] && st.Held != 0 {
					t.Errorf("%s is left paused: %s", id, st)
				}
			}
		})
	}
}

// TestTokensGrow checks that each new holder gets a higher fencing token, also
// after a holder that died with the duty.
func TestTokensGrow(t *testing.T) {
	w := newWorld()
	w.silent["p"] = true
	w.state.Duty = Duty{Holder: "host-2", Token: 7, Until: time.Second}
	w.state.Now = time.Hour
	m, set := w.manager(t)
	m.switchover(context.Background(), set, set.Lead().Version, reasonSilent)
	if len(w.tokens) != 1 || w.tokens[0] != 8 {
		t.Errorf("tokens %v were sent, want 8", w.tokens)
	}
	if d := w.state.Duty; d.Holder != "" || d.Token != 8 {
		t.Errorf("the duty is left as %+v, want it free with token 8", d)
	}
}

// TestUnheard checks what a survey takes for a dead primary.
func TestUnheard(t *testing.T) {
	tests := []struct {
		name   string
		change func(w *world)
		dead   bool
	}{
		{"replicas receive nothing", func(w *world) { w.silent["p"] = true }, true},
		{"the primary answers again", func(*world) {}, false},
		{"nobody answers: this host is cut off", func(w *world) {
			w.silent["p"], w.silent["a"], w.silent["b"] = true, true, true
		}, false},
		{"a replica goes on receiving", func(w *world) {
			w.silent["p"] = true
			go func() {
				for n := 10; n < 60; n++ {
					time.Sleep(50 * time.Millisecond)
					w.mu.Lock()
					w.reports["a"] = replicaset.Status{Role: replicaset.Replica, Term: 1, Received: at(1, n)}
					w.mu.Unlock()
				}
			}()
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld()
			m, set := w.manager(t)
			tt.change(w)
			set.Avoid(m.Engine.Boot().Add(-time.Second), "p")
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			if got := m.unheard(ctx, set, set.Lead(), reasonSilent); got != tt.dead {
				t.Errorf("unheard gives %t, want %t", got, tt.dead)
			}
		})
	}
}

// TestPressed answers the load of replicas that apply their log many seconds late:
// the primary has all reads of its group and more work than it can do.
func TestPressed(t *testing.T) {
	tests := []struct {
		name  string
		lag   time.Duration
		press bool
		want  string
	}{
		{"pressed, and a replica lags", 20 * time.Second, true, "a"},
		{"pressed, and no replica lags", time.Second, true, ""},
		{"a replica lags, and the primary has time", 20 * time.Second, false, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld()
			m, set := w.manager(t)
			w.lag("a", tt.lag, at(1, 9))
			ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
			defer cancel()
			done := make(chan error, 1)
			go func() { done <- m.Run(ctx) }()
			for ctx.Err() == nil {
				if tt.press {
					set.Overloaded(m.Engine.Boot(), "p")
				}
				time.Sleep(20 * time.Millisecond)
			}
			if err := <-done; err != nil {
				t.Fatal(err)
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			got := ""
			for _, id := range w.promoted {
				got += string(id)
			}
			if got != tt.want {
				t.Errorf("promoted %q, want %q", got, tt.want)
			}
		})
	}
}

// TestDutyIsShort answers the load of several primaries that fail at once: the
// duty is free for the next group as soon as the promotion was ordered, and not
// only when all proofs of the old primary are over.
func TestDutyIsShort(t *testing.T) {
	w := newWorld()
	w.silent["p"] = true
	m, set := w.manager(t)
	m.switchover(context.Background(), set, set.Lead().Version, reasonSilent)
	if len(w.changes) != 3 {
		t.Fatalf("%d changes were written, want the claim, the end of the duty and the end of the switch", len(w.changes))
	}
	if c := w.changes[1]; c.Duty.Holder != "" || !c.Lead.Switching {
		t.Errorf("the second change is %+v, want the duty free and the group switching", c)
	}
	if c := w.changes[2]; !c.KeepDuty || c.Lead.Switching || c.Lead.ID != "b" {
		t.Errorf("the last change is %+v, want the end of the switch alone", c)
	}
}

// TestSwitchIsNotTakenOver checks that a switch whose duty is free already is left
// to its host until its time is over.
func TestSwitchIsNotTakenOver(t *testing.T) {
	w := newWorld()
	m, set := w.manager(t)
	lead := replicaset.Lead{ID: "p", Term: 1, Switching: true, Holder: "host-2", Until: 10 * time.Second, Version: 5}
	set.SetLead(m.Engine.Boot(), lead)
	m.Observe(Duty{}, 10*time.Second, m.Engine.Boot())
	if got := m.suspicion(set, lead); got != "" {
		t.Errorf("a switch under way is taken for %q", got)
	}
	m.Observe(Duty{}, 10*time.Second+dutyMargin+time.Second, m.Engine.Boot())
	if got := m.suspicion(set, lead); got != reasonOrphaned {
		t.Errorf("a switch whose time is over is taken for %q, want %q", got, reasonOrphaned)
	}
}

// TestTermOfAnotherPrimary reproduces stale reads: a host that knew no term, and
// was cut off from the store, took the term that members were in for its own
// primary's, and replicas of the new primary then proved that the old one leads.
func TestTermOfAnotherPrimary(t *testing.T) {
	w := newWorld()
	w.reports["p"] = replicaset.Status{Role: replicaset.Replica, Term: 2, Received: at(2, 12)}
	w.reports["a"] = replicaset.Status{Role: replicaset.Primary, Term: 2, Received: at(2, 12)}
	w.reports["b"] = replicaset.Status{Role: replicaset.Replica, Term: 2, Received: at(2, 12)}
	m, set := w.manager(t)
	m.Records.Read = func(context.Context) (State, error) { return State{}, context.DeadlineExceeded }
	lead := set.Lead()
	m.switchover(context.Background(), set, lead.Version, reasonStuck)
	if got := set.Lead(); got.ID == lead.ID && got.Term != 0 {
		t.Errorf("%s is taken to lead term %d", got.ID, got.Term)
	}
}

// TestOwnSwitchAfterRestart reproduces seven seconds without a primary: all hosts
// lost power just after one had claimed a switch, and that host, back after a
// second, waited until its own lease was over.
func TestOwnSwitchAfterRestart(t *testing.T) {
	w := newWorld()
	w.silent["p"] = true
	lead := replicaset.Lead{ID: "p", Term: 1, Switching: true, Holder: "host-1", Token: 4, Until: time.Hour, Version: 5}
	w.version = 5
	w.state.Duty = Duty{Holder: "host-1", Token: 4, Until: time.Hour, Version: 5}
	w.state.Leads["g"] = lead
	m, set := w.manager(t)
	set.SetLead(m.Engine.Boot(), lead)
	m.Observe(w.state.Duty, time.Second, m.Engine.Boot())
	reason := m.suspicion(set, lead)
	if reason != reasonOrphaned {
		t.Fatalf("the own switch of before the restart is taken for %q", reason)
	}
	m.handle(context.Background(), set, lead, reason)
	if len(w.promoted) != 1 || w.tokens[0] != 5 {
		t.Errorf("promoted %v with the tokens %v, want one with token 5", w.promoted, w.tokens)
	}
}

// TestDutyIsFreed reproduces five seconds without a promotion: a host that was
// looking at another group as well kept the duty after its switch.
func TestDutyIsFreed(t *testing.T) {
	w := newWorld()
	w.silent["p"] = true
	m, set := w.manager(t)
	m.begin("other")
	m.switchover(context.Background(), set, set.Lead().Version, reasonSilent)
	if d := w.state.Duty; d.Holder != "" {
		t.Errorf("the duty is left as %+v, want it free", d)
	}
}

// TestSuspicionOfAnEarlierPrimary reproduces a promotion away from a primary that
// had just been promoted: a host that was cut off from the store suspected the old
// one, and met the record of the new one when it claimed the duty.
func TestSuspicionOfAnEarlierPrimary(t *testing.T) {
	w := newWorld()
	w.version = 9
	w.state.Leads["g"] = replicaset.Lead{ID: "a", Term: 2, Version: 9}
	m, set := w.manager(t)
	m.switchover(context.Background(), set, set.Lead().Version, reasonSilent)
	if len(w.promoted) != 0 || w.state.Leads["g"].Switching {
		t.Errorf("promoted %v, the record is %+v", w.promoted, w.state.Leads["g"])
	}
	if lead := set.Lead(); lead.ID != "a" {
		t.Errorf("the host believes that %s leads, want what is recorded", lead.ID)
	}
}
