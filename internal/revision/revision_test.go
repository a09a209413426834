package revision

import "testing"

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
