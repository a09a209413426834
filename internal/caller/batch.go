package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"iter"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cumintrestle/cumintrestle/pkg/result"
)

// maxBatchBytes bounds the size of one request.
const maxBatchBytes = 32 << 20

// batch is one request: a simple query, or extended-protocol messages up to
// Sync.
type batch struct {
	simple   bool
	query    string
	messages []pgproto3.FrontendMessage
	// statements are those that the messages prepare or refer to, in order.
	statements []preparedStatement
	bytes      int
}

// preparedStatement is a statement that a caller has prepared. Its name on
// endpoints is derived from its text and parameter types, so that it can be
// prepared on any connection and shared between sessions.
type preparedStatement struct {
	query string
	oids  []uint32
	name  string
}

func newPrepared(query string, oids []uint32) preparedStatement {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%v\x00%s", oids, query)
	return preparedStatement{query: query, oids: oids, name: "ct_" + hex.EncodeToString(h.Sum(nil)[:12])}
}

// nextBatch reads one request.
func (c *callerSession) nextBatch() (*batch, error) {
	b := &batch{}
	parsed := make(map[string]preparedStatement)
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
			b.simple, b.query, b.bytes = true, m.String, len(m.String)
			*m = pgproto3.Query{}
			return b, nil
		case *pgproto3.Terminate:
			return nil, errDisconnect
		case *pgproto3.Flush:
			return nil, result.New(result.NotSupported, "Flush without Sync")
		case *pgproto3.Sync:
			return b, nil
		}
		if err := c.addMessage(b, parsed, m); err != nil {
			return nil, err
		}
	}
}

// addMessage moves a message into the batch: Receive reuses its messages, and keeps their contents
// until then.
func (c *callerSession) addMessage(b *batch, parsed map[string]preparedStatement, m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Parse:
		p := newPrepared(m.Query, append([]uint32(nil), m.ParameterOIDs...))
		parsed[m.Name] = p
		b.statements = append(b.statements, p)
		b.bytes += len(m.Query)
		b.messages = append(b.messages, &pgproto3.Parse{Name: m.Name, Query: m.Query, ParameterOIDs: p.oids})
		*m = pgproto3.Parse{}
	case *pgproto3.Bind:
		raw, err := m.Encode(nil)
		if err != nil {
			return result.New(result.MessageInvalid, "bind: %w", err)
		}
		var clone pgproto3.Bind
		if err := clone.Decode(raw[5:]); err != nil {
			return result.New(result.MessageInvalid, "bind: %w", err)
		}
		*m = pgproto3.Bind{}
		b.bytes += len(raw)
		b.messages = append(b.messages, &clone)
		c.addStatement(b, parsed, clone.PreparedStatement)
	case *pgproto3.Describe:
		clone := *m
		*m = pgproto3.Describe{}
		b.messages = append(b.messages, &clone)
		if clone.ObjectType == 'S' {
			c.addStatement(b, parsed, clone.Name)
		}
	case *pgproto3.Execute:
		clone := *m
		*m = pgproto3.Execute{}
		b.messages = append(b.messages, &clone)
	case *pgproto3.Close:
		clone := *m
		*m = pgproto3.Close{}
		b.messages = append(b.messages, &clone)
	default:
		return result.New(result.NotSupported, "message %T", m)
	}
	if b.bytes > maxBatchBytes {
		return result.New(result.MessageInvalid, "request of more than %d bytes", maxBatchBytes)
	}
	return nil
}

// addStatement adds the statement that has the given name in the batch or,
// failing that, in the session.
func (c *callerSession) addStatement(b *batch, parsed map[string]preparedStatement, name string) {
	if p, ok := parsed[name]; ok {
		b.statements = append(b.statements, p)
		return
	}
	if p, ok := c.prepared[name]; ok {
		b.statements = append(b.statements, p)
	}
}

// texts returns the statements of the request.
func (b *batch) texts() iter.Seq[string] {
	if b.simple {
		return statements(b.query)
	}
	return func(yield func(string) bool) {
		for _, p := range b.statements {
			for sql := range statements(p.query) {
				if !yield(sql) {
					return
				}
			}
		}
	}
}

// isSingle reports whether the request has one statement at most.
func (b *batch) isSingle() bool {
	n := 0
	for range b.texts() {
		if n++; n > 1 {
			return false
		}
	}
	return true
}

// class returns the class of the whole request. It is refused if any
// statement is refused, or if statements on cumintrestle parameters are
// combined with others. Otherwise the first statement that is not a read
// decides.
func (b *batch) class() statementClass {
	class := classEmpty
	for sql := range b.texts() {
		next := classify(sql)
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

// executes reports whether the request executes a statement, rather than only
// preparing or describing.
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

// mayCommit reports whether the request may end a transaction and keep what it did. A false
// positive does little harm: the response is not streamed, a request id is cleared early, and
// a lost connection is reported as an unknown outcome.
func (b *batch) mayCommit() bool {
	single := b.isSingle()
	for sql := range b.texts() {
		u := strings.ToUpper(sql)
		if strings.Contains(u, "COMMIT") || strings.Contains(u, "END") {
			return true
		}
		// What follows the end of a transaction runs by itself.
		if !single && classify(sql) == classEnd {
			return true
		}
	}
	return false
}

// fingerprint returns a hash of the request's statements and parameter
// values.
func (b *batch) fingerprint() string {
	h := sha256.New()
	_, _ = h.Write([]byte(b.query))
	for _, p := range b.statements {
		_, _ = h.Write([]byte(p.query + "\x00"))
	}
	for _, m := range b.messages {
		bind, ok := m.(*pgproto3.Bind)
		if !ok {
			continue
		}
		for _, v := range bind.Parameters {
			if v == nil {
				_, _ = h.Write([]byte("NULL"))
				continue
			}
			_, _ = fmt.Fprintf(h, "%d:%s", len(v), v)
		}
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}
