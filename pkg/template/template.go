// Package template defines the template with which operators declare a client
// account: its database groups, limits and credentials.
//
// # Usage
//
//	t, err := template.Decode(data) // unknown fields are errors
//	if err == nil {
//		err = t.Validate() // the error names the field, its value and what is allowed
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

// Account is the name of a client account.
type Account string

// State determines whether an account may connect.
type State string

// The states of a template.
const (
	Active  State = "active"
	Retired State = "retired"
)

const (
	// MinOldestReadMS is the smallest staleness bound of reads, in ms.
	MinOldestReadMS = 200
	// MaxOldestReadMS is the largest staleness bound of reads, in ms.
	MaxOldestReadMS = 3_600_000
	// MaxConnections is the maximum connection limit of a client account.
	MaxConnections = 1_000_000
	// MaxGroups is the maximum number of database groups of a client account, limited
	// by what fits into a session token.
	MaxGroups = session.MaxTokenGroups
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Verifier is a SCRAM-SHA-256 verifier. It does not reveal the password.
type Verifier struct {
	Salt       []byte `json:"salt"`
	Iterations int    `json:"iterations"`
	StoredKey  []byte `json:"stored_key"`
	ServerKey  []byte `json:"server_key"`
}

// Template declares one client account.
type Template struct {
	Account      Account         `json:"account"`
	Groups       []session.Group `json:"database_groups"`
	OldestReadMS int64           `json:"oldest_read_ms"`
	Connections  int             `json:"connections"`
	Verifier     Verifier        `json:"scram_sha_256"`
	State        State           `json:"state"`
}

// Decode parses one template; unknown fields and trailing data are errors. A missing
// state means Active.
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

// Validate checks all fields and returns an error that names the first invalid one.
func (t Template) Validate() error {
	if !namePattern.MatchString(string(t.Account)) {
		return invalid("account", t.Account, namePattern.String())
	}
	if len(t.Groups) == 0 || len(t.Groups) > MaxGroups {
		return invalid("database_groups", t.Groups, fmt.Sprintf("1 to %d groups", MaxGroups))
	}
	seen := make(map[session.Group]bool, len(t.Groups))
	for i, g := range t.Groups {
		if !namePattern.MatchString(string(g)) || seen[g] {
			return invalid(fmt.Sprintf("database_groups[%d]", i), g, namePattern.String()+", each once")
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
