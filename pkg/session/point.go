package session

import "fmt"

// Group is the name of a database group.
type Group string

// Account is the name of a client account. The empty account stands for callers of public
// databases, and for all callers where accounts are not in use.
type Account string

// Term identifies a period in which one primary leads a database group. Terms only
// increase.
type Term uint64

// Position is the index of a log entry in a database group, starting at 1; 0 means
// an empty log.
type Position uint64

// Point identifies an entry in the log of a database group by term and position.
type Point struct {
	Term     Term     `json:"term" cbor:"1,keyasint"`
	Position Position `json:"position" cbor:"2,keyasint"`
}

// Less reports whether p is before q, by term, then by position.
func (p Point) Less(q Point) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.Position < q.Position
}

// Max returns the later of two points.
func (p Point) Max(q Point) Point {
	if p.Less(q) {
		return q
	}
	return p
}

// String formats the point as term/position.
func (p Point) String() string {
	return fmt.Sprintf("%d/%d", p.Term, p.Position)
}

// ParsePoint parses the format of String.
func ParsePoint(s string) (Point, error) {
	var p Point
	n, err := fmt.Sscanf(s, "%d/%d", &p.Term, &p.Position)
	if err != nil || n != 2 || p.String() != s {
		return Point{}, fmt.Errorf("log point %q: want term/position", s)
	}
	return p, nil
}
