package revision

import "testing"

// TestParseEra guards against a header that cannot be read and is taken for the first era.
func TestParseEra(t *testing.T) {
	tests := []struct {
		value string
		want  Era
		ok    bool
	}{{"", 0, true}, {"3", 3, true}, {"-1", 0, false}, {"two", 0, false}}
	for _, tt := range tests {
		got, err := ParseEra(tt.value)
		if got != tt.want || (err == nil) != tt.ok {
			t.Errorf("the era of %q is %d, error %v; want %d", tt.value, got, err, tt.want)
		}
	}
}

// TestLess guards against comparing versions of two eras, where a lower version is newer.
func TestLess(t *testing.T) {
	tests := []struct {
		name string
		a, b Revision
		want bool
	}{
		{"nothing known", Revision{}, Revision{Era: 1, Version: 1}, true},
		{"the same", Revision{Era: 1, Version: 4}, Revision{Era: 1, Version: 4}, false},
		{"later in the era", Revision{Era: 1, Version: 4}, Revision{Era: 1, Version: 5}, true},
		{"a lower version of a later era", Revision{Era: 1, Version: 9}, Revision{Era: 2, Version: 5}, true},
		{"a higher version of an earlier era", Revision{Era: 2, Version: 5}, Revision{Era: 1, Version: 9}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.a.Less(tt.b); got != tt.want {
				t.Errorf("%v before %v: %t, want %t", tt.a, tt.b, got, tt.want)
			}
			if got := tt.a.Pack() < tt.b.Pack(); got != tt.want {
				t.Errorf("packed, %v before %v: %t, want %t", tt.a, tt.b, got, tt.want)
			}
			if got := Unpack(tt.a.Pack()); got != tt.a {
				t.Errorf("%v is %v after packing", tt.a, got)
			}
		})
	}
}
