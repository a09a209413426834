// Package session holds the session token: what one caller has written and
// read, as one log point for each database group.
//
// The token is opaque to callers. They keep the last one they were given and
// hand it to any entry host, which then serves no answer older than it.
//
// # Usage
//
//	var t session.Token
//	t.Observe("die-ledger-1", session.Point{Term: 3, Position: 118})
//	text := t.String()               // reported to the caller
//	t, err := session.ParseToken(text) // on another entry host
package session

import (
	"encoding/base64"
	"fmt"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

const (
	// MaxTokenBytes bounds the text form of a token.
	MaxTokenBytes = 4096
	// MaxTokenGroups bounds the database groups in one token.
	MaxTokenGroups = 64
	tokenPrefix    = "v1."
)

// Token maps database groups to the latest point seen in each.
// The zero value has seen nothing.
type Token struct {
	entries []entry
}

type entry struct {
	Group Group `cbor:"1,keyasint"`
	Point Point `cbor:"2,keyasint"`
}

// Point returns the latest point seen in a group, or the zero point.
func (t Token) Point(g Group) Point {
	for _, e := range t.entries {
		if e.Group == g {
			return e.Point
		}
	}
	return Point{}
}

// Observe raises the point of a group; an earlier point changes nothing.
func (t *Token) Observe(g Group, p Point) {
	for i, e := range t.entries {
		if e.Group == g {
			t.entries[i].Point = e.Point.Max(p)
			return
		}
	}
	t.entries = append(t.entries, entry{Group: g, Point: p})
	slices.SortFunc(t.entries, func(a, b entry) int {
		return strings.Compare(string(a.Group), string(b.Group))
	})
}

// Merge raises every point of t to that of o.
func (t *Token) Merge(o Token) {
	for _, e := range o.entries {
		t.Observe(e.Group, e.Point)
	}
}

// String encodes the token as text that is safe in a SQL string literal.
func (t Token) String() string {
	raw, err := cbor.Marshal(t.entries)
	if err != nil {
		return ""
	}
	return tokenPrefix + base64.RawURLEncoding.EncodeToString(raw)
}

// ParseToken decodes the text form of a token. The empty text is the empty
// token. It fails on a wrong version, damaged text and more than
// MaxTokenGroups groups.
func ParseToken(s string) (Token, error) {
	if s == "" {
		return Token{}, nil
	}
	if len(s) > MaxTokenBytes {
		return Token{}, fmt.Errorf("session token: %d bytes, at most %d", len(s), MaxTokenBytes)
	}
	body, ok := strings.CutPrefix(s, tokenPrefix)
	if !ok {
		return Token{}, fmt.Errorf("session token: unknown version")
	}
	raw, err := base64.RawURLEncoding.DecodeString(body)
	if err != nil {
		return Token{}, fmt.Errorf("session token: %w", err)
	}
	var entries []entry
	if err := cbor.Unmarshal(raw, &entries); err != nil {
		return Token{}, fmt.Errorf("session token: %w", err)
	}
	if len(entries) > MaxTokenGroups {
		return Token{}, fmt.Errorf("session token: %d groups, at most %d", len(entries), MaxTokenGroups)
	}
	var t Token
	for _, e := range entries {
		t.Observe(e.Group, e.Point)
	}
	return t, nil
}
