package peer

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
)

func FuzzDecode(f *testing.F) {
	for _, m := range []message{
		{Heartbeat: &Heartbeat{From: Info{Host: "h", Zone: "z", Address: "127.0.0.1:1"}, Revision: 3, Groups: []GroupView{{Group: "g", Term: 2}}}},
		{RowsRequest: &rowsRequest{Since: 4}},
		{Rows: &rows{Revision: 5}},
		{Cancel: &cancel{PID: 1, Secret: 2}},
	} {
		raw, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := decode(data)
		if err != nil {
			return
		}
		if _, err := cbor.Marshal(m); err != nil {
			t.Errorf("decoded message can't be encoded again: %v", err)
		}
	})
}
