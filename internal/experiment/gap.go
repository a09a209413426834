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
	gapSessions  = 7
	gapThinkTime = 5 * time.Millisecond
	// gapMinAcks is the number of writes that must be acknowledged before the
	// fault, and again after it.
	gapMinAcks      = 40
	gapTimeout      = 15 * time.Second
	disturbDuration = 8 * time.Second
)

// Fault is the fault that a failover measurement injects.
type Fault string

// The faults: the primary is killed, its availability zone is cut off from the
// network, or its process is frozen.
const (
	Kill   Fault = "kill"
	Cut    Fault = "cut"
	Freeze Fault = "freeze"
	// None leaves the primary running, but delays replication and packets.
	None Fault = "none"
)

// GapRun is the result of one failover measurement.
type GapRun struct {
	Fault Fault  `json:"fault"`
	Seed  uint64 `json:"seed"`
	// GapMS is the longest pause between two acknowledged writes that ends after
	// the fault, in ms.
	GapMS float64 `json:"gap_ms"`
	// Terms is the number of terms by which the group advanced.
	Terms      int                 `json:"terms"`
	Acked      int                 `json:"acked"`
	Unknown    int                 `json:"unknown"`
	NotRun     int                 `json:"not_run"`
	Violations []history.Violation `json:"violations,omitempty"`
}

// ackLog records the times of acknowledged writes.
type ackLog struct {
	mu    sync.Mutex
	times []time.Time
}

func (l *ackLog) add(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.times = append(l.times, at)
}

func (l *ackLog) len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.times)
}

// longestPause returns the longest pause between two acknowledgements that ends
// after from.
func (l *ackLog) longestPause(from time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.SortFunc(l.times, time.Time.Compare)
	var longest time.Duration
	for i := 1; i < len(l.times); i++ {
		if l.times[i].After(from) {
			longest = max(longest, l.times[i].Sub(l.times[i-1]))
		}
	}
	return longest
}

// Gap starts a deployment, injects a fault and measures how long writes go
// unacknowledged.
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
	if err := waitUntil(func() bool { return acks.len() >= gapMinAcks }); err != nil {
		stop()
		return run, err
	}
	time.Sleep(time.Duration(seed*37%400) * time.Millisecond)
	from := time.Now()
	heal := injectFault(d, fault, primary)
	want := acks.len() + gapMinAcks
	err = waitUntil(func() bool { return acks.len() >= want && time.Since(from) > time.Second })
	heal()
	stop()
	if err != nil {
		return run, err
	}
	run.GapMS = float64(acks.longestPause(from).Microseconds()) / 1000
	_, newTerm := d.PrimaryOf(d.Spec.Groups[0])
	run.Terms = int(newTerm - term)
	return run, checkHistory(d, &run, h)
}

func waitUntil(check func() bool) error {
	deadline := time.Now().Add(gapTimeout)
	for !check() {
		if time.Now().After(deadline) {
			return fmt.Errorf("waited longer than %s", gapTimeout)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil
}

// injectFault injects the fault and returns a function that ends it.
func injectFault(d *deploy.Deployment, fault Fault, primary core.MemberID) func() {
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

// disturb makes replicas lag and delays packets for disturbDuration. A healthy
// primary must not be replaced under such a disturbance.
func disturb(d *deploy.Deployment) {
	for i, z := range d.Spec.Zones {
		d.Node(deploy.MemberOf(d.Spec.Groups[0], z)).SetLag(time.Duration(i)*2*time.Second, 0)
	}
	end := time.Now().Add(disturbDuration)
	for n := 0; time.Now().Before(end); n++ {
		a, b := d.Spec.Zones[n%3], d.Spec.Zones[(n+1)%3]
		d.Rules.SetDelay(string(a), string(b), 120*time.Millisecond)
		time.Sleep(300 * time.Millisecond)
		d.Rules.SetDelay(string(a), string(b), d.Spec.Delay)
	}
}

// startWriters starts sessions that mostly write, through all entry hosts. It
// returns a function that stops them.
func startWriters(d *deploy.Deployment, seed uint64, acks *ackLog, h *history.History) (func(), error) {
	hosts := d.Hosts()
	conn, err := pgx.Connect(context.Background(), d.URL(hosts[0], d.Spec.Accounts[0], d.Spec.Groups[0]))
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	defer conn.Close(context.Background())
	if _, err := conn.Exec(context.Background(), load.CreateTable); err != nil {
		return nil, fmt.Errorf("table: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for n := range gapSessions {
		r := rand.New(rand.NewPCG(seed, uint64(n)))
		s := &load.Session{
			Number: n, ReadShare: 0.2, ThinkTime: gapThinkTime, Rand: r, History: h,
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

// checkHistory reads all rows of the group after the run and checks the history
// against them. It connects to a host in a zone that was not cut.
func checkHistory(d *deploy.Deployment, run *GapRun, h *history.History) error {
	run.Acked, run.Unknown, run.NotRun = h.Count(history.Acked), h.Count(history.Unknown), h.Count(history.NotRun)
	var lastErr error
	deadline := time.Now().Add(gapTimeout)
	for time.Now().Before(deadline) {
		conn, err := pgx.Connect(context.Background(), d.URL(d.Hosts()[1], d.Spec.Accounts[0], d.Spec.Groups[0]))
		if err != nil {
			lastErr = err
			continue
		}
		ids, err := load.ReadAllIDs(context.Background(), conn)
		_ = conn.Close(context.Background())
		if err == nil {
			run.Violations = h.Check(ids)
			return nil
		}
		lastErr = err
	}
	return fmt.Errorf("final read: %w", lastErr)
}
