package endpoint

import (
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// statement is one committed SQL statement with its arguments as text.
type statement struct {
	SQL  string    `json:"sql"`
	Args []*string `json:"args,omitempty"`
}

// entry is one committed transaction, or the empty first entry of a term.
type entry struct {
	Point      session.Point `json:"point"`
	Prev       session.Point `json:"prev"`
	Statements []statement   `json:"statements,omitempty"`
	receivedAt time.Time
}

// entryLog holds entries at positions 1, 2, 3 and so on.
type entryLog struct{ entries []entry }

func (l *entryLog) last() session.Point {
	if len(l.entries) == 0 {
		return session.Point{}
	}
	return l.entries[len(l.entries)-1].Point
}

// termPrev returns the last entry before the first entry of the last term.
func (l *entryLog) termPrev() session.Point {
	if len(l.entries) == 0 {
		return session.Point{}
	}
	return l.entries[len(l.entries)-1].Prev
}

func (l *entryLog) at(p session.Position) session.Point {
	if p == 0 || int(p) > len(l.entries) {
		return session.Point{}
	}
	return l.entries[p-1].Point
}

func (l *entryLog) append(t session.Term, stmts []statement) session.Point {
	last := l.last()
	e := entry{Point: session.Point{Term: t, Position: last.Position + 1}, Prev: last, Statements: stmts}
	if last.Term == t {
		e.Prev = l.termPrev()
	}
	l.entries = append(l.entries, e)
	return e.Point
}

func (l *entryLog) truncate(p session.Position) {
	if int(p) < len(l.entries) {
		l.entries = l.entries[:p:p]
	}
}

// terms lists the last point of each term in the log, latest first.
func (l *entryLog) terms() []session.Point {
	var out []session.Point
	for p := l.last(); p.Position > 0; {
		out = append(out, p)
		p = l.entries[p.Position-1].Prev
	}
	return out
}

// common returns the highest position at which l holds the same entry as a
// log whose terms are given.
func (l *entryLog) common(terms []session.Point) session.Position {
	for _, t := range terms {
		p := min(t.Position, l.last().Position)
		for p > 0 && l.at(p).Term > t.Term {
			p--
		}
		if p > 0 && l.at(p).Term == t.Term {
			return p
		}
	}
	return 0
}
