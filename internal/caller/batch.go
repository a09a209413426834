package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cumintrestle/cumintrestle/pkg/result"
)

// maxBatch bounds the bytes of one request.
const maxBatch = 32 << 20

// batch is one request of a caller: a simple query, or extended-protocol
// messages up to Sync.
type batch struct {
	simple   bool
	query    string
	messages []pgproto3.FrontendMessage
	// names are the statements that the messages refer to, in order.
	names []prepared
	bytes int
}

// prepared is a statement that a caller prepared. It is known to endpoints by
// a name that follows from its text, so any connection can take it up.
type prepared struct {
	query string
	oids  []uint32
	name  string
}

func newPrepared(query string, oids []uint32) prepared {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%v\x00%s", oids, query)
	return prepared{query: query, oids: oids, name: "ct_" + hex.EncodeToString(h.Sum(nil)[:12])}
}

// nextBatch reads one request.
func (c *callerSession) nextBatch() (*batch, error) {
	b := &batch{}
	local := make(map[string]prepared)
	for {
		m, err := c.receive(len(b.messages) == 0)
		if err != nil {
			return nil, err
		}
		switch m := m.(type) {
		case *pgproto3.Query:
			if len(b.messages) > 0 {
				return nil, result.New(result.MessageInvalid, "simple query inside an extended request")
			}
			return &batch{simple: true, query: m.String, bytes: len(m.String)}, nil
		case *pgproto3.Terminate:
			return nil, errHangUp
		case *pgproto3.Flush:
			return nil, result.New(result.NotSupported, "Flush without Sync")
		case *pgproto3.Sync:
			return b, nil
		}
		if err := c.addMessage(b, local, m); err != nil {
			return nil, err
		}
	}
}

func (c *callerSession) addMessage(b *batch, local map[string]prepared, m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Parse:
		p := newPrepared(m.Query, append([]uint32(nil), m.ParameterOIDs...))
		local[m.Name] = p
		b.names = append(b.names, p)
		b.bytes += len(m.Query)
		b.messages = append(b.messages, &pgproto3.Parse{Name: m.Name, Query: m.Query, ParameterOIDs: p.oids})
	case *pgproto3.Bind:
		raw, err := m.Encode(nil)
		if err != nil {
			return result.New(result.MessageInvalid, "bind: %w", err)
		}
		var own pgproto3.Bind
		if err := own.Decode(raw[5:]); err != nil {
			return result.New(result.MessageInvalid, "bind: %w", err)
		}
		b.bytes += len(raw)
		b.messages = append(b.messages, &own)
		c.refer(b, local, own.PreparedStatement)
	case *pgproto3.Describe:
		own := *m
		b.messages = append(b.messages, &own)
		if own.ObjectType == 'S' {
			c.refer(b, local, own.Name)
		}
	case *pgproto3.Execute:
		own := *m
		b.messages = append(b.messages, &own)
	case *pgproto3.Close:
		own := *m
		b.messages = append(b.messages, &own)
	default:
		return result.New(result.NotSupported, "message %T", m)
	}
	if b.bytes > maxBatch {
		return result.New(result.MessageInvalid, "request of more than %d bytes", maxBatch)
	}
	return nil
}

// refer notes which statement a name stands for when the request runs.
func (c *callerSession) refer(b *batch, local map[string]prepared, name string) {
	if p, ok := local[name]; ok {
		b.names = append(b.names, p)
		return
	}
	if p, ok := c.prepared[name]; ok {
		b.names = append(b.names, p)
	}
}

// class is the strictest class of the request's statements.
func (b *batch) class() statementClass {
	if b.simple {
		return classify(b.query)
	}
	class := classEmpty
	for _, p := range b.names {
		next := classify(p.query)
		switch {
		case class == classEmpty || class == next:
			class = next
		case class == classParam || next == classParam || next == classRefused:
			return classRefused
		case class == classRead && next != classEmpty:
			class = next
		}
	}
	return class
}

// executes reports whether the request runs something, rather than preparing.
func (b *batch) executes() bool {
	if b.simple {
		return true
	}
	for _, m := range b.messages {
		if _, ok := m.(*pgproto3.Execute); ok {
			return true
		}
	}
	return false
}

// mayCommit reports whether the request may end a transaction.
func (b *batch) mayCommit() bool {
	if b.simple {
		return mayCommit(b.query)
	}
	for _, p := range b.names {
		if mayCommit(p.query) {
			return true
		}
	}
	return false
}

// fingerprint identifies the request's statements and arguments.
func (b *batch) fingerprint() string {
	h := sha256.New()
	_, _ = h.Write([]byte(b.query))
	for _, p := range b.names {
		_, _ = h.Write([]byte(p.query + "\x00"))
	}
	for _, m := range b.messages {
		bind, ok := m.(*pgproto3.Bind)
		if !ok {
			continue
		}
		for _, v := range bind.Parameters {
			_, _ = fmt.Fprintf(h, "%d:%s", len(v), v)
		}
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}
