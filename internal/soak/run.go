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
	// startupTimeout is how long all hosts together may take to serve writes at first.
	startupTimeout = 15 * time.Second
	// recoveryTimeout is how long after the last fault each group may take to serve
	// writes again. It has to exceed the wait for a replica that lost its log.
	recoveryTimeout = 25 * time.Second
	// statementDrainTime lets running statements end before the endpoints' logs are
	// compared.
	statementDrainTime = 500 * time.Millisecond
)

// Options configure a run.
type Options struct {
	// Binary is the path of the entry host program.
	Binary string
	Seed   uint64
	// Length is the duration of the load.
	Length         time.Duration
	Hosts, Callers int
	// LogDir is the directory for the hosts' logs; if it is empty, they are discarded.
	LogDir string
	// Note receives messages about the soak itself; it may be nil.
	Note func(line string)
	// Plan names the plan that is derived from the seed: PlanMixed, PlanSwitches, PlanPrimaries,
	// PlanLosses, PlanAccounts, PlanRestarts or PlanCalm.
	Plan string
	// PlainTexts makes callers send printable texts without long ones, SingleAnswers makes endpoints
	// send each answer once.
	PlainTexts, SingleAnswers bool
	// LongTexts makes callers send many values of up to maxLongPlainText bytes where texts are plain.
	LongTexts bool
	// Work makes statements take time at endpoints, as PlanRestarts does.
	Work bool
	// Faults replaces the plan derived from the seed.
	Faults []Fault
}

const (
	// PlanMixed is Plan. It is the default.
	PlanMixed = ""
	// PlanSwitches is SwitchPlan.
	PlanSwitches = "switches"
	// PlanPrimaries is PrimaryPlan.
	PlanPrimaries = "primaries"
	// PlanLosses is LossPlan.
	PlanLosses = "losses"
	// PlanAccounts is AccountPlan. Client accounts and their limits are in use.
	PlanAccounts = "accounts"
	// PlanRestarts is RestartPlan. Endpoints take time for statements.
	PlanRestarts = "restarts"
	// PlanCalm has no faults.
	PlanCalm = "calm"
)

// plans has the plans by name.
var plans = map[string]func(seed uint64, length time.Duration, hosts int) []Fault{
	PlanMixed: Plan, PlanSwitches: SwitchPlan, PlanPrimaries: PrimaryPlan, PlanLosses: LossPlan, PlanAccounts: AccountPlan,
	PlanRestarts: RestartPlan, PlanCalm: func(uint64, time.Duration, int) []Fault { return []Fault{} },
}

// Report is the result of a run.
type Report struct {
	Seed        uint64 `json:"seed"`
	Hosts       int    `json:"hosts"`
	Callers     int    `json:"callers"`
	Connections int    `json:"connections"`
	Statements  int    `json:"statements"`
	Promotions  int    `json:"promotions"`
	RecoveredMS int64  `json:"recovered_ms"`
	// SwitchFaults is the number of faults that started within a switch.
	SwitchFaults int `json:"switch_faults"`
	// Accounts has the use of each account.
	Accounts   []AccountUse   `json:"accounts,omitempty"`
	Gaps       []Gap          `json:"gaps"`
	Faults     []Fault        `json:"faults"`
	Seconds    []secondCounts `json:"seconds"`
	Violations []Violation    `json:"violations"`
	// Codes counts the answers by their code, "" for success, the statements without an answer as
	// "none", and the sessions that a host closed between two statements as "closed".
	Codes map[string]int `json:"codes"`
}

func (o Options) note(line string) {
	if o.Note != nil {
		o.Note(line)
	}
}

// Run starts the hosts, runs the load with the faults of one seed, waits until all
// groups serve writes again, and checks the results.
func Run(ctx context.Context, opt Options) (Report, error) {
	derive, ok := plans[opt.Plan]
	if !ok {
		return Report{}, fmt.Errorf("soak: no plan is called %q", opt.Plan)
	}
	w, err := newWorld(opt)
	defer w.close()
	if err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go w.runEndpoints(ctx)
	if !w.awaitWritable(ctx, startupTimeout) {
		return Report{}, fmt.Errorf("soak: the hosts do not serve writes within %s", startupTimeout)
	}
	plan := opt.Faults
	if plan == nil {
		plan = derive(opt.Seed, opt.Length, opt.Hosts)
	}
	l := newLedger()
	l.texts.plain, l.texts.long = opt.PlainTexts, opt.LongTexts
	w.runLoad(ctx, l, plan)
	report := Report{Seed: opt.Seed, Hosts: opt.Hosts, Callers: opt.Callers, Connections: w.connLimit, Faults: plan}
	began := time.Now()
	w.clearFaults()
	if !w.awaitWritable(ctx, recoveryTimeout) {
		l.addViolation("recover", "", "a group does not serve writes %s after the last fault", recoveryTimeout)
	}
	report.RecoveredMS = time.Since(began).Milliseconds()
	w.checkConfigInForce(l)
	l.checkPromotions(w.store.Promotions())
	for _, p := range w.hosts {
		p.kill()
	}
	time.Sleep(statementDrainTime)
	report.Gaps, report.SwitchFaults = l.checkSwitches(w.groups), w.sprung
	runs, logs, tokens := w.collect()
	report.Accounts = l.checkAccounts(w.accounts, runs)
	report.Violations = l.check(runs, logs, tokens)
	report.Statements, report.Seconds, report.Codes = len(l.sent), l.seconds, l.codes
	report.Promotions = len(w.store.Tokens())
	return report, nil
}

// runEndpoints lets the endpoints replicate and register until ctx ends.
func (w *world) runEndpoints(ctx context.Context) {
	t := time.NewTicker(endpointUpdateInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			w.updateEndpoints()
		}
	}
}

// runLoad runs the callers and the faults of the plan for the length of the load.
func (w *world) runLoad(ctx context.Context, l *ledger, plan []Fault) {
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
	w.runFaults(ctx, l.began, plan)
	wg.Wait()
}

// clearFaults ends all faults that may still be active.
func (w *world) clearFaults() {
	w.store.Down(false)
	w.store.DropAnswers(0)
	for _, p := range w.hosts {
		p.signal(syscall.SIGCONT)
		p.storeProxy.setMode(p.name, modeOpen)
		p.promoteProxy.setMode(p.name, modeOpen)
		for _, b := range w.endpointProxies {
			b.setMode(p.name, modeOpen)
		}
	}
	for _, g := range w.groups {
		for _, d := range g.Databases {
			d.ClearFaults()
			w.withdraw(d.ID, false)
		}
	}
}

// awaitWritable waits until each host has served a write to each group. It returns
// false if that takes longer than limit or ctx ends.
func (w *world) awaitWritable(ctx context.Context, limit time.Duration) bool {
	end := time.Now().Add(limit)
	for _, p := range w.hosts {
		for i := range w.groups {
			for !w.canWrite(p, i) {
				if time.Now().After(end) || ctx.Err() != nil {
					return false
				}
				time.Sleep(pollInterval)
			}
		}
	}
	return true
}

// probeItem is the item, and the request id, of the writes that test whether a group
// is writable.
const probeItem = "probe"

// canWrite reports whether a host serves a write to a group.
func (w *world) canWrite(p *process, group int) bool {
	c, err := standin.Connect(p.callerAddress, fmt.Sprint("primary", group), answerTimeout)
	if err != nil {
		return false
	}
	defer c.Close()
	a, err := c.Query(probeItem, "WRITE "+probeItem+" x")
	return err == nil && a.Done()
}

// collect returns the statements that endpoints ran, the writes that they store, both
// without probe writes, and the fencing tokens of all promotions in order.
func (w *world) collect() (runs []standin.Run, logs []string, tokens []uint64) {
	for _, g := range w.groups {
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
