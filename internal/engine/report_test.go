package engine

import (
	"context"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
)

// TestUnreadableStatusIsNoAnswer guards against a promotion that takes a replica whose status
// cannot be read for one that has received nothing.
func TestUnreadableStatusIsNoAnswer(t *testing.T) {
	now := replicaset.Instant(time.Minute)
	e := newStatusEngine(&now, map[replicaset.EndpointID]*replicaset.Status{"old": {}, "next": {}, "third": {}})
	m, _ := e.Group("g").Member("next")
	if st, err := e.Control(context.Background(), m, Op{Kind: OpPause, Term: 3}); err == nil {
		t.Errorf("the status is %s, want an error", st)
	}
}

// TestWrongEndpointCoversNothing checks what the answer of another endpoint at a member's
// address proves: the member is lost from then on, and counts as missing until the loss is
// covered.
func TestWrongEndpointCoversNothing(t *testing.T) {
	now := replicaset.Instant(time.Minute)
	follows := replicaset.Status{Role: replicaset.Replica, Term: 1}
	e := newStatusEngine(&now, map[replicaset.EndpointID]*replicaset.Status{"old": {Role: replicaset.Primary, Term: 1}, "next": &follows})
	dial := e.Dial
	e.Dial = func(ctx context.Context, m replicaset.Member, a session.Account) (*Conn, error) {
		if m.ID == "third" {
			return nil, &DialError{Code: WrongEndpoint}
		}
		return dial(ctx, m, a)
	}
	set := e.Group("g")
	before := set.MissingReplicas()
	m, _ := set.Member("third")
	if _, err := e.Control(context.Background(), m, Op{Kind: OpStatus}); err == nil {
		t.Fatal("another endpoint's answer counts as the member's")
	}
	if !set.Absent("third", now) || set.MissingReplicas() != before+1 {
		t.Errorf("%d replicas are missing, want one more than %d", set.MissingReplicas(), before)
	}
	m.Address = "elsewhere"
	set.Register(now, m)
	if set.Absent("third", now) || set.MissingReplicas() != before {
		t.Errorf("a member that has registered at another address counts as lost")
	}
}
