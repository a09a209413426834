package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/internal/history"
	"github.com/cumintrestle/cumintrestle/internal/load"
	"github.com/cumintrestle/cumintrestle/internal/standin/deploy"
)

const (
	gapSessions = 7
	gapThink    = 5 * time.Millisecond
	gapWarmUp   = 40
	gapLimit    = 15 * time.Second
	calmRun     = 8 * time.Second
)

// Fault is a failure of a primary.
type Fault string

// The failures of a primary.
const (
	Kill   Fault = "kill"
	Cut    Fault = "cut"
	Freeze Fault = "freeze"
	// None is no failure of the primary: replicas lag and packets are late.
	None Fault = "none"
)

// GapRun is one measured failover.
type GapRun struct {
	Fault      Fault               `json:"fault"`
	Seed       uint64              `json:"seed"`
	GapMS      float64             `json:"gap_ms"`
	Terms      int                 `json:"terms"`
	Acked      int                 `json:"acked"`
	Unknown    int                 `json:"unknown"`
	NotRun     int                 `json:"not_run"`
	Violations []history.Violation `json:"violations,omitempty"`
}

// ackLog keeps the moments of acknowledgements.
type ackLog struct {
	mu sync.Mutex
	at []time.Time
}

func (l *ackLog) add(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at = append(l.at, at)
}

func (l *ackLog) len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.at)
}

// longest returns the longest pause that ends after from.
func (l *ackLog) longest(from time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.SortFunc(l.at, time.Time.Compare)
	var longest time.Duration
	for i := 1; i < len(l.at); i++ {
		if l.at[i].After(from) {
			longest = max(longest, l.at[i].Sub(l.at[i-1]))
		}
	}
	return longest
}

// Gap measures the pause of acknowledged writes when the primary of a group
// fails, in a deployment of its own.
func Gap(spec deploy.Spec, fault Fault, seed uint64) (GapRun, error) {
	run := GapRun{Fault: fault, Seed: seed}
	d, err := deploy.Start(spec, deploy.Options{Groups: 1})
	if err != nil {
		return run, fmt.Errorf("start: %w", err)
	}
	defer d.Stop()
	primary, term := d.PrimaryOf(d.Spec.Groups[0])
	acks, h := &ackLog{}, &history.History{}
	stop, err := startWriters(d, seed, acks, h)
	if err != nil {
		return run, err
	}
	if err := waitUntil(func() bool { return acks.len() >= gapWarmUp }); err != nil {
		stop()
		return run, err
	}
	time.Sleep(time.Duration(seed*37%400) * time.Millisecond)
	from := time.Now()
	heal := cause(d, fault, primary)
	want := acks.len() + gapWarmUp
	err = waitUntil(func() bool { return acks.len() >= want && time.Since(from) > time.Second })
	heal()
	stop()
	if err != nil {
		return run, err
	}
	run.GapMS = float64(acks.longest(from).Microseconds()) / 1000
	_, now := d.PrimaryOf(d.Spec.Groups[0])
	run.Terms = int(now - term)
	return run, finishGap(d, &run, h)
}

func waitUntil(check func() bool) error {
	deadline := time.Now().Add(gapLimit)
	for !check() {
		if time.Now().After(deadline) {
			return fmt.Errorf("waited longer than %s", gapLimit)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil
}

// cause makes the primary fail and returns what ends the fault.
func cause(d *deploy.Deployment, fault Fault, primary core.MemberID) func() {
	switch fault {
	case Kill:
		_ = d.Node(primary).Stop()
	case Cut:
		d.CutZone(d.Spec.Zones[0], true)
		return func() { d.CutZone(d.Spec.Zones[0], false) }
	case Freeze:
		return d.Node(primary).Freeze()
	case None:
		disturb(d)
	}
	return func() {}
}

// disturb makes replicas lag and packets late for a while, within what a
// primary that lives must survive.
func disturb(d *deploy.Deployment) {
	for i, z := range d.Spec.Zones {
		d.Node(deploy.MemberOf(d.Spec.Groups[0], z)).SetLag(time.Duration(i)*2*time.Second, 0)
	}
	end := time.Now().Add(calmRun)
	for n := 0; time.Now().Before(end); n++ {
		a, b := d.Spec.Zones[n%3], d.Spec.Zones[(n+1)%3]
		d.Rules.SetDelay(string(a), string(b), 120*time.Millisecond)
		time.Sleep(300 * time.Millisecond)
		d.Rules.SetDelay(string(a), string(b), d.Spec.Delay)
	}
}

// startWriters starts sessions that write through all entry hosts.
func startWriters(d *deploy.Deployment, seed uint64, acks *ackLog, h *history.History) (func(), error) {
	hosts := d.Hosts()
	conn, err := pgx.Connect(context.Background(), d.URL(hosts[0], d.Spec.Accounts[0], d.Spec.Groups[0]))
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	defer conn.Close(context.Background())
	if _, err := conn.Exec(context.Background(), load.Table); err != nil {
		return nil, fmt.Errorf("table: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for n := range gapSessions {
		r := rand.New(rand.NewPCG(seed, uint64(n)))
		s := &load.Session{
			N: n, ReadShare: 0.2, Think: gapThink, Rand: r, History: h,
			URL: func() string {
				return d.URL(hosts[r.IntN(len(hosts))], d.Spec.Accounts[0], d.Spec.Groups[0])
			},
			OnAck: func(_, acked time.Time) { acks.add(acked) },
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.Run(ctx)
		}()
	}
	return func() { cancel(); wg.Wait() }, nil
}

// finishGap reads what the group holds in the end, from a host in a zone that
// was not cut, and checks the history.
func finishGap(d *deploy.Deployment, run *GapRun, h *history.History) error {
	run.Acked, run.Unknown, run.NotRun = h.Count(history.Acked), h.Count(history.Unknown), h.Count(history.NotRun)
	var last error
	deadline := time.Now().Add(gapLimit)
	for time.Now().Before(deadline) {
		conn, err := pgx.Connect(context.Background(), d.URL(d.Hosts()[1], d.Spec.Accounts[0], d.Spec.Groups[0]))
		if err != nil {
			last = err
			continue
		}
		ids, err := load.Final(context.Background(), conn)
		_ = conn.Close(context.Background())
		if err == nil {
			run.Violations = h.Check(ids)
			return nil
		}
		last = err
	}
	return fmt.Errorf("final read: %w", last)
}
