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

// madeRun is a run that was made by hand.
type madeRun struct {
	l      *ledger
	runs   []standin.Run
	logs   []string
	tokens []uint64
}

// soundRun breaks no promise.
func soundRun() *madeRun {
	l := newLedger()
	s := &sent{text: "WRITE a a:1", values: map[string]string{"v": "1"}, transaction: "t"}
	l.sent["q1"] = s
	l.answered(s, standin.Answer{Digest: "orders0-0.1.1"}, nil)
	l.wrote(0, "a", 1, "s", history.Acked)
	return &madeRun{
		l:      l,
		runs:   []standin.Run{{ID: "q1", Text: "WRITE a a:1", Values: map[string]string{"v": "1"}, Conn: "c1", Digest: "orders0-0.1.1"}},
		logs:   []string{"a:1"},
		tokens: []uint64{1, 2},
	}
}

// spoils break one promise each.
var spoils = []struct {
	kind  string
	spoil func(w *madeRun)
}{
	{"lost", func(w *madeRun) { w.logs = nil }},
	{"doubled", func(w *madeRun) { w.logs = []string{"a:1", "a:1"} }},
	{"false_not_run", func(w *madeRun) {
		w.l.wrote(0, "b", 1, "s", history.NotRun)
		w.logs = append(w.logs, "b:1")
	}},
	{"never_written", func(w *madeRun) { w.logs = append(w.logs, "c:1") }},
	{"unasked", func(w *madeRun) { w.runs[0].Text = "WRITE a a:2" }},
	{"unasked", func(w *madeRun) { w.runs = append(w.runs, standin.Run{ID: "q9", Text: "READ x"}) }},
	{"pinned", func(w *madeRun) { w.runs[0].Values = map[string]string{} }},
	{"pinned", func(w *madeRun) { w.runs[0].Values["other"] = "x" }},
	{"pinned", func(w *madeRun) {
		s := &sent{text: "COMMIT", transaction: "t"}
		w.l.sent["q2"] = s
		w.l.answered(s, standin.Answer{Digest: "orders0-0.1.2"}, nil)
		w.runs = append(w.runs, standin.Run{ID: "q2", Text: "COMMIT", Conn: "c2", Digest: "orders0-0.1.2"})
	}},
	{"mixed", func(w *madeRun) { w.l.sent["q1"].answer.Digest = "orders0-0.1.7" }},
	{"mixed", func(w *madeRun) { w.l.sent["q1"].answer.Rows = []string{"of another"} }},
	{"mixed", func(w *madeRun) { w.l.saw("q1", "a", "b:1", 0) }},
	{"stale", func(w *madeRun) { w.l.saw("q1", "a", "none", w.l.needed(0, "a", "other", "primary")) }},
	{"stale", func(w *madeRun) { w.l.saw("q1", "a", "none", w.l.needed(0, "a", "s", "session")) }},
	{"token", func(w *madeRun) { w.tokens = []uint64{2, 1} }},
	{"config_regress", func(w *madeRun) {
		put := []configured{{1, 0, time.Now()}, {2, 1, time.Now()}}
		w.l.moved("q1", "h", w.l.knownVersion("h"), 1, put)
		w.l.moved("q2", "h", w.l.knownVersion("h"), 0, put)
	}},
}

// TestChecker checks that each kind of broken promise is found in a run that was
// made by hand, and nothing in the run that breaks none.
func TestChecker(t *testing.T) {
	sound := soundRun()
	if got := sound.l.check(sound.runs, sound.logs, sound.tokens); len(got) > 0 {
		t.Errorf("a sound run gives %v", got)
	}
	for _, tt := range spoils {
		t.Run(tt.kind, func(t *testing.T) {
			w := soundRun()
			tt.spoil(w)
			got := w.l.check(w.runs, w.logs, w.tokens)
			for _, v := range got {
				if v.Kind == tt.kind {
					return
				}
			}
			t.Errorf("found %v, want %q", got, tt.kind)
		})
	}
}

// TestLateOldConfiguration reproduces a false alarm of seed 109: a read that was
// sent before a change, and answered after a later read that used it.
func TestLateOldConfiguration(t *testing.T) {
	l := newLedger()
	put := []configured{{1, 0, time.Now()}, {3, 2, time.Now()}}
	before := l.knownVersion("h")
	l.moved("later", "h", before, 2, put)
	l.moved("earlier", "h", before, 0, put)
	if len(l.violations) != 0 {
		t.Errorf("found %v", l.violations)
	}
	if got := l.knownVersion("h"); got != 3 {
		t.Errorf("the host is known to use version %d, want 3", got)
	}
}

// TestNeeded checks what a read has to see: a bounded read nothing that is
// young, a session read only its own.
func TestNeeded(t *testing.T) {
	l := newLedger()
	l.acks[key(0, "a")] = []acked{{n: 1, at: time.Now().Add(-2 * maxAge), session: "s1"}, {n: 2, at: time.Now(), session: "s1"}}
	for consistency, want := range map[string]int{"primary": 2, "bounded": 1, "session": 1} {
		if got := l.needed(0, "a", "s2", consistency); got != want {
			t.Errorf("a %s read of another session needs value %d, want %d", consistency, got, want)
		}
	}
	if got := l.needed(0, "a", "s1", "session"); got != 2 {
		t.Errorf("a read of the session itself needs value %d, want 2", got)
	}
}

func TestPlanFollowsFromItsSeed(t *testing.T) {
	a, b := Plan(7, time.Minute, 5), Plan(7, time.Minute, 5)
	if len(a) == 0 || len(a) != len(b) {
		t.Fatalf("%d and %d faults", len(a), len(b))
	}
	for i := range a {
		if a[i] != b[i] {
			t.Errorf("fault %d is %+v and %+v", i, a[i], b[i])
		}
	}
}

// regression is a seed that failed once.
type regression struct {
	Seed    uint64 `json:"seed"`
	LoadMS  int64  `json:"load_ms"`
	Hosts   int    `json:"hosts"`
	Callers int    `json:"callers"`
	Cause   string `json:"cause"`
}

// TestSoak plays the seeds that failed before, and some more.
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
			Binary: binary, Seed: p.Seed, Length: time.Duration(p.LoadMS) * time.Millisecond, Hosts: p.Hosts, Callers: p.Callers,
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
	}
}
