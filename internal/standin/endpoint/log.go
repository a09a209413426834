package endpoint

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// statement is one SQL statement of a write transaction, with its arguments in
// text format.
type statement struct {
	SQL  string
	Args []*string
}

// statementJSON has the texts of a statement as base64, since JSON can't hold any bytes.
type statementJSON struct {
	SQL  []byte    `json:"sql"`
	Args []*[]byte `json:"args,omitempty"`
}

// MarshalJSON is part of json.Marshaler.
func (s statement) MarshalJSON() ([]byte, error) {
	j := statementJSON{SQL: []byte(s.SQL)}
	for _, a := range s.Args {
		var raw *[]byte
		if a != nil {
			b := []byte(*a)
			raw = &b
		}
		j.Args = append(j.Args, raw)
	}
	return json.Marshal(j)
}

// UnmarshalJSON is part of json.Unmarshaler.
func (s *statement) UnmarshalJSON(data []byte) error {
	var j statementJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return fmt.Errorf("statement: %w", err)
	}
	s.SQL, s.Args = string(j.SQL), nil
	for _, raw := range j.Args {
		var a *string
		if raw != nil {
			text := string(*raw)
			a = &text
		}
		s.Args = append(s.Args, a)
	}
	return nil
}

// entry is one committed transaction, or the entry without statements that
// starts a term. Prev is the last point of the previous term.
type entry struct {
	Point      session.Point `json:"point"`
	Prev       session.Point `json:"prev"`
	Statements []statement   `json:"statements,omitempty"`
	receivedAt time.Time     // on a replica
}

// entryLog holds the log entries; the first one has position 1.
type entryLog struct{ entries []entry }

func (l *entryLog) last() session.Point {
	if len(l.entries) == 0 {
		return session.Point{}
	}
	return l.entries[len(l.entries)-1].Point
}

// lastOfPreviousTerm returns the point just before the first entry of the log's
// last term.
func (l *entryLog) lastOfPreviousTerm() session.Point {
	if len(l.entries) == 0 {
		return session.Point{}
	}
	return l.entries[len(l.entries)-1].Prev
}

// pointAt returns the point at a position, or the zero point if the log has no
// such entry.
func (l *entryLog) pointAt(p session.Position) session.Point {
	if p == 0 || int(p) > len(l.entries) {
		return session.Point{}
	}
	return l.entries[p-1].Point
}

// append adds an entry of term t and returns its point.
func (l *entryLog) append(t session.Term, stmts []statement) session.Point {
	last := l.last()
	e := entry{Point: session.Point{Term: t, Position: last.Position + 1}, Prev: last, Statements: stmts}
	if last.Term == t {
		e.Prev = l.lastOfPreviousTerm()
	}
	l.entries = append(l.entries, e)
	return e.Point
}

// truncate removes the entries after position p.
func (l *entryLog) truncate(p session.Position) {
	if int(p) < len(l.entries) {
		l.entries = l.entries[:p:p]
	}
}

// lastOfEachTerm returns the last point of each term in the log, latest term
// first.
func (l *entryLog) lastOfEachTerm() []session.Point {
	var out []session.Point
	for p := l.last(); p.Position > 0; {
		out = append(out, p)
		p = l.entries[p.Position-1].Prev
	}
	return out
}

// commonPosition returns the highest position up to which l matches another log,
// given that log's lastOfEachTerm. It returns 0 if the logs have nothing in
// common.
func (l *entryLog) commonPosition(terms []session.Point) session.Position {
	for _, t := range terms {
		p := min(t.Position, l.last().Position)
		for p > 0 && l.pointAt(p).Term > t.Term {
			p--
		}
		if p > 0 && l.pointAt(p).Term == t.Term {
			return p
		}
	}
	return 0
}
