package template

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/cumintrestle/cumintrestle/pkg/result"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

func valid(t testing.TB) Template {
	t.Helper()
	v, err := NewVerifier("secret")
	if err != nil {
		t.Fatal(err)
	}
	return Template{
		Account: "gazon-portal", Groups: []session.Group{"orders-ledger-1"}, OldestReadMS: 1000,
		Connections: 10, Verifier: v, State: Active,
	}
}

func TestValidateNamesTheField(t *testing.T) {
	for _, c := range []struct {
		field  string
		modify func(*Template)
	}{
		{"", func(*Template) {}},
		{"account", func(t *Template) { t.Account = "No" }},
		{"database_groups", func(t *Template) { t.Groups = nil }},
		{"database_groups[1]", func(t *Template) { t.Groups = append(t.Groups, t.Groups[0]) }},
		{"oldest_read_ms", func(t *Template) { t.OldestReadMS = MinOldestReadMS - 1 }},
		{"connections", func(t *Template) { t.Connections = 0 }},
		{"state", func(t *Template) { t.State = "asleep" }},
		{"scram_sha_256.iterations", func(t *Template) { t.Verifier.Iterations = 1 }},
		{"scram_sha_256.stored_key", func(t *Template) { t.Verifier.StoredKey = nil }},
	} {
		t.Run(c.field, func(t *testing.T) {
			tpl := valid(t)
			c.modify(&tpl)
			err := tpl.Validate()
			if c.field == "" {
				if err != nil {
					t.Errorf("valid template: %v", err)
				}
				return
			}
			if result.CodeOf(err) != result.TemplateInvalid || !strings.Contains(err.Error(), "field "+c.field) {
				t.Errorf("got %v, want field %s", err, c.field)
			}
		})
	}
}

func TestDecodeRefusesUnknownFields(t *testing.T) {
	_, err := Decode([]byte(`{"account":"a","conections":3}`))
	if result.CodeOf(err) != result.TemplateInvalid || !strings.Contains(err.Error(), "conections") {
		t.Errorf("got %v", err)
	}
}

func FuzzDecode(f *testing.F) {
	raw, err := json.Marshal(valid(f))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		tpl, err := Decode(data)
		if err != nil || tpl.Validate() != nil {
			return
		}
		again, err := json.Marshal(tpl)
		if err != nil {
			t.Fatal(err)
		}
		if back, err := Decode(again); err != nil || back.Validate() != nil {
			t.Errorf("a valid template does not survive: %v", err)
		}
	})
}
