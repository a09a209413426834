package engine

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// pausedGroup is an engine with a replica that a switch has left paused, and the store's record.
type pausedGroup struct {
	*Engine
	mu sync.Mutex
	// record is what a read of the store's record returns. With oldRead it is the result of a
	// read that began before the replica was seen paused.
	record  replicaset.Lead
	oldRead bool
	err     error
	reports map[replicaset.EndpointID]*replicaset.Status
	resumed int
}

func newPausedGroup(known replicaset.Lead, paused replicaset.Status) *pausedGroup {
	now := replicaset.Instant(time.Minute)
	p := &pausedGroup{record: known, reports: map[replicaset.EndpointID]*replicaset.Status{
		"old": {Role: replicaset.Primary, Term: known.Term}, "next": &paused,
	}}
	e := newStatusEngine(&now, p.reports)
	started := time.Now()
	e.BootTime = func() replicaset.Instant { return now.Add(time.Since(started)) }
	dial := e.Dial
	e.Dial = func(ctx context.Context, m replicaset.Member, a session.Account) (*Conn, error) {
		if m.ID == "third" {
			return nil, errors.New("no route to host")
		}
		c, err := dial(ctx, m, a)
		if err != nil {
			return nil, err
		}
		c.Do = func(_ time.Time, ops ...Op) ([]Outcome, error) {
			p.mu.Lock()
			defer p.mu.Unlock()
			if ops[0].Kind == OpResume {
				p.resumed++
				p.reports[m.ID].PausedTerm = 0
			}
			return []Outcome{{Report: *p.reports[m.ID]}}, nil
		}
		return c, nil
	}
	e.RecordedLead = func(session.Group) (replicaset.Lead, replicaset.Instant, error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.oldRead {
			return p.record, now, p.err
		}
		return p.record, e.BootTime(), p.err
	}
	p.Engine = e
	e.group("g").SetLead(e.BootTime(), known)
	return p
}

// TestResumeOfLeftPausedReadsRecord guards against lost commits: a host that had not heard of a
// switch resumed a replica that this switch had paused, by what the host knew. It also guards
// against a replica that stays paused because the host that paused it has died.
func TestResumeOfLeftPausedReadsRecord(t *testing.T) {
	lead := replicaset.Lead{ID: "old", Term: 2, Version: 7}
	switching, later := lead, lead
	switching.Switching, switching.Version = true, 8
	later.Version = 9
	left := replicaset.Status{Role: replicaset.Replica, Term: 1, PausedTerm: 3}
	tests := []struct {
		name    string
		record  replicaset.Lead
		oldRead bool
		err     error
		paused  replicaset.Status
		resumed bool
	}{
		{name: "the switch has ended", record: lead, paused: left, resumed: true},
		{name: "another switch has begun", record: switching, paused: left},
		{name: "another switch has begun and ended", record: later, paused: left, resumed: true},
		{name: "the store cannot be read", err: errors.New("timeout"), paused: left},
		{name: "the read began before the replica was seen paused", record: lead, oldRead: true, paused: left},
		{
			name: "a host that had been stopped paused a replica of the new primary", record: lead, resumed: true,
			paused: replicaset.Status{Role: replicaset.Replica, Term: 2, PausedTerm: 3},
		},
		{name: "the replica is not paused", record: lead, paused: replicaset.Status{Role: replicaset.Replica, Term: 2, PausedTerm: 2}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			p := newPausedGroup(lead, tt.paused)
			p.record, p.oldRead, p.err = tt.record, tt.oldRead, tt.err
			_ = p.prove(p.group("g"), lead, p.BootTime(), nil)
			for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				p.mu.Lock()
				resumed := p.resumed
				p.mu.Unlock()
				if resumed > 0 {
					break
				}
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			if got := p.resumed > 0; got != tt.resumed {
				t.Errorf("the replica is resumed: %t, want %t", got, tt.resumed)
			}
		})
	}
}
