package core

import (
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// A status page may be asked for before the first event of a group.
func TestQueriesBeforeFirstStep(t *testing.T) {
	now := time.Unix(0, 0)
	g := &Group{Members: []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}, Timing: DefaultTiming}
	if v := g.View(now); v.Reaches {
		t.Errorf("reaches a majority before any event: %+v", v)
	}
	if _, _, ok := g.Primary(now); ok {
		t.Error("has a primary before any event")
	}
	if c := g.RouteRead(now, ReadRequest{MaxAge: time.Hour}); c.OK {
		t.Errorf("routes a read before any event: %+v", c)
	}
}

// Hosts that learn at the same moment that nobody hears the primary any more
// do not all begin at once: their attempts would split the members.
func TestAttemptsAreStaggered(t *testing.T) {
	start := time.Unix(0, 0)
	begun := make(map[HostID]time.Duration)
	hosts := []HostID{"h1", "h2", "h3"}
	for _, self := range hosts {
		g := &Group{
			Name: "g", Self: self, Members: []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}, Timing: DefaultTiming,
			NewNonce: func() Nonce { return Nonce(self) },
		}
		last := session.Point{Term: 1, Position: 4}
		g.Step(start, StatusReceived{Member: "a", Status: MemberStatus{Fenced: 1, Last: last, Role: Primary}, SentAt: start})
		for d := time.Duration(0); d < 2*time.Second && begun[self] == 0; d += 20 * time.Millisecond {
			now := start.Add(d)
			view := PeerView{Term: 1, HeardAge: max(0, d-200*time.Millisecond), Reaches: true}
			acts := g.Step(now, Tick{})
			for _, id := range []MemberID{"b", "c"} {
				s := MemberStatus{Fenced: 1, Last: last, Role: Replica, Follows: 1, SilenceMS: d.Milliseconds()}
				acts = append(acts, g.Step(now, StatusReceived{Member: id, Status: s, SentAt: now})...)
			}
			for _, o := range hosts {
				if o != self {
					g.Step(now, PeerObserved{Host: o, View: view})
				}
			}
			for _, a := range acts {
				if _, fence := a.(SendFence); fence {
					begun[self] = d
				}
			}
		}
	}
	for i, a := range hosts {
		for _, b := range hosts[i+1:] {
			if diff := (begun[a] - begun[b]).Abs(); begun[a] == 0 || diff < 100*time.Millisecond {
				t.Errorf("%s began at %s, %s at %s", a, begun[a], b, begun[b])
			}
		}
	}
}
