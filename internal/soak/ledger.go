package soak

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/history"
	"github.com/cumintrestle/cumintrestle/platform/standin"
)

// Violation is one broken promise.
type Violation struct {
	Kind string `json:"kind"`
	ID   string `json:"id"`
	Text string `json:"text"`
}

// sent is one statement of a caller.
type sent struct {
	text, args, shape string
	values            map[string]string
	transaction       string
	at                time.Time
	answer            standin.Answer
	answered          bool
}

// acked is one write that was acknowledged: the newest value of its item then.
type acked struct {
	n       int
	at      time.Time
	session string
}

// second counts how statements ended in one second of the run.
type second struct {
	Done    int `json:"done"`
	Refused int `json:"refused"`
	Unknown int `json:"unknown"`
	Broken  int `json:"broken"`
}

// ledger is what callers sent and were told. It is safe for use by several
// goroutines.
type ledger struct {
	began time.Time

	mu         sync.Mutex
	history    history.History
	sent       map[string]*sent
	acks       map[string][]acked
	inForce    map[string]int
	violations []Violation
	seconds    []second
	last       int
}

func newLedger() *ledger {
	return &ledger{
		began: time.Now(), sent: make(map[string]*sent), acks: make(map[string][]acked), inForce: make(map[string]int),
	}
}

func (l *ledger) violate(kind, id, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, Violation{kind, id, fmt.Sprintf(format, args...)})
}

// send notes a statement before it goes out and returns its id.
func (l *ledger) send(s *sent) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last++
	id := fmt.Sprintf("q%d", l.last)
	s.at = time.Now()
	l.sent[id] = s
	return id
}

// answered notes how a statement ended.
func (l *ledger) answered(s *sent, a standin.Answer, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := int(time.Since(l.began).Seconds())
	for len(l.seconds) <= n {
		l.seconds = append(l.seconds, second{})
	}
	c := &l.seconds[n]
	switch {
	case err != nil:
		c.Broken++
		return
	case a.Done():
		c.Done++
	case a.NothingKept():
		c.Refused++
	default:
		c.Unknown++
	}
	s.answer, s.answered = a, true
}

// wrote notes what a caller was told of a value of an item.
func (l *ledger) wrote(group int, item string, n int, session string, o history.Outcome) {
	l.history.AddWrite(history.Write{ID: value(item, n), Outcome: o})
	if o != history.Acked {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acks[key(group, item)] = append(l.acks[key(group, item)], acked{n, time.Now(), session})
}

func key(group int, item string) string { return strconv.Itoa(group) + "/" + item }

func value(item string, n int) string { return item + ":" + strconv.Itoa(n) }

// needed is the newest value of an item that a read which begins now has to see.
func (l *ledger) needed(group int, item, session, consistency string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, now := 0, time.Now()
	for _, a := range l.acks[key(group, item)] {
		old := now.Sub(a.at) > maxAge
		if consistency == "primary" || old || consistency == "session" && a.session == session {
			n = max(n, a.n)
		}
	}
	return n
}

// saw checks the row of a read against what it had to see.
func (l *ledger) saw(id, item, row string, need int) {
	n := 0
	if row != "none" {
		name, number, _ := strings.Cut(row, ":")
		n, _ = strconv.Atoi(number)
		if name != item {
			l.violate("mixed", id, "a read of %s gives %q", item, row)
			return
		}
	}
	if n < need {
		l.violate("stale", id, "a read of %s gives value %d, but %d was acknowledged before it", item, n, need)
	}
}

// knownVersion is the version of the configuration that a host has shown to use.
func (l *ledger) knownVersion(host string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inForce[host]
}

// moved checks which group served the database that moves: in one life, a host
// never uses a configuration that is older than what it was known to use when the
// request was sent.
func (l *ledger) moved(id, host string, known, group int, put []configured) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := 0
	for _, c := range put {
		if c.group == group {
			newest = max(newest, c.version)
		}
	}
	if newest < known {
		l.violations = append(l.violations, Violation{"config_regress", id, fmt.Sprintf("%s used version %d after %d", host, newest, known)})
	}
	// A group that several versions name proves only the oldest that is not
	// older than what was known.
	proved := newest
	for _, c := range put {
		if c.group == group && c.version >= known {
			proved = min(proved, c.version)
		}
	}
	l.inForce[host] = max(l.inForce[host], proved)
}
