package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/cumintrestle/cumintrestle/platform/standin"
)

const (
	// readyLimit is how long the hosts may take to be ready at first.
	readyLimit = 15 * time.Second
	// recoverLimit is how long after the last fault each group has to serve
	// writes again: longer than a replica that lost its log is waited for.
	recoverLimit = 25 * time.Second
	// quietTime lets statements end before the endpoints' logs are compared.
	quietTime = 500 * time.Millisecond
)

// Options say what a run is.
type Options struct {
	// Binary is the entry host's program.
	Binary string
	Seed   uint64
	// Length is that of the load, Hosts and Callers its size.
	Length         time.Duration
	Hosts, Callers int
	// LogDir keeps the hosts' logs if it is set.
	LogDir string
	// Note takes a line about the soak itself; nil for none.
	Note func(line string)
	// Faults replaces the plan that follows from the seed.
	Faults []Fault
}

// Report is what came out of a run.
type Report struct {
	Seed        uint64      `json:"seed"`
	Hosts       int         `json:"hosts"`
	Callers     int         `json:"callers"`
	Connections int         `json:"connections"`
	Statements  int         `json:"statements"`
	Promotions  int         `json:"promotions"`
	RecoveredMS int64       `json:"recovered_ms"`
	Faults      []Fault     `json:"faults"`
	Seconds     []second    `json:"seconds"`
	Violations  []Violation `json:"violations"`
}

func (o Options) note(line string) {
	if o.Note != nil {
		o.Note(line)
	}
}

// Run plays one seed.
func Run(ctx context.Context, opt Options) (Report, error) {
	w, err := newWorld(opt)
	defer w.close()
	if err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go w.live(ctx)
	if !w.serves(ctx, readyLimit) {
		return Report{}, fmt.Errorf("soak: the hosts do not serve within %s", readyLimit)
	}
	plan := opt.Faults
	if plan == nil {
		plan = Plan(opt.Seed, opt.Length, opt.Hosts)
	}
	l := newLedger()
	w.load(ctx, l, plan)
	report := Report{Seed: opt.Seed, Hosts: opt.Hosts, Callers: opt.Callers, Connections: w.conns, Faults: plan}
	began := time.Now()
	w.heal()
	if !w.serves(ctx, recoverLimit) {
		l.violate("recover", "", "a group does not serve writes %s after the last fault", recoverLimit)
	}
	report.RecoveredMS = time.Since(began).Milliseconds()
	for _, p := range w.hosts {
		p.kill()
	}
	time.Sleep(quietTime)
	report.Violations = l.check(w.collect())
	report.Statements, report.Seconds = len(l.sent), l.seconds
	report.Promotions = len(w.store.Tokens())
	return report, nil
}

// live lets endpoints follow and register until the run ends.
func (w *world) live(ctx context.Context) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			w.tick()
		}
	}
}

// load runs the callers and the faults.
func (w *world) load(ctx context.Context, l *ledger, plan []Fault) {
	ctx, cancel := context.WithTimeout(ctx, w.opt.Length)
	defer cancel()
	var wg sync.WaitGroup
	for i := range w.opt.Callers {
		c := &caller{w: w, l: l, plan: plan, number: i, r: rand.New(rand.NewPCG(w.opt.Seed, uint64(i)+2))}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.run(ctx)
		}()
	}
	for _, s := range w.steps(plan, w.opt.Length) {
		time.Sleep(time.Until(l.began.Add(s.at)))
		s.run()
	}
	wg.Wait()
}

// heal ends all faults that may still be there.
func (w *world) heal() {
	w.store.Down(false)
	w.store.DropAnswers(0)
	for _, p := range w.hosts {
		p.signal(syscall.SIGCONT)
		p.store.set(p.name, wayOpen)
		p.order.set(p.name, wayOpen)
		for _, b := range w.before {
			b.set(p.name, wayOpen)
		}
	}
	for _, g := range w.group {
		for _, d := range g.Databases {
			d.ClearFaults()
		}
	}
}

// serves waits until each host serves a write of each group.
func (w *world) serves(ctx context.Context, limit time.Duration) bool {
	end := time.Now().Add(limit)
	for _, p := range w.hosts {
		for i := range w.group {
			for !w.writes(p, i) {
				if time.Now().After(end) || ctx.Err() != nil {
					return false
				}
				time.Sleep(holdPoll)
			}
		}
	}
	return true
}

// probeItem is the item that shows that a group takes writes.
const probeItem = "probe"

func (w *world) writes(p *process, group int) bool {
	c, err := standin.Connect(p.caller, fmt.Sprint("primary", group), callerPatience)
	if err != nil {
		return false
	}
	defer c.Close()
	a, err := c.Query(probeItem, "WRITE "+probeItem+" x")
	return err == nil && a.Done()
}

// collect returns what the endpoints ran for the callers and hold in the end.
func (w *world) collect() (runs []standin.Run, logs []string, tokens []uint64) {
	for _, g := range w.group {
		for _, d := range g.Databases {
			for _, r := range d.Runs() {
				if r.ID != probeItem {
					runs = append(runs, r)
				}
			}
		}
		for _, c := range g.Committed() {
			if c != "x" {
				logs = append(logs, c)
			}
		}
	}
	return runs, logs, w.store.Tokens()
}
