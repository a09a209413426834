// Package template defines the operators' declaration for one client account.
//
// # Usage
//
//	t, err := template.Decode(data) // unknown fields are errors
//	if err == nil {
//		err = t.Validate() // names file-independent field, value and range
//	}
package template

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"

	"github.com/cumintrestle/cumintrestle/pkg/result"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// Account names a client account.
type Account string

// State tells whether an account may connect.
type State string

// The states of a template.
const (
	Active  State = "active"
	Retired State = "retired"
)

const (
	// MinOldestReadMS is the tightest oldest read that may be declared, in ms.
	MinOldestReadMS = 200
	// MaxOldestReadMS is the loosest oldest read that may be declared, in ms.
	MaxOldestReadMS = 3_600_000
	// MaxConnections bounds the connections of one client account.
	MaxConnections = 1_000_000
	// MaxGroups bounds the database groups of one client account.
	MaxGroups = session.MaxTokenGroups
)

var nameForm = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Verifier is a SCRAM-SHA-256 verifier; the password can't be read from it.
type Verifier struct {
	Salt       []byte `json:"salt"`
	Iterations int    `json:"iterations"`
	StoredKey  []byte `json:"stored_key"`
	ServerKey  []byte `json:"server_key"`
}

// Template is the declaration for one client account.
type Template struct {
	Account      Account         `json:"account"`
	Groups       []session.Group `json:"database_groups"`
	OldestReadMS int64           `json:"oldest_read_ms"`
	Connections  int             `json:"connections"`
	Verifier     Verifier        `json:"scram_sha_256"`
	State        State           `json:"state"`
}

// Decode reads one template; unknown fields and trailing data are errors.
func Decode(data []byte) (Template, error) {
	var t Template
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&t); err != nil {
		return Template{}, result.New(result.TemplateInvalid, "template: %w", err)
	}
	if dec.More() {
		return Template{}, result.New(result.TemplateInvalid, "template: data after the object")
	}
	if t.State == "" {
		t.State = Active
	}
	return t, nil
}

// Validate checks every field and names the first that is not allowed.
func (t Template) Validate() error {
	if !nameForm.MatchString(string(t.Account)) {
		return invalid("account", t.Account, nameForm.String())
	}
	if len(t.Groups) == 0 || len(t.Groups) > MaxGroups {
		return invalid("database_groups", t.Groups, fmt.Sprintf("1 to %d groups", MaxGroups))
	}
	seen := make(map[session.Group]bool, len(t.Groups))
	for i, g := range t.Groups {
		if !nameForm.MatchString(string(g)) || seen[g] {
			return invalid(fmt.Sprintf("database_groups[%d]", i), g, nameForm.String()+", each once")
		}
		seen[g] = true
	}
	if t.OldestReadMS < MinOldestReadMS || t.OldestReadMS > MaxOldestReadMS {
		return invalid("oldest_read_ms", t.OldestReadMS, fmt.Sprintf("%d to %d", MinOldestReadMS, MaxOldestReadMS))
	}
	if t.Connections < 1 || t.Connections > MaxConnections {
		return invalid("connections", t.Connections, fmt.Sprintf("1 to %d", MaxConnections))
	}
	if t.State != Active && t.State != Retired {
		return invalid("state", t.State, `"active" or "retired"`)
	}
	return t.Verifier.validate()
}

func (v Verifier) validate() error {
	const minIterations, maxIterations, keyBytes = 4096, 1_000_000, 32
	if v.Iterations < minIterations || v.Iterations > maxIterations {
		return invalid("scram_sha_256.iterations", v.Iterations, fmt.Sprintf("%d to %d", minIterations, maxIterations))
	}
	if len(v.Salt) < 8 {
		return invalid("scram_sha_256.salt", len(v.Salt), "at least 8 bytes, base64")
	}
	if len(v.StoredKey) != keyBytes || len(v.ServerKey) != keyBytes {
		return invalid("scram_sha_256.stored_key or server_key", len(v.StoredKey), "32 bytes each, base64")
	}
	return nil
}

func invalid(field string, value any, allowed string) error {
	return result.New(result.TemplateInvalid, "field %s: value %v; allowed: %s", field, value, allowed)
}
