package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cumintrestle/cumintrestle/platform/standin"
)

const (
	// limitWindow, limitOverage and limitSlack are the bounds of the limits of accounts.
	limitWindow  = 5 * time.Second
	limitOverage = 0.1
	limitSlack   = 20
	// keyChangeTime is how long a key may be used after the configuration that changes it.
	keyChangeTime = 5 * time.Second
	// changingKeys is the number of keys that the configurations move. The key of the next number
	// is unknown in all of them.
	changingKeys = 9
	// hotKey always belongs to the first account.
	hotKey = "hot-key"
	// codeUnknownKey is the code of the answer to a key that names no account.
	codeUnknownKey = "NOAUTH"
)

// limitedAccounts are the accounts of the callers. A third of them use the first, far above its limit.
var limitedAccounts = []standin.Account{
	{Name: "hot", Rate: 20, Burst: 20},
	{Name: "farm", Rate: 5, Burst: 5},
	{Name: "mill", Rate: 80, Burst: 80},
	{Name: "shop", Rate: 296, Burst: 296},
}

// accountWorld has the accounts of all configurations, and who grants their limits.
type accountWorld struct {
	mu sync.Mutex
	r  *rand.Rand
	// holders has the indexes of the accounts that hold each changing key.
	holders  [changingKeys][]int
	versions []keyVersion
	granter  string
	// targets has the hosts of faults that target the granting host, by their start.
	targets map[int64]*process
}

// keyVersion has the account of each key in one configuration, which was in force from the first
// time until the second at most. A key that several accounts hold has none.
type keyVersion struct {
	from, until time.Time
	account     map[string]string
}

// useAccounts has to be called before hosts start.
func (w *world) useAccounts() {
	a := &accountWorld{r: rand.New(rand.NewPCG(w.opt.Seed, 7)), targets: make(map[int64]*process)}
	for i := range a.holders {
		a.holders[i] = []int{i % len(limitedAccounts)}
	}
	w.accounts = a
	w.store.AddReleasedLimitsLease("host-0")
	w.store.OnWrite = func(table, key string, value []byte) {
		if holder, ok := standin.LimitsHolder(table, key, value); ok && holder != "" {
			a.mu.Lock()
			a.granter = holder
			a.mu.Unlock()
		}
	}
}

func keyName(i int) string { return fmt.Sprint("key-", i) }

// declare adds the accounts to the next configuration and changes two keys: each moves to another
// account, or belongs to none or to two from then on.
func (a *accountWorld) declare(config map[string]any) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for range 2 {
		holders := a.r.Perm(len(limitedAccounts))[:min(a.r.IntN(6), 1)]
		if a.r.IntN(6) == 0 {
			holders = a.r.Perm(len(limitedAccounts))[:2]
		}
		a.holders[a.r.IntN(changingKeys)] = holders
	}
	v := keyVersion{from: time.Now(), account: map[string]string{hotKey: limitedAccounts[0].Name}}
	all := append([]standin.Account{{Name: "probe", Keys: []string{"application"}}}, limitedAccounts...)
	all[1].Keys = []string{hotKey}
	for i, holders := range a.holders {
		for _, n := range holders {
			all[n+1].Keys = append(all[n+1].Keys, keyName(i))
		}
		if len(holders) == 1 {
			v.account[keyName(i)] = limitedAccounts[holders[0]].Name
		}
	}
	standin.AddAccounts(config, all)
	a.versions = append(a.versions, v)
}

// stored notes that the store has the last declared configuration.
func (a *accountWorld) stored() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if n := len(a.versions); n > 1 {
		a.versions[n-2].until = time.Now()
	}
}

// accountsOf returns the accounts of a key in the configurations that were in force between two times.
func (a *accountWorld) accountsOf(key string, from, to time.Time) map[string]bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	found := make(map[string]bool)
	for _, v := range a.versions {
		if name, ok := v.account[key]; ok && !v.from.After(to) && (v.until.IsZero() || !v.until.Before(from)) {
			found[name] = true
		}
	}
	return found
}

// connect opens a session. Where accounts are in use, it draws a key from a random sequence of its
// own, and a key that has named no account for keyChangeTime must be refused.
func (c *caller) connect(database string) (*standin.Caller, error) {
	a := c.w.accounts
	if a == nil {
		return standin.Connect(c.host.callerAddress, database, answerTimeout)
	}
	r := rand.New(rand.NewPCG(c.w.opt.Seed, uint64(c.number)<<32|uint64(c.sessions)))
	c.key = keyName(r.IntN(changingKeys + 1))
	if c.number%3 == 0 {
		c.key = hotKey
	}
	at := time.Now()
	conn, err := standin.ConnectWithKey(c.host.callerAddress, database, c.key, answerTimeout)
	if err == nil && len(a.accountsOf(c.key, at.Add(-keyChangeTime), time.Now())) == 0 {
		c.l.addViolation("revoked_key", c.session, "%s started a session with %s, which names no account", c.host.name, c.key)
	}
	return conn, err
}

// AccountUse is the use of one account in a run.
type AccountUse struct {
	Account    string `json:"account"`
	Operations int    `json:"operations"`
	// Busiest is the highest number of operations in a window, Limit the highest allowed one.
	Busiest int     `json:"busiest_window"`
	Limit   float64 `json:"limit"`
}

// checkAccounts checks that statements ran only under accounts of their session's key, that revoked
// keys were refused, and that no account exceeded its limit. It does nothing if a is nil.
func (l *ledger) checkAccounts(a *accountWorld, runs []standin.Run) []AccountUse {
	if a == nil {
		return nil
	}
	for _, r := range runs {
		if s, ok := l.sent[r.ID]; ok && !a.accountsOf(s.key, s.began.Add(-keyChangeTime), r.At)[r.User] {
			l.addViolation("foreign_account", r.ID, "%q with %s ran under account %s at %d ms", r.Text, s.key, r.User, r.At.Sub(l.began).Milliseconds())
		}
	}
	for id, s := range l.sent {
		// Endpoints get values and prepared statements with the next statement that they run.
		local := strings.HasPrefix(s.text, "SET ") || strings.HasPrefix(s.text, "PREPARE ")
		if !s.answered || s.transaction != "" || local || s.answer.Code == codeUnknownKey {
			continue
		}
		if len(a.accountsOf(s.key, s.at.Add(-keyChangeTime), s.at.Add(answerTimeout))) == 0 {
			l.addViolation("revoked_key", id, "%q with %s at %d ms was answered with %+v", s.text, s.key, s.at.Sub(l.began).Milliseconds(), s.answer)
		}
	}
	return l.checkLimits(runs)
}

// checkLimits checks the number of operations of each account in any window. Each attempt at an
// operation counts, since each needs an admission of its own.
func (l *ledger) checkLimits(runs []standin.Run) []AccountUse {
	times := make(map[string][]time.Time)
	for _, r := range runs {
		if r.Opens {
			times[r.User] = append(times[r.User], r.At)
		}
	}
	var uses []AccountUse
	for _, a := range limitedAccounts {
		at := times[a.Name]
		sort.Slice(at, func(i, j int) bool { return at[i].Before(at[j]) })
		u := AccountUse{Account: a.Name, Operations: len(at), Limit: (a.Rate*limitWindow.Seconds()+a.Burst)*(1+limitOverage) + limitSlack}
		first, end := 0, time.Time{}
		for last := range at {
			for at[last].Sub(at[first]) > limitWindow {
				first++
			}
			if n := last - first + 1; n > u.Busiest {
				u.Busiest, end = n, at[last]
			}
		}
		if float64(u.Busiest) > u.Limit {
			l.addViolation("over_limit", a.Name, "%d operations in the %s before %d ms, the limit is %g", u.Busiest, limitWindow, end.Sub(l.began).Milliseconds(), u.Limit)
		}
		uses = append(uses, u)
	}
	return uses
}

// target returns the host that grants limits when a fault begins, also when the fault ends.
func (w *world) target(f Fault) *process {
	w.accounts.mu.Lock()
	defer w.accounts.mu.Unlock()
	if p, ok := w.accounts.targets[f.AtMS]; ok {
		return p
	}
	p := w.hosts[f.Host]
	for _, o := range w.hosts {
		if o.name == w.accounts.granter {
			p = o
		}
	}
	w.accounts.targets[f.AtMS] = p
	return p
}

// granterKind is a fault of the host that grants limits.
func granterKind(name string, begin, end func(p *process)) faultKind {
	k := faultKind{name: name, begin: func(w *world, f Fault) { begin(w.target(f)) }}
	if end != nil {
		k.end = func(w *world, f Fault) { end(w.target(f)) }
	}
	return k
}

// sends returns a function that sends a signal to a host.
func sends(s syscall.Signal) func(p *process) { return func(p *process) { p.signal(s) } }

// setsStorePath returns a function that sets the mode of a host's paths to the store.
func setsStorePath(mode pathMode) func(p *process) {
	return func(p *process) {
		p.storeProxy.setMode(p.name, mode)
		p.promoteProxy.setMode(p.name, mode)
	}
}

// accountKinds are the faults of accounts and their limits.
var accountKinds = []faultKind{
	granterKind("granter_killed", sends(syscall.SIGKILL), nil), granterKind("granter_stopped", sends(syscall.SIGTERM), nil),
	granterKind("granter_paused", sends(syscall.SIGSTOP), sends(syscall.SIGCONT)),
	granterKind("granter_cut_from_store", setsStorePath(modeBlocked), setsStorePath(modeOpen)),
}

// accountFaults are the other faults of runs with accounts. They leave out those that hold statements
// back on the way to an endpoint, which may then run more of them in a window than were sent, and
// restores of the store, which put an earlier configuration in force.
var accountFaults = []string{
	"host_killed", "host_stopped", "host_reloads", "host_paused", "path_reset", "store_cut", "store_silent", "store_down",
	"primary_crashes", "all_hosts_killed",
}

// maxGranterFault is the longest fault of the granting host. It exceeds the lease, so that another
// host takes over.
const maxGranterFault = 10 * time.Second

// AccountPlan derives the faults of a run with accounts from its seed: changes of keys, faults of the
// granting host, and others in about equal parts.
func AccountPlan(seed uint64, length time.Duration, hosts int) []Fault {
	r := rand.New(rand.NewPCG(seed, 8))
	// After a loss of the granting host, grants are reduced for up to 18 s. Runs with fewer faults
	// bring the hot account to its limit.
	interval := meanFaultInterval << (seed % 3)
	var plan []Fault
	for at := meanFaultInterval; at < length; at += time.Duration(r.ExpFloat64() * float64(interval)) {
		f := Fault{
			Kind: "configuration_changes", AtMS: at.Milliseconds(), ForMS: 200 + r.Int64N(maxFaultDuration.Milliseconds()-200),
			Host: r.IntN(hosts), Group: r.IntN(groups), Member: r.IntN(membersPerGroup),
		}
		switch r.IntN(3) {
		case 0:
			f.Kind = accountKinds[r.IntN(len(accountKinds))].name
			f.ForMS = 200 + r.Int64N(maxGranterFault.Milliseconds()-200)
		case 1:
			f.Kind = accountFaults[r.IntN(len(accountFaults))]
		}
		plan = append(plan, f)
	}
	return plan
}
