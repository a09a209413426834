package core

import (
	"testing"
	"time"
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
