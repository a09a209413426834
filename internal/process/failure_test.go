package process

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/history"
	"github.com/cumintrestle/cumintrestle/internal/load"
	"github.com/cumintrestle/cumintrestle/internal/standin/endpoint"
	"github.com/cumintrestle/cumintrestle/internal/standin/platform"
)

// maxWriteGap is the longest pause between acknowledged writes that users accept
// during a failover.
const maxWriteGap = 11 * time.Second

// workload is a set of sessions that write and read while a fault is injected.
type workload struct {
	f       *fleet
	history history.History
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	mu      sync.Mutex
	acks    []time.Time
	errors  map[string]int
}

// startLoad starts sessions on the hosts for which use returns true, or on all
// hosts if use is nil.
func startLoad(f *fleet, sessions int, use func(i int) bool) *workload {
	f.t.Helper()
	setup := f.connect(0)
	if _, err := setup.Exec(context.Background(), load.CreateTable); err != nil {
		f.t.Fatalf("table: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &workload{f: f, cancel: cancel, errors: make(map[string]int)}
	var hosts []int
	for i := range f.hosts {
		if use == nil || use(i) {
			hosts = append(hosts, i)
		}
	}
	for n := range sessions {
		r := rand.New(rand.NewPCG(1, uint64(n)))
		s := &load.Session{
			Number: n, ReadShare: 0.5, ThinkTime: 5 * time.Millisecond, Rand: r, History: &w.history,
			URL:   func() string { return f.callerURL(hosts[r.IntN(len(hosts))]) },
			OnAck: func(_, acked time.Time) { w.recordAck(acked) },
			OnError: func(err error) {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.errors[err.Error()]++
			},
		}
		w.wg.Add(1)
		go func() {
			defer w.wg.Done()
			s.Run(ctx)
		}()
	}
	return w
}

func (w *workload) recordAck(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acks = append(w.acks, at)
}

func (w *workload) ackCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.acks)
}

// waitAcks waits until n more writes are acknowledged.
func (w *workload) waitAcks(n int) {
	w.f.t.Helper()
	want := w.ackCount() + n
	w.f.eventually("acknowledged writes", func() string {
		if have := w.ackCount(); have < want {
			w.mu.Lock()
			defer w.mu.Unlock()
			return fmt.Sprintf("%d of %d; %v", have, want, w.errors)
		}
		return ""
	})
}

// longestGap returns the longest pause between two acknowledged writes.
func (w *workload) longestGap() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	var longest time.Duration
	for i := 1; i < len(w.acks); i++ {
		longest = max(longest, w.acks[i].Sub(w.acks[i-1]))
	}
	return longest
}

// stopAndCheck stops the load, reads all rows through host i and checks the
// history against them. It also checks that no endpoint exceeded its connection
// limit.
func (w *workload) stopAndCheck(i int) {
	t := w.f.t
	t.Helper()
	w.cancel()
	w.wg.Wait()
	var final []string
	w.f.eventually("final read", func() string {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		conn := w.f.connect(i)
		var err error
		final, err = load.ReadAllIDs(ctx, conn)
		if err != nil {
			return err.Error()
		}
		return ""
	})
	for _, v := range w.history.Check(final) {
		t.Errorf("violation: %+v", v)
	}
	for j := range w.f.nodes {
		if s, err := w.f.nodeState(j); err == nil && s.PeakSessions > s.MaxSessions {
			t.Errorf("endpoint %d held %d connections, limit %d", j, s.PeakSessions, s.MaxSessions)
		}
	}
	t.Logf("%d acknowledged, %d not run, %d unknown; longest pause %s; refusals %d kinds",
		w.history.Count(history.Acked), w.history.Count(history.NotRun), w.history.Count(history.Unknown), w.longestGap(), len(w.errors))
}

// answerTwice makes the endpoints answer twice until after the primary was killed.
func answerTwice(f *fleet, w *workload) {
	for i := range f.nodes {
		f.putJSON("http://"+f.nodes[i].admin+"/standin/settings", endpoint.AdminSettings{SecondAnswerShare: 0.02, SecondAnswerMS: 40})
	}
	w.waitAcks(100)
	f.nodes[0].signal(f.t, syscall.SIGKILL)
	w.waitAcks(60)
	for i := range f.nodes[1:] {
		f.putJSON("http://"+f.nodes[1+i].admin+"/standin/settings", endpoint.AdminSettings{})
	}
}

// TestFaults injects one fault per subtest under load. Each time no write may be
// lost, applied twice or falsely reported as not run, sessions must read their
// own writes, endpoints must stay within their connection limits, and writes must
// resume within maxWriteGap.
func TestFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		hosts int
		// use selects the hosts that sessions connect to; nil is all.
		use   func(i int) bool
		fault func(f *fleet, w *workload)
		final int
	}{
		{name: "primary killed", hosts: 3, fault: func(f *fleet, _ *workload) {
			f.nodes[0].signal(t, syscall.SIGKILL)
		}},
		{name: "primary frozen, then woken", hosts: 3, fault: func(f *fleet, w *workload) {
			f.nodes[0].signal(t, syscall.SIGSTOP)
			w.waitAcks(30)
			f.nodes[0].signal(t, syscall.SIGCONT)
		}},
		{name: "primary cut off with an entry host on its side", hosts: 3, final: 1, fault: func(f *fleet, w *workload) {
			f.cutZone(0, true)
			w.waitAcks(30)
			f.cutZone(0, false)
		}},
		{name: "platform down, then primary killed", hosts: 3, fault: func(f *fleet, w *workload) {
			f.putJSON("http://"+f.platform.admin+"/standin/faults", platform.Faults{Down: true})
			f.nodes[0].signal(t, syscall.SIGKILL)
			w.waitAcks(30)
			f.putJSON("http://"+f.platform.admin+"/standin/faults", platform.Faults{})
		}},
		{name: "entry host killed", hosts: 3, final: 1, fault: func(f *fleet, _ *workload) {
			f.hosts[0].signal(t, syscall.SIGKILL)
		}},
		{name: "entry host paused past every wait", hosts: 3, final: 1, fault: func(f *fleet, _ *workload) {
			f.hosts[0].signal(t, syscall.SIGSTOP)
			time.Sleep(7 * time.Second)
			f.hosts[0].signal(t, syscall.SIGCONT)
		}},
		{name: "answers that come twice, then primary killed", hosts: 3, fault: answerTwice},
		{name: "primary and an entry host killed together", hosts: 4, final: 2, fault: func(f *fleet, _ *workload) {
			f.hosts[0].signal(t, syscall.SIGKILL)
			f.nodes[0].signal(t, syscall.SIGKILL)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, c.hosts)
			w := startLoad(f, 6, c.use)
			w.waitAcks(30)
			c.fault(f, w)
			w.waitAcks(60)
			w.stopAndCheck(c.final)
			if g := w.longestGap(); g > maxWriteGap {
				t.Errorf("no write was acknowledged for %s", g)
			}
		})
	}
}
