package core

import (
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// A status page can be requested before the group's first event.
func TestQueriesBeforeFirstStep(t *testing.T) {
	now := time.Unix(0, 0)
	g := &Group{Members: []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}, Timing: DefaultTiming}
	if v := g.View(now); v.ReachesMajority {
		t.Errorf("a majority is reachable before any event: %+v", v)
	}
	if _, _, ok := g.Primary(now); ok {
		t.Error("there is a primary before any event")
	}
	if c := g.RouteRead(now, ReadRequest{MaxAge: time.Hour}); c.OK {
		t.Errorf("a read is routed before any event: %+v", c)
	}
}

// Hosts that detect at the same moment that the primary is silent must not start
// their promotion attempts at once: each would fence some of the members, and none
// would reach a quorum.
func TestAttemptsAreStaggered(t *testing.T) {
	start := time.Unix(0, 0)
	firstAttempt := make(map[HostID]time.Duration)
	hosts := []HostID{"h1", "h2", "h3"}
	for _, self := range hosts {
		g := &Group{
			Name: "g", Self: self, Members: []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}, Timing: DefaultTiming,
			NewNonce: func() Nonce { return Nonce(self) },
		}
		last := session.Point{Term: 1, Position: 4}
		g.Step(start, StatusReceived{Member: "a", Status: MemberStatus{Fenced: 1, Last: last, Role: Primary}, SentAt: start})
		for d := time.Duration(0); d < 2*time.Second && firstAttempt[self] == 0; d += 20 * time.Millisecond {
			now := start.Add(d)
			view := PeerView{Term: 1, PrimarySilence: max(0, d-200*time.Millisecond), ReachesMajority: true}
			acts := g.Step(now, Tick{})
			for _, id := range []MemberID{"b", "c"} {
				s := MemberStatus{Fenced: 1, Last: last, Role: Replica, Follows: 1, SilenceMS: d.Milliseconds()}
				acts = append(acts, g.Step(now, StatusReceived{Member: id, Status: s, SentAt: now})...)
			}
			for _, o := range hosts {
				if o != self {
					g.Step(now, PeerViewReceived{Host: o, View: view})
				}
			}
			for _, a := range acts {
				if _, fence := a.(SendFence); fence {
					firstAttempt[self] = d
				}
			}
		}
	}
	for i, a := range hosts {
		for _, b := range hosts[i+1:] {
			if diff := (firstAttempt[a] - firstAttempt[b]).Abs(); firstAttempt[a] == 0 || diff < 100*time.Millisecond {
				t.Errorf("%s starts its attempt after %s, %s after %s", a, firstAttempt[a], b, firstAttempt[b])
			}
		}
	}
}
