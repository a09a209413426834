package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cumintrestle/cumintrestle/platform/standin"
)

const (
	// recoverTime is the bound recover-s of the small sites.
	recoverTime = 12 * time.Second
	// registrationTime is how long a lost database stays registered: three status report intervals.
	registrationTime = 3600 * time.Millisecond
	// calmTime is the length of the load before a disruption, judgedTime that of the judged one after
	// recoverTime.
	calmTime, judgedTime = 20 * time.Second, 15 * time.Second
)

// newLedger creates a world with one group of three, which a strict and a bounded database use. Promotion,
// connections and timeouts are those of bathafarn-dies.
func newLedger(rec *record) (*world, *standin.Group, error) { return newLedgerOf(rec, 3) }

// newLedgerOf is newLedger for a group of n databases.
func newLedgerOf(rec *record, n int) (*world, *standin.Group, error) {
	g := standin.NewGroup("ledger", n)
	g.PromoteAfter, g.CommitWait = time.Second, 800*time.Millisecond
	w, err := newWorld(rec, g)
	if err != nil {
		return nil, nil, err
	}
	w.route([]standin.Route{
		{Database: "cards", Kind: "primary", Group: "ledger", Timeout: 800 * time.Millisecond},
		{Database: "views", Kind: "bounded", Group: "ledger", Timeout: 2 * time.Second, MaxAge: 1500 * time.Millisecond},
	}, 41)
	return w, g, nil
}

// operation is one operation of a client.
type operation struct {
	sent   time.Time
	served bool
}

// load is a steady load on all hosts.
type load struct {
	w    *world
	stop chan struct{}
	wg   sync.WaitGroup
	ids  atomic.Int64

	mu  sync.Mutex
	all []operation
}

func (l *load) start(databases ...string) {
	for _, h := range l.w.hosts {
		for _, database := range databases {
			l.wg.Add(2)
			go l.run(h, database)
			go l.run(h, database)
		}
	}
}

// run sends one operation after the other to a host; each fifth one is a write.
func (l *load) run(h *host, database string) {
	defer l.wg.Done()
	var c *standin.Caller
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		n := l.ids.Add(1)
		text := "READ 1"
		if n%5 == 0 {
			text = fmt.Sprintf("WRITE 1 d%d", n)
		}
		o := operation{sent: time.Now()}
		var a standin.Answer
		var err error
		if c == nil {
			c, err = standin.Connect(h.callers, database, 2*time.Second)
		}
		if err == nil {
			a, err = c.Query(fmt.Sprintf("q%d", n), text)
		}
		o.served = err == nil && a.Done()
		l.mu.Lock()
		l.all = append(l.all, o)
		l.mu.Unlock()
		l.w.rec.write("q%d %s at %s for %s: digest %q, code %q %.50q, error %v", n, text, h.name, database, a.Digest, a.Code, a.Reason, err)
		if !o.served && c != nil {
			c.Close()
			c = nil
		}
	}
}

// count counts the operations that were sent from one time to another.
func (l *load) count(from, to time.Time) (asked, served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range l.all {
		if o.sent.Before(from) || o.sent.After(to) {
			continue
		}
		asked++
		if o.served {
			served++
		}
	}
	return asked, served
}

// judgeRecovery kills all hosts, starts them again after a pause, ends the load and reports whether
// RECOVER was broken.
func (l *load) judgeRecovery(began time.Time, pause time.Duration) (bool, error) {
	rec, fault := l.w.rec, time.Now()
	rec.write("final fault: all hosts are killed")
	if err := l.w.restartHosts(pause); err != nil {
		return false, err
	}
	back := time.Now()
	rec.write("all hosts are back")
	time.Sleep(recoverTime + judgedTime)
	end := time.Now()
	close(l.stop)
	l.wg.Wait()
	asked, served := l.count(began, fault)
	rec.write("before the final fault, %d of %d operations were served", served, asked)
	askedThen, servedThen := l.count(back.Add(recoverTime), end)
	rec.write("later than %s after the hosts were back, %d of %d were served", recoverTime, servedThen, askedThen)
	for _, g := range l.w.groups {
		for _, d := range g.Databases {
			rec.write("%d statements of clients reached %s, those that it refused included", len(d.Runs()), d.ID)
		}
	}
	return 4*served >= asked && 4*servedThen < askedThen, nil
}
