package engine

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// TestAccountsShareAnEndpoint runs a hot account beside others through pool and gate. It guards
// against lost wake-ups between the two queues, places that are not given back, and an account
// that is refused because of another one's load.
func TestAccountsShareAnEndpoint(t *testing.T) {
	const slots, took = 3, 2 * time.Millisecond
	var running atomic.Int64
	began := time.Now()
	e := &Engine{
		Zone: "z", Now: time.Now, SlowStart: true,
		BootTime: func() replicaset.Instant { return replicaset.Instant(time.Minute + time.Since(began)) },
		Dial: func(context.Context, replicaset.Member, session.Account) (*Conn, error) {
			time.Sleep(took)
			return &Conn{Close: func() {}, Do: func(_ time.Time, ops ...Op) ([]Outcome, error) {
				defer running.Add(-1)
				if running.Add(1) > 2*slots+2 {
					return []Outcome{{Code: Busy}}, nil
				}
				time.Sleep(took)
				return make([]Outcome, len(ops)), nil
			}}, nil
		},
	}
	e.Apply(&Declared{Version: 1, Groups: map[session.Group]GroupPolicy{"g": {MaxConnections: 12}}, Accounts: map[session.Account]Account{}})
	g := e.group("g")
	m := replicaset.Member{ID: "a", Group: "g", Address: "a", Slots: slots, Started: 1}
	g.Register(e.BootTime(), m)
	p := e.pool(g, m)
	var wg sync.WaitGroup
	var served, refused [6]atomic.Int64
	for i := range 60 {
		n := min(i, 5)
		account := session.Account(fmt.Sprint("account-", n))
		wg.Go(func() {
			for k := 0; time.Since(began) < time.Second; k++ {
				until := time.Now().Add(300 * time.Millisecond)
				class := classWrite + k%2
				c, err := p.acquire(until, connNeed{account: account, class: class})
				busy := false
				if err == nil {
					var out []Outcome
					out, err = c.Run(Call{QueueDeadline: until, Deadline: until, Class: class, Account: account, Ops: []Op{{Kind: OpStatement, Commits: class == classWrite}}})
					busy = len(out) > 0 && out[0].Code == Busy
					p.release(c)
				}
				if err != nil || busy {
					refused[n].Add(1)
					time.Sleep(took)
					continue
				}
				served[n].Add(1)
			}
		})
	}
	wg.Wait()
	time.Sleep(5 * initialServiceTime)
	r := p.gate.report()
	if _, _, waiting := p.stats(); waiting != 0 || r.Running != 0 || p.gate.waitingRequests() != 0 {
		t.Errorf("%d wait for a connection, %d at the gate, %d run, want none", waiting, p.gate.waitingRequests(), r.Running)
	}
	for n := range 5 {
		if served[n].Load() < 5 || refused[n].Load() > served[n].Load() {
			t.Errorf("account %d was served %d times and refused %d times beside a hot one with %d and %d", n, served[n].Load(), refused[n].Load(), served[5].Load(), refused[5].Load())
		}
	}
}
