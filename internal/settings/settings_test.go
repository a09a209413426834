package settings

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cumintrestle/cumintrestle/pkg/result"
)

func TestExamplesAreValid(t *testing.T) {
	paths, err := filepath.Glob("../../examples/*.json")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no examples: %v", err)
	}
	for _, p := range paths {
		if _, err := Load(p); err != nil {
			t.Errorf("%s: %v", p, err)
		}
	}
}

func TestDecodeNamesTheField(t *testing.T) {
	good, err := os.ReadFile("../../examples/bathafarn-cymru-a.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, want string }{
		{`"zone": "cymru-a"`, `"zone": ""`, "field zone"},
		{`"suspect_ms": 500`, `"suspect_ms": 5`, "field suspect_ms"},
		{`"suspect_ms": 500`, `"suspekt_ms": 500`, "suspekt_ms"},
		{`"caller_listen": "10.1.0.11:5432"`, `"caller_listen": "nowhere"`, "field caller_listen"},
	} {
		if !strings.Contains(string(good), c.from) {
			t.Fatalf("the example lacks %s", c.from)
		}
		_, err := Decode([]byte(strings.Replace(string(good), c.from, c.to, 1)))
		if result.CodeOf(err) != result.SettingsInvalid || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %s", c.to, err, c.want)
		}
	}
}

func FuzzDecode(f *testing.F) {
	raw, err := json.Marshal(Defaults())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte(`{"zone":"a"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := Decode(data); err == nil && s.Validate() != nil {
			t.Error("Decode accepted settings that Validate rejects")
		}
	})
}
