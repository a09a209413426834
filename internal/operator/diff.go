package operator

import (
	"fmt"
	"slices"

	"github.com/cumintrestle/cumintrestle/pkg/template"
)

// FieldChange is a template field with its old and its new value.
type FieldChange struct {
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Diff lists the fields that differ, in a fixed order. A changed verifier is
// listed without its contents.
func Diff(before, after template.Template) []FieldChange {
	var out []FieldChange
	add := func(field string, b, a any) {
		bs, as := fmt.Sprint(b), fmt.Sprint(a)
		if bs != as {
			out = append(out, FieldChange{Field: field, Before: bs, After: as})
		}
	}
	if !slices.Equal(before.Groups, after.Groups) {
		add("database_groups", before.Groups, after.Groups)
	}
	add("oldest_read_ms", before.OldestReadMS, after.OldestReadMS)
	add("connections", before.Connections, after.Connections)
	if !sameVerifier(before.Verifier, after.Verifier) {
		out = append(out, FieldChange{Field: "scram_sha_256", Before: "(set)", After: "(changed)"})
	}
	add("state", before.State, after.State)
	return out
}

func sameVerifier(a, b template.Verifier) bool {
	return a.Iterations == b.Iterations && slices.Equal(a.Salt, b.Salt) &&
		slices.Equal(a.StoredKey, b.StoredKey) && slices.Equal(a.ServerKey, b.ServerKey)
}
