package session

import "fmt"

// Group names a database group.
type Group string

// Term numbers a reign of one primary in a database group; it only grows.
type Term uint64

// Position counts log entries of a database group from 1; 0 is the empty log.
type Position uint64

// Point is a place in the log of a database group.
type Point struct {
	Term     Term     `json:"term" cbor:"1,keyasint"`
	Position Position `json:"position" cbor:"2,keyasint"`
}

// Less orders points by term, then by position.
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

// ParsePoint reads the form that String writes.
func ParsePoint(s string) (Point, error) {
	var p Point
	n, err := fmt.Sscanf(s, "%d/%d", &p.Term, &p.Position)
	if err != nil || n != 2 || p.String() != s {
		return Point{}, fmt.Errorf("log point %q: want term/position", s)
	}
	return p, nil
}
