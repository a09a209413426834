package caller

import (
	"errors"
	"os"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cumintrestle/cumintrestle/internal/budget"
	"github.com/cumintrestle/cumintrestle/pkg/result"
)

const (
	// maxAuthBytes is the largest message before the caller has proved who it is. Those of
	// SCRAM have some hundred bytes.
	maxAuthBytes = 8 << 10
	// freeRequest is the size up to which requests are part of a connection's cost.
	freeRequest = 16 << 10
	// requestFactor is what a byte of a request takes: its buffer, which has up to twice its
	// size, the copy that is kept, and the one for the endpoint.
	requestFactor = 4
	// messageCost is what a decoded message takes beside its bytes.
	messageCost = 256
	// chargeStep is the least amount by which the charge of a large request or answer grows.
	chargeStep = 256 << 10
	// answerFactor is what a byte of a row takes: its buffer, which has up to twice its size,
	// and its place in the response.
	answerFactor = 3
	// freeWrite is the size up to which an unread answer is part of a connection's cost.
	freeWrite = 16 << 10
	// fatalTimeout is how long the last message of a session may take to be sent.
	fatalTimeout = time.Second
)

// intake is what a session is charged for its current request and the response to it.
type intake struct {
	// need is what the request takes, held what is charged to part.
	need, held int
	part       budget.Part
	// until is when the request has to be complete, zero between requests.
	until time.Time
	// answerNeed and answerHeld are the same for the response.
	answerNeed, answerHeld int
}

// admitMessage charges a message before it is read. The first large message of a request waits
// for memory, and the session reads nothing meanwhile. Others don't wait, since two requests
// that hold memory and wait for more could block each other.
func (c *callerSession) admitMessage(size int) error {
	in := &c.in
	if !c.authenticated {
		return nil
	}
	if in.until.IsZero() {
		in.until = time.Now().Add(c.srv.messageTimeout())
	}
	if !c.reader.Buffered() {
		c.setMessageDeadline()
	}
	in.need += size*requestFactor + messageCost
	if in.need <= max(in.held, freeRequest) {
		return nil
	}
	part, n := budget.SmallMessages, budget.SmallMessage
	if in.need > n {
		part, n = budget.LargeMessages, max(in.need, chargeStep)
	}
	if c.tx != nil {
		part += budget.SmallInTransaction - budget.SmallMessages
	}
	if in.held > 0 && part == in.part {
		if c.budget.Acquire(part, n-in.held+chargeStep, nil) != nil {
			return c.memoryFull(size)
		}
		in.held = n + chargeStep
		return nil
	}
	c.budget.BeginMessage()
	t := time.NewTimer(time.Until(in.until))
	defer t.Stop()
	if c.budget.Acquire(part, n, t.C) != nil {
		return c.memoryFull(size)
	}
	c.budget.Release(in.part, in.held)
	in.part, in.held = part, n
	return nil
}

func (c *callerSession) memoryFull(size int) error {
	c.budget.Refused(budget.MemoryFull)
	return result.New(result.QueueFull, "no memory for a message of %d bytes", size)
}

// setMessageDeadline sets the deadline for the rest of the request, unless Drain has
// interrupted the session.
func (c *callerSession) setMessageDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		_ = c.conn.SetReadDeadline(c.in.until)
	}
}

// readDeadline returns until when the next message has to be complete, zero for no limit.
func (c *callerSession) readDeadline() time.Time {
	until := c.in.until
	if c.tx != nil && !c.tx.lost {
		if idle := time.Now().Add(transactionIdleTimeout); until.IsZero() || idle.Before(until) {
			until = idle
		}
	}
	return until
}

// late reports whether a read failed because the request was not complete in time.
func (c *callerSession) late(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) && !c.in.until.IsZero() && !time.Now().Before(c.in.until)
}

// endRequest ends the charge of a request and its response.
func (c *callerSession) endRequest() {
	c.budget.Release(c.in.part, c.in.held)
	c.endAnswer()
	c.in = intake{}
}

// admitAnswer charges a message of an endpoint before it is read.
func (c *callerSession) admitAnswer(size int) error {
	in := &c.in
	in.answerNeed += size * answerFactor
	if in.answerNeed <= max(in.answerHeld, freeWrite) {
		return nil
	}
	t := time.NewTimer(c.srv.StatementWait)
	defer t.Stop()
	n := max(in.answerNeed, chargeStep) - in.answerHeld
	if c.budget.Acquire(budget.Answers, n, t.C) != nil {
		c.budget.Refused(budget.MemoryFull)
		return result.New(result.AnswerLost, "no memory for a row of %d bytes", size)
	}
	in.answerHeld += n
	return nil
}

// endAnswer ends the charge of a response that was sent.
func (c *callerSession) endAnswer() {
	c.budget.Release(budget.Answers, c.in.answerHeld)
	c.in.answerNeed, c.in.answerHeld = 0, 0
}

// callerWriter writes to a caller within the time limit for answers.
type callerWriter struct{ c *callerSession }

// Write is part of io.Writer.
func (w callerWriter) Write(body []byte) (int, error) {
	c := w.c
	limit := c.srv.AnswerTimeout
	if c.ending {
		limit = fatalTimeout
	}
	if limit > 0 {
		_ = c.conn.SetWriteDeadline(time.Now().Add(limit))
	}
	if len(body) > freeWrite {
		c.budget.BeginSend()
		defer c.budget.EndSend()
	}
	n, err := c.conn.Write(body)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.budget.Refused(budget.AnswerTimeout)
	}
	return n, err
}

// chargePrepared charges the statements that a request prepares, before it runs. Each takes
// the larger of the new and the old one of its name until settlePrepared.
func (c *callerSession) chargePrepared(b *batch) error {
	for _, m := range b.messages {
		p, ok := m.(*pgproto3.Parse)
		if !ok {
			continue
		}
		n := max(preparedSize(p.Name, p.Query, p.ParameterOIDs), c.sizeOf(p.Name))
		if _, err := c.budget.SetNamed(p.Name, n); err != nil {
			c.settlePrepared(b)
			return result.New(result.QueueFull, "no memory for a prepared statement of %d bytes", len(p.Query))
		}
	}
	return nil
}

// settlePrepared charges the statements that a request has prepared or closed.
func (c *callerSession) settlePrepared(b *batch) {
	for _, m := range b.messages {
		switch m := m.(type) {
		case *pgproto3.Parse:
			_, _ = c.budget.SetNamed(m.Name, c.sizeOf(m.Name))
		case *pgproto3.Close:
			if m.ObjectType == 'S' {
				_, _ = c.budget.SetNamed(m.Name, c.sizeOf(m.Name))
			}
		}
	}
}

// sizeOf returns the size of a prepared statement of the session, 0 if there is none.
func (c *callerSession) sizeOf(name string) int {
	p, ok := c.prepared[name]
	if !ok {
		return 0
	}
	return preparedSize(name, p.query, p.oids)
}

func preparedSize(name, query string, oids []uint32) int {
	const oidBytes = 4
	return len(name) + len(query) + oidBytes*len(oids) + messageCost
}
