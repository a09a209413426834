package soak

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// runCalm runs real hosts without faults and reports each violation.
func runCalm(t *testing.T, opt Options) Report {
	t.Helper()
	if testing.Short() {
		t.Skip("runs processes for some seconds")
	}
	opt.Binary = filepath.Join(t.TempDir(), "cumintrestle-entry")
	if out, err := exec.Command("go", "build", "-o", opt.Binary, "../../cmd/cumintrestle-entry").CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	opt.Plan, opt.Length, opt.Hosts, opt.Callers = PlanCalm, 5*time.Second, 4, 24
	opt.Note = func(line string) { t.Log(line) }
	report, err := Run(context.Background(), opt)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range report.Violations[:min(len(report.Violations), 10)] {
		t.Errorf("seed %d: %+v", opt.Seed, v)
	}
	t.Logf("%d statements, %d violations, answers %v", report.Statements, len(report.Violations), report.Codes)
	return report
}

// TestTextsPassUnchanged guards against texts that entry hosts change, split or refuse: CR and LF,
// bytes that are not UTF-8, blanks at the end.
func TestTextsPassUnchanged(t *testing.T) {
	report := runCalm(t, Options{Seed: 901, SingleAnswers: true})
	for code, n := range report.Codes {
		if code != "" {
			t.Errorf("%d statements end with %q, though nothing failed", n, code)
		}
	}
}

// TestSecondAnswers guards against an answer that comes twice and is taken for that of the next
// request.
func TestSecondAnswers(t *testing.T) {
	runCalm(t, Options{Seed: 901, PlainTexts: true})
}
