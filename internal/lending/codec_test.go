package lending

import (
	"errors"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/engine"
)

// fill sets all texts of a message, and makes its optional parts.
func fill(v reflect.Value, texts []string) {
	switch v.Kind() {
	case reflect.String:
		v.SetString(texts[0])
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), texts)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), len(texts), len(texts)))
		for i := range texts {
			fill(v.Index(i), texts[i:])
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for i, text := range texts {
			v.SetMapIndex(reflect.ValueOf(text), reflect.ValueOf(texts[len(texts)-1-i]))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() {
				fill(v.Field(i), append(slices.Clone(texts[i%len(texts):]), texts[:i%len(texts)]...))
			}
		}
	}
}

// FuzzTexts checks that each text of a message comes out as it went in.
func FuzzTexts(f *testing.F) {
	f.Add("a\xff\xfe", "\r\n\x00", " ")
	f.Add("", "\xc3", "é\u2028")
	f.Fuzz(func(t *testing.T, a, b, c string) {
		texts := []string{a[:min(len(a), maxAccountName)], b[:min(len(b), maxAccountName)], c[:min(len(c), maxAccountName)]}
		for _, accounts := range []bool{false, true} {
			q, p := request{Seq: 7, MaxWaitMS: 3}, response{Seq: 7}
			fill(reflect.ValueOf(&q).Elem(), texts)
			fill(reflect.ValueOf(&p).Elem(), texts)
			decodeQ, decodeP := decodeAccountRequest, decodeAccountResponse
			if !accounts {
				q.Account, q.Limits, p.Limits = "", nil, nil
				decodeQ, decodeP = decodeRequest, decodeResponse
			}
			body, _ := encodeRequest(q, accounts)
			if got, err := decodeQ(body); err != nil || !reflect.DeepEqual(got, q) {
				t.Fatalf("%+v is decoded as %+v, %v", q, got, err)
			}
			body, _ = encodeResponse(p, accounts)
			if got, err := decodeP(body); err != nil || !reflect.DeepEqual(got, p) {
				t.Fatalf("%+v is decoded as %+v, %v", p, got, err)
			}
		}
	})
}

// TestTextsOverLink guards against a link that ends, with all calls on it, at a text that is not UTF-8.
func TestTextsOverLink(t *testing.T) {
	p := newPair(t)
	text := "WRITE 7 \xff\r\n\x00\xc3 "
	state := engine.SessionState{Values: map[string]string{"v\xfe": "\xff\r"}, Body: &engine.PreparedBody{Text: "\xfd"}}
	out, _, err := p.run(0, 5*time.Second, state, engine.Op{ID: "1\xfc", Text: text})
	if err != nil || len(out) != 1 || out[0].Rows[0] != text {
		t.Errorf("%q gives %+v, %v", text, out, err)
	}
}

// TestLargeMessages guards against a link that ends, with all calls on it, at a large answer, or at
// a request with a large session.
func TestLargeMessages(t *testing.T) {
	p := newPair(t)
	_, handle, err := p.run(0, 5*time.Second, engine.SessionState{}, engine.Op{Kind: engine.OpBegin})
	if err != nil || handle == 0 {
		t.Fatalf("BEGIN gives handle %d, %v", handle, err)
	}
	const mib = 1 << 20
	for _, tt := range []struct {
		rows, size int
		want       error
	}{{mib, 3, nil}, {5 * mib, 0, nil}, {16, mib, nil}, {25, mib, errMaybeRun}} {
		p.rows = slices.Repeat([]string{strings.Repeat("x", tt.size)}, tt.rows)
		out, _, err := p.run(0, 30*time.Second, engine.SessionState{}, engine.Op{Text: "READ 7"})
		if !errors.Is(err, tt.want) || tt.want == nil && (err != nil || !slices.Equal(out[0].Rows, p.rows)) {
			t.Errorf("%d rows of %d bytes give %d outcomes, %v, want %v", tt.rows, tt.size, len(out), err, tt.want)
		}
	}
	p.rows = nil
	values := make(map[string]string)
	for size := 0; size+3 <= mib; size += 3 {
		n := len(values)
		values[string([]byte{byte(n >> 16), byte(n >> 8), byte(n)})] = ""
	}
	now := time.Now()
	q := wireRequest("g", "m", 0, engine.Call{QueueDeadline: now, Deadline: now, SessionState: engine.SessionState{Values: values}, Ops: []engine.Op{{Text: strings.Repeat("x", mib)}}})
	body, err := encodeRequest(q, true)
	if err != nil || len(body) > maxRequest {
		t.Fatalf("the request takes %d bytes, %v", len(body), err)
	}
	if got, err := decodeAccountRequest(body); err != nil || len(got.Values) != len(values) {
		t.Errorf("the request is decoded with %d values, %v", len(got.Values), err)
	}
	_, _, err = p.run(0, 5*time.Second, engine.SessionState{}, engine.Op{Text: strings.Repeat("x", 4*mib)})
	if !errors.Is(err, errRequestTooLarge) || engine.Sent(err) {
		t.Errorf("a request that is too large gives %v", err)
	}
	if _, _, err := p.run(handle, 5*time.Second, engine.SessionState{}, engine.Op{Text: "READ 7"}); err != nil {
		t.Errorf("the transaction on the same link gives %v", err)
	}
}
