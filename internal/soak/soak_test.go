package soak

import (
	"context"
	"encoding/json"
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/history"
	"github.com/cumintrestle/cumintrestle/platform/standin"
)

var (
	seeds  = flag.Uint64("seeds", 2, "number of fresh seeds that TestSoak plays")
	first  = flag.Uint64("seed", 1, "first seed")
	length = flag.Duration("load", 4*time.Second, "length of each run's load")
)

// recordedRun is input for the checker that is written by hand.
type recordedRun struct {
	l      *ledger
	runs   []standin.Run
	logs   []string
	tokens []uint64
}

// validRun returns a run without violations.
func validRun() *recordedRun {
	l := newLedger()
	l.texts.plain = true
	s := &sentStatement{text: "WRITE a a:1", values: map[string]string{"v": "1"}, transaction: "t"}
	l.sent["q1"] = s
	l.recordAnswer(s, standin.Answer{Digest: "orders0-0.1.1"}, nil)
	l.recordWrite(0, "a", 1, "s", history.Acked)
	return &recordedRun{
		l:      l,
		runs:   []standin.Run{{ID: "q1", Text: "WRITE a a:1", Values: map[string]string{"v": "1"}, Conn: "c1", Digest: "orders0-0.1.1"}},
		logs:   []string{"a:1"},
		tokens: []uint64{1, 2},
	}
}

// violationCases change a valid run so that it has a violation of the given kind.
var violationCases = []struct {
	kind    string
	corrupt func(w *recordedRun)
}{
	{"lost", func(w *recordedRun) { w.logs = nil }},
	{"doubled", func(w *recordedRun) { w.logs = []string{"a:1", "a:1"} }},
	{"false_not_run", func(w *recordedRun) {
		w.l.recordWrite(0, "b", 1, "s", history.NotRun)
		w.logs = append(w.logs, "b:1")
	}},
	{"never_written", func(w *recordedRun) { w.logs = append(w.logs, "c:1") }},
	{"unasked", func(w *recordedRun) { w.runs[0].Text = "WRITE a a:2" }},
	{"unasked", func(w *recordedRun) { w.runs = append(w.runs, standin.Run{ID: "q9", Text: "READ x"}) }},
	{"pinned", func(w *recordedRun) { w.runs[0].Values = map[string]string{} }},
	{"pinned", func(w *recordedRun) { w.runs[0].Values["other"] = "x" }},
	{"pinned", func(w *recordedRun) {
		s := &sentStatement{text: "COMMIT", transaction: "t"}
		w.l.sent["q2"] = s
		w.l.recordAnswer(s, standin.Answer{Digest: "orders0-0.1.2"}, nil)
		w.runs = append(w.runs, standin.Run{ID: "q2", Text: "COMMIT", Conn: "c2", Digest: "orders0-0.1.2"})
	}},
	{"mixed", func(w *recordedRun) { w.l.sent["q1"].answer.Digest = "orders0-0.1.7" }},
	{"mixed", func(w *recordedRun) { w.l.sent["q1"].answer.Rows = []string{"of another"} }},
	{"mixed", func(w *recordedRun) { w.l.checkRead("q1", "a", "b:1", 0) }},
	{"stale", func(w *recordedRun) { w.l.checkRead("q1", "a", "none", w.l.requiredValue(0, "a", "other", "primary")) }},
	{"stale", func(w *recordedRun) { w.l.checkRead("q1", "a", "none", w.l.requiredValue(0, "a", "s", "session")) }},
	{"token", func(w *recordedRun) { w.tokens = []uint64{2, 1} }},
	{"config_regress", func(w *recordedRun) {
		put := []configVersion{{1, 0, time.Now()}, {2, 1, time.Now()}}
		w.l.checkMovingRead("q1", "h", w.l.knownVersion("h"), 1, put)
		w.l.checkMovingRead("q2", "h", w.l.knownVersion("h"), 0, put)
	}},
}

// TestChecker checks that the checker finds each kind of violation, and none in a
// valid run.
func TestChecker(t *testing.T) {
	sound := validRun()
	if got := sound.l.check(sound.runs, sound.logs, sound.tokens); len(got) > 0 {
		t.Errorf("violations in a valid run: %v", got)
	}
	for _, tt := range violationCases {
		t.Run(tt.kind, func(t *testing.T) {
			w := validRun()
			tt.corrupt(w)
			got := w.l.check(w.runs, w.logs, w.tokens)
			for _, v := range got {
				if v.Kind == tt.kind {
					return
				}
			}
			t.Errorf("violations %v, want one of kind %q", got, tt.kind)
		})
	}
}

// TestLateOldConfiguration reproduces a false alarm of seed 109: a read that was sent
// before a change of the configuration and answered after a later read that used the
// new version.
func TestLateOldConfiguration(t *testing.T) {
	l := newLedger()
	put := []configVersion{{1, 0, time.Now()}, {3, 2, time.Now()}}
	before := l.knownVersion("h")
	l.checkMovingRead("later", "h", before, 2, put)
	l.checkMovingRead("earlier", "h", before, 0, put)
	if len(l.violations) != 0 {
		t.Errorf("unexpected violations: %v", l.violations)
	}
	if got := l.knownVersion("h"); got != 3 {
		t.Errorf("the host is known to use version %d, want 3", got)
	}
}

// TestNeeded checks which values a read may return: a bounded read may miss all young
// writes, a session read only those of other sessions.
func TestNeeded(t *testing.T) {
	l := newLedger()
	l.acks[itemKey(0, "a")] = []ackedWrite{{n: 1, at: time.Now().Add(-2 * maxAge), session: "s1"}, {n: 2, at: time.Now(), session: "s1"}}
	for consistency, want := range map[string]int{"primary": 2, "bounded": 1, "session": 1} {
		if got := l.requiredValue(0, "a", "s2", consistency); got != want {
			t.Errorf("a %s read of another session must return value %d, want %d", consistency, got, want)
		}
	}
	if got := l.requiredValue(0, "a", "s1", "session"); got != 2 {
		t.Errorf("a read of the same session must return value %d, want 2", got)
	}
}

func TestPlanFollowsFromItsSeed(t *testing.T) {
	a, b := Plan(7, time.Minute, 5), Plan(7, time.Minute, 5)
	if len(a) == 0 || len(a) != len(b) {
		t.Fatalf("the plans have %d and %d faults, want the same number and not 0", len(a), len(b))
	}
	for i := range a {
		if a[i] != b[i] {
			t.Errorf("fault %d differs: %+v and %+v", i, a[i], b[i])
		}
	}
}

// regression is a run that failed once, or a new seed.
type regression struct {
	Seed    uint64 `json:"seed"`
	LoadMS  int64  `json:"load_ms"`
	Hosts   int    `json:"hosts"`
	Callers int    `json:"callers"`
	Plan    string `json:"plan"`
	Cause   string `json:"cause"`
}

// TestSoak runs the seeds that failed before, and some new ones.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for half a minute")
	}
	binary := filepath.Join(t.TempDir(), "cumintrestle-entry")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/cumintrestle-entry").CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	var plays []regression
	body, err := os.ReadFile("testdata/seeds.json")
	if err == nil {
		err = json.Unmarshal(body, &plays)
	}
	if err != nil {
		t.Fatal(err)
	}
	for n := range *seeds {
		plays = append(plays, regression{Seed: *first + n, LoadMS: length.Milliseconds(), Hosts: 4, Callers: 12, Cause: "a fresh seed"})
	}
	for _, p := range plays {
		report, err := Run(context.Background(), Options{
			Binary: binary, Seed: p.Seed, Length: time.Duration(p.LoadMS) * time.Millisecond, Hosts: p.Hosts, Callers: p.Callers, Plan: p.Plan,
			Note: func(line string) { t.Log(line) },
		})
		if err != nil {
			t.Fatal(err)
		}
		for _, v := range report.Violations {
			t.Errorf("seed %d (%s): %+v, faults %+v", p.Seed, p.Cause, v, report.Faults)
		}
		if report.Statements == 0 {
			t.Errorf("seed %d: no statement was run", p.Seed)
		}
		for _, u := range report.Accounts {
			if u.Operations == 0 {
				t.Errorf("seed %d: account %s ran no operation", p.Seed, u.Account)
			}
		}
	}
}
