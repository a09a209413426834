package soak

import (
	"slices"
	"strings"
	"time"

	"github.com/cumintrestle/cumintrestle/platform/standin"
)

const (
	// configApplyLimit is how long a change of the configuration may take to be in force.
	configApplyLimit = 3 * time.Second
	// unreadCutWindow is how soon after a request was sent its connection may end
	// without a violation, provided that no endpoint ran the request.
	unreadCutWindow = 200 * time.Millisecond
	// faultEffectTime is how long after its end a fault may still have effects.
	faultEffectTime = 5 * time.Second
)

// acceptedConfigs returns all versions of the configuration so far.
func (w *world) acceptedConfigs() []configVersion {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.configs)
}

// groupOf returns the index of the group whose endpoint issued a digest, or -1.
func (w *world) groupOf(digest string) int {
	for i, g := range w.groups {
		if strings.HasPrefix(digest, g.Name+"-") {
			return i
		}
	}
	return -1
}

// requestRan reports whether any endpoint ran the request with this id.
func (w *world) requestRan(id string) bool {
	for _, g := range w.groups {
		for _, d := range g.Databases {
			for _, r := range d.Runs() {
				if r.ID == id {
					return true
				}
			}
		}
	}
	return false
}

// check compares, after a run, what the endpoints ran and store with what callers
// sent and which answers they got. It returns all violations of the run.
func (l *ledger) check(runs []standin.Run, logs []string, tokens []uint64) []Violation {
	byDigest := make(map[string]standin.Run, len(runs))
	for _, r := range runs {
		l.checkRun(r)
		if r.Digest != "" {
			byDigest[r.Digest] = r
		}
	}
	l.checkAnswers(byDigest)
	for i := 1; i < len(tokens); i++ {
		if tokens[i] < tokens[i-1] {
			l.addViolation("token", "", "a promotion with token %d came after one with %d", tokens[i], tokens[i-1])
		}
	}
	for _, v := range l.history.Check(logs) {
		l.addViolation(string(v.Kind), v.ID, "%s", v.Text)
	}
	return l.violations
}

// checkPromotions checks that no two hosts promoted with the same fencing token.
func (l *ledger) checkPromotions(all []standin.Promotion) {
	holders := make(map[uint64]string)
	for _, p := range all {
		if h, ok := holders[p.Token]; ok && h != p.Holder {
			l.addViolation("token", "", "%s and %s promoted with token %d", h, p.Holder, p.Token)
		}
		holders[p.Token] = p.Holder
	}
}

// checkConfigInForce changes the configuration, and checks that each host uses the new
// version within configApplyLimit.
func (w *world) checkConfigInForce(l *ledger) {
	configs := w.acceptedConfigs()
	group := (configs[len(configs)-1].group + 1) % groups
	w.moveDatabase(group)
	end := time.Now().Add(configApplyLimit)
	for _, p := range w.hosts {
		for !w.readsMovingFrom(p, group) {
			if time.Now().After(end) {
				l.addViolation("config_late", "", "%s does not use the last configuration after %s", p.name, configApplyLimit)
				break
			}
			time.Sleep(pollInterval)
		}
	}
}

// readsMovingFrom reports whether a host reads the database "moving" from a group.
func (w *world) readsMovingFrom(p *process, group int) bool {
	c, err := standin.Connect(p.callerAddress, "moving", answerTimeout)
	if err != nil {
		return false
	}
	defer c.Close()
	a, err := c.Query(probeItem, "READ "+probeItem)
	return err == nil && a.Done() && w.groupOf(a.Digest) == group
}

// checkRun checks that a statement that an endpoint ran was sent by a caller, with
// the same text, and ran with exactly the session values of that caller.
func (l *ledger) checkRun(r standin.Run) {
	s, ok := l.sent[r.ID]
	if !ok {
		l.addViolation("unasked", r.ID, "nobody sent %q", r.Text)
		return
	}
	same := r.Text == s.text
	if s.shape != "" {
		f := strings.SplitN(r.Text, " ", 3)
		same = len(f) == 3 && f[0] == "EXEC" && f[2] == s.args && r.Body == s.shape
	}
	if !same {
		l.addViolation("unasked", r.ID, "%q (%s) was run, %q (%s) was sent", r.Text, r.Body, s.text, s.shape)
	}
	for name, v := range s.values {
		if r.Values[name] != v {
			l.addViolation("pinned", r.ID, "ran with %s = %q, want %q", name, r.Values[name], v)
		}
	}
	for name := range r.Values {
		if _, own := s.values[name]; !own {
			l.addViolation("pinned", r.ID, "ran with another session's %s", name)
		}
	}
}

// checkAnswers checks that each successful answer has the digest and row of its own
// statement's run, and that a transaction ran on a single connection.
func (l *ledger) checkAnswers(byDigest map[string]standin.Run) {
	conns := make(map[string]string)
	for id, s := range l.sent {
		if !s.answered || !s.answer.Done() || s.answer.Digest == "-" {
			continue
		}
		r, ok := byDigest[s.answer.Digest]
		if !ok || r.ID != id || len(s.answer.Rows) == 1 && s.answer.Rows[0] != r.Row {
			l.addViolation("mixed", id, "the answer %+v is not that of its own run %+v", s.answer, r)
			continue
		}
		if s.transaction == "" {
			continue
		}
		if first, ok := conns[s.transaction]; ok && first != r.Conn {
			l.addViolation("pinned", id, "a transaction ran on two connections")
		}
		conns[s.transaction] = r.Conn
	}
}
