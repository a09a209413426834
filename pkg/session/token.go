// Package session implements the session token, which records how far one caller
// has written and read, as a log point for each database group.
//
// The token is opaque to callers. A caller passes the last token it received to any
// entry host, which then serves no data older than the token.
//
// # Usage
//
//	var t session.Token
//	t.Observe("die-ledger-1", session.Point{Term: 3, Position: 118})
//	text := t.String()                 // sent to the caller
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
	// MaxTokenBytes is the maximum length of an encoded token.
	MaxTokenBytes = 4096
	// MaxTokenGroups is the maximum number of database groups in a token.
	MaxTokenGroups = 64
	tokenPrefix    = "v1."
)

// Token maps each database group to the latest point that the caller has read or
// written there. The zero value is an empty token.
type Token struct {
	entries []entry
}

type entry struct {
	Group Group `cbor:"1,keyasint"`
	Point Point `cbor:"2,keyasint"`
}

// Point returns the point of group g, or the zero point.
func (t Token) Point(g Group) Point {
	for _, e := range t.entries {
		if e.Group == g {
			return e.Point
		}
	}
	return Point{}
}

// Observe advances the point of group g to p; an earlier p is ignored.
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

// Merge advances the points of t to those of o.
func (t *Token) Merge(o Token) {
	for _, e := range o.entries {
		t.Observe(e.Group, e.Point)
	}
}

// String encodes the token as text that needs no escaping in an SQL string literal.
func (t Token) String() string {
	raw, err := cbor.Marshal(t.entries)
	if err != nil {
		return ""
	}
	return tokenPrefix + base64.RawURLEncoding.EncodeToString(raw)
}

// ParseToken decodes the format of Token.String. An empty string is an empty token.
// It fails on an unknown version, malformed text, more than MaxTokenBytes bytes or
// more than MaxTokenGroups groups.
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
