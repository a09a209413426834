package pgframe

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
)

// FuzzReader checks that a reader returns all complete messages unchanged, asks once for each,
// and never returns bytes of two messages at once.
func FuzzReader(f *testing.F) {
	f.Add([]byte("Q\x00\x00\x00\x06a\x00S\x00\x00\x00\x04"), 3, false)
	f.Add([]byte("\x00\x00\x00\x08\x04\xd2\x16\x2f"), 100, true)
	f.Add([]byte("Q\x00\x00\x00\x00"), 1, false)
	f.Fuzz(func(t *testing.T, in []byte, size int, startup bool) {
		r := NewReader(iotest.OneByteReader(bytes.NewReader(in)))
		r.Startup = startup
		admitted, read := 0, 0
		r.Admit = func(n int) error {
			if admitted != read {
				t.Fatalf("asked for a message after %d of %d bytes", read, admitted)
			}
			admitted += n
			return nil
		}
		var out []byte
		buf := make([]byte, max(size%64, 1))
		for {
			n, err := r.Read(buf)
			out = append(out, buf[:n]...)
			read += n
			if read > admitted {
				t.Fatalf("read %d bytes, admitted %d", read, admitted)
			}
			if err != nil {
				break
			}
		}
		if !bytes.HasPrefix(in, out) || len(in)-len(out) > headerSize {
			t.Fatalf("%q is read as %q", in, out)
		}
	})
}

// TestRefused guards against a message that is read although it was refused.
func TestRefused(t *testing.T) {
	refused := errors.New("refused")
	r := NewReader(bytes.NewReader([]byte("Q\x00\x00\x00\x06a\x00")))
	r.Admit = func(int) error { return refused }
	if n, err := r.Read(make([]byte, 10)); n != 0 || !errors.Is(err, refused) {
		t.Errorf("Read gives %d, %v, want 0, %v", n, err, refused)
	}
	if _, err := NewReader(bytes.NewReader(nil)).Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("Read of nothing gives %v, want EOF", err)
	}
}
