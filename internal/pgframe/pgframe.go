// Package pgframe reads messages of the PostgreSQL protocol, and asks before each of them
// whether there is room for it. The reader behind it, of pgproto3, allocates the buffer of a
// whole message once it has the header.
//
// # Usage
//
//	r := pgframe.NewReader(conn)
//	r.Admit = func(size int) error { ... }
//	be := pgproto3.NewBackend(r, conn)
package pgframe

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
)

// bufferSize is the size of the read buffer in bytes. Bodies that exceed it are read directly.
const bufferSize = 2 << 10

const (
	lengthSize = 4
	// headerSize is the size of the type and the length of a message.
	headerSize = 1 + lengthSize
)

// Reader reads messages. It never returns bytes of two messages at once.
type Reader struct {
	// Admit is called with the size of each message before it is read. An error is returned
	// by Read. It may be nil.
	Admit func(size int) error
	// Startup is set while messages have no type: before the session is authenticated.
	Startup bool

	r         *bufio.Reader
	remaining int
}

// NewReader returns a Reader of messages with types.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, bufferSize)} }

// Buffered reports whether the whole message has arrived.
func (r *Reader) Buffered() bool { return r.r.Buffered() >= r.remaining }

// Unread reports whether bytes that were not returned have arrived.
func (r *Reader) Unread() bool { return r.remaining > 0 || r.r.Buffered() > 0 }

// Read reads at most to the end of the current message.
func (r *Reader) Read(p []byte) (int, error) {
	if r.remaining == 0 {
		if err := r.next(); err != nil {
			return 0, err
		}
	}
	n, err := r.r.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	return n, err
}

// next reads the header of the next message.
func (r *Reader) next() error {
	size := headerSize
	if r.Startup {
		size = lengthSize
	}
	head, err := r.r.Peek(size)
	if err != nil {
		return err
	}
	// The length counts itself. An invalid one is left to the reader behind this one.
	r.remaining = max(int(binary.BigEndian.Uint32(head[size-lengthSize:]))-lengthSize, 0) + size
	if r.Admit == nil {
		return nil
	}
	if err := r.Admit(r.remaining); err != nil {
		r.remaining = 0
		return fmt.Errorf("message: %w", err)
	}
	return nil
}
