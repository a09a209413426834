package soak

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/history"
	"github.com/cumintrestle/cumintrestle/platform/standin"
)

// Violation is one guarantee of the proxy that a run broke.
type Violation struct {
	Kind string `json:"kind"`
	ID   string `json:"id"`
	Text string `json:"text"`
	// AtMS is when it was found, counted from the start of the load.
	AtMS int64 `json:"at_ms"`
}

// sentStatement is one statement that a caller sent, and its answer if there was one.
type sentStatement struct {
	text, args, shape string
	values            map[string]string
	transaction       string
	at                time.Time
	// key is the key of the session, began when its single statement or transaction was sent.
	key      string
	began    time.Time
	answer   standin.Answer
	answered bool
}

// ackedWrite is an acknowledged write of value number n of an item.
type ackedWrite struct {
	n       int
	at      time.Time
	session string
}

// secondCounts counts the statements that ended in one second of the run, by result.
type secondCounts struct {
	Done    int `json:"done"`
	Refused int `json:"refused"`
	Unknown int `json:"unknown"`
	Broken  int `json:"broken"`
}

// ledger records what callers sent and which answers they got. It is safe for
// concurrent use.
type ledger struct {
	began time.Time

	mu      sync.Mutex
	history history.History
	sent    map[string]*sentStatement
	acks    map[string][]ackedWrite
	// knownVersions has, for each incarnation of a host, the newest version of the
	// configuration that it is known to use.
	knownVersions map[string]int
	violations    []Violation
	seconds       []secondCounts
	codes         map[string]int
	lastID        int
	// texts makes the texts of callers.
	texts texts
}

func newLedger() *ledger {
	return &ledger{
		began: time.Now(), sent: make(map[string]*sentStatement), acks: make(map[string][]ackedWrite), knownVersions: make(map[string]int), codes: make(map[string]int),
	}
}

func (l *ledger) addViolation(kind, id, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, Violation{kind, id, fmt.Sprintf(format, args...), time.Since(l.began).Milliseconds()})
}

// recordStatement records a statement before it is sent and returns its request id.
func (l *ledger) recordStatement(s *sentStatement) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	id := fmt.Sprintf("q%d", l.lastID) + l.texts.name(rand.New(rand.NewPCG(uint64(l.lastID), 0)))
	s.at = time.Now()
	l.sent[id] = s
	return id
}

// recordAnswer records the answer to a statement and counts the result in the
// current second. An error means that there was no answer.
func (l *ledger) recordAnswer(s *sentStatement, a standin.Answer, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := int(time.Since(l.began).Seconds())
	for len(l.seconds) <= n {
		l.seconds = append(l.seconds, secondCounts{})
	}
	c := &l.seconds[n]
	switch {
	case err != nil:
		c.Broken++
		l.codes["none"]++
		return
	case a.Done():
		c.Done++
	case a.NothingKept():
		c.Refused++
	default:
		c.Unknown++
	}
	l.codes[a.Code]++
	s.answer, s.answered = a, true
}

// countClosed counts a session that the host has closed between two statements.
func (l *ledger) countClosed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.codes["closed"]++
}

// recordWrite records the outcome of a write of value number n of an item, as its
// caller knows it.
func (l *ledger) recordWrite(group int, item string, n int, session string, o history.Outcome) {
	l.history.AddWrite(history.Write{ID: l.texts.itemValue(item, n), Outcome: o})
	if o != history.Acked {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acks[itemKey(group, item)] = append(l.acks[itemKey(group, item)], ackedWrite{n, time.Now(), session})
}

func itemKey(group int, item string) string { return strconv.Itoa(group) + "/" + item }

// requiredValue returns the lowest number that a read of an item may return if it
// begins now. Reads from the primary must return the newest acknowledged write,
// session reads also that of their own session, and all reads each write that was
// acknowledged longer than maxAge ago.
func (l *ledger) requiredValue(group int, item, session, consistency string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, now := 0, time.Now()
	for _, a := range l.acks[itemKey(group, item)] {
		old := now.Sub(a.at) > maxAge
		if consistency == "primary" || old || consistency == "session" && a.session == session {
			n = max(n, a.n)
		}
	}
	return n
}

// checkRead checks that a read returned a value of the item, and none older than
// the required one.
func (l *ledger) checkRead(id, item, row string, required int) {
	n := 0
	if row != "none" {
		_, number, _ := strings.Cut(row, ":")
		number, _, _ = strings.Cut(number, ":")
		n, _ = strconv.Atoi(number)
		if row != l.texts.itemValue(item, n) {
			l.addViolation("mixed", id, "a read of %s gives %q", item, row)
			return
		}
	}
	if n < required {
		l.addViolation("stale", id, "a read of %s gives value %d, but %d was acknowledged before it", item, n, required)
	}
}

// knownVersion returns the newest version of the configuration that a host is known
// to use.
func (l *ledger) knownVersion(host string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.knownVersions[host]
}

// checkMovingRead checks which group served a read from the database "moving".
// Until it restarts, a host must not use a version of the configuration older than
// the one it was known to use when the request was sent.
func (l *ledger) checkMovingRead(id, host string, known, group int, configs []configVersion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := 0
	for _, c := range configs {
		if c.group == group {
			newest = max(newest, c.version)
		}
	}
	if newest < known {
		l.violations = append(l.violations, Violation{
			"config_regress", id, fmt.Sprintf("%s used version %d after %d", host, newest, known), time.Since(l.began).Milliseconds(),
		})
	}
	// If several versions name this group, the read proves only the use of the
	// oldest of them that is not older than the known version.
	proved := newest
	for _, c := range configs {
		if c.group == group && c.version >= known {
			proved = min(proved, c.version)
		}
	}
	l.knownVersions[host] = max(l.knownVersions[host], proved)
}
