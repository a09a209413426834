package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/platform/standin"
)

// accountRun is a made-up run with accounts: key-0 belonged to mill until 10 s after the start, and
// to farm until 20 s after it.
type accountRun struct {
	l    *ledger
	a    *accountWorld
	runs []standin.Run
}

func newAccountRun() *accountRun {
	l := newLedger()
	l.began = l.began.Add(-time.Minute)
	at := func(seconds int) time.Time { return l.began.Add(time.Duration(seconds) * time.Second) }
	return &accountRun{l: l, a: &accountWorld{versions: []keyVersion{
		{from: at(0), until: at(10), account: map[string]string{"key-0": "mill", "key-1": "shop"}},
		{from: at(10), until: at(20), account: map[string]string{"key-0": "farm"}},
		{from: at(20), account: map[string]string{}},
	}}}
}

// send adds a statement with key-0 that was sent and run at the given time, in ms. An empty account
// means that it was answered with code and not run.
func (w *accountRun) send(ms, beganMS int, account, code, transaction string) {
	at := w.l.began.Add(time.Duration(ms) * time.Millisecond)
	id := fmt.Sprint("q", len(w.l.sent))
	w.l.sent[id] = &sentStatement{
		text: "READ a", key: "key-0", at: at, began: w.l.began.Add(time.Duration(beganMS) * time.Millisecond),
		transaction: transaction, answered: true, answer: standin.Answer{Code: code},
	}
	if account != "" {
		w.runs = append(w.runs, standin.Run{ID: id, Text: "READ a", User: account, At: at, Opens: transaction == ""})
	}
}

// operations adds n operations of account farm, 10 ms apart.
func (w *accountRun) operations(n, firstMS int) {
	for i := range n {
		w.send(firstMS+10*i, firstMS+10*i, "farm", "", "")
	}
}

// TestAccountChecker guards against a checker that overlooks work under a wrong account, a key that
// still works after it was revoked, or an account above its limit, and against false alarms.
func TestAccountChecker(t *testing.T) {
	tests := []struct {
		name string
		fill func(w *accountRun)
		want string
	}{
		{"own account", func(w *accountRun) { w.send(5000, 5000, "mill", "", "") }, ""},
		{"former account within the time of a change", func(w *accountRun) { w.send(14900, 14900, "mill", "", "") }, ""},
		{"former account too late", func(w *accountRun) { w.send(15100, 15100, "mill", "", "") }, "foreign_account"},
		{"next account too early", func(w *accountRun) { w.send(9900, 9900, "farm", "", "") }, "foreign_account"},
		{"account of another key", func(w *accountRun) { w.send(5000, 5000, "shop", "", "") }, "foreign_account"},
		{"no account at all", func(w *accountRun) {
			w.send(5000, 5000, "mill", "", "")
			w.runs[0].User = "application"
		}, "foreign_account"},
		{"work in progress", func(w *accountRun) { w.send(26000, 24000, "farm", "", "t") }, ""},
		{"transaction with a revoked key", func(w *accountRun) { w.send(26000, 25500, "farm", "", "t") }, "foreign_account"},
		{"revoked key is refused", func(w *accountRun) { w.send(26000, 26000, "", codeUnknownKey, "") }, ""},
		{"revoked key is refused with another code", func(w *accountRun) { w.send(26000, 26000, "", "BUSY", "") }, "revoked_key"},
		{"revoked key is served", func(w *accountRun) { w.send(26000, 26000, "", "", "") }, "revoked_key"},
		{"at the limit", func(w *accountRun) { w.operations(53, 12000) }, ""},
		{"above the limit", func(w *accountRun) { w.operations(54, 12000) }, "over_limit"},
		{"above the limit across a second", func(w *accountRun) {
			w.operations(27, 12000)
			w.operations(27, 16700)
		}, "over_limit"},
		{"at the limit in each window", func(w *accountRun) {
			w.operations(27, 12000)
			w.operations(27, 17300)
		}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newAccountRun()
			tt.fill(w)
			w.l.checkAccounts(w.a, w.runs)
			got := ""
			for _, v := range w.l.violations {
				got = v.Kind
			}
			if got != tt.want {
				t.Errorf("violations %+v, want kind %q", w.l.violations, tt.want)
			}
		})
	}
}

// TestKeysFollowFromTheSeed guards against configurations that differ between two runs of a seed, and
// against keys that never move.
func TestKeysFollowFromTheSeed(t *testing.T) {
	draw := func() string {
		w := &world{opt: Options{Seed: 3}, store: standin.NewStore()}
		defer w.store.Close()
		w.useAccounts()
		for range 20 {
			w.accounts.declare(map[string]any{})
			w.accounts.stored()
		}
		out, seen := "", make(map[string]bool)
		for _, v := range w.accounts.versions {
			out += fmt.Sprint(v.account)
			seen[v.account[keyName(0)]] = true
		}
		if len(seen) < 2 {
			t.Errorf("the accounts of %s are %v, want several", keyName(0), seen)
		}
		return out
	}
	if a, b := draw(), draw(); a != b {
		t.Errorf("two runs of a seed have the keys\n%s and\n%s", a, b)
	}
}
