package lending

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/budget"
)

const (
	// DefaultLinkCalls is the default of Lender.LinkCalls. A fleet with 1,100 operations per
	// second that wait for 900 ms each has 1,000 in flight, over all its links.
	DefaultLinkCalls = 512
	// callCost is what a call takes beside its message, in bytes: its goroutine, the decoded
	// request and its place in the queue. 80,000 waiting calls took 4.2 KiB each.
	callCost = 4 << 10
	// freeMessage is the size up to which a message is part of callCost, in bytes.
	freeMessage = 2 << 10
	// maxRoomWait is how long a large response waits for memory, and roomInterval the time between
	// two attempts to get it.
	maxRoomWait, roomInterval = time.Second, 5 * time.Millisecond
	// DefaultTimeout is the default of Lender.Timeout: the longest request of the contract.
	DefaultTimeout = 10 * time.Second
)

// charge is what a message is charged to.
type charge struct {
	part budget.Part
	n    int
}

// receive reads the next message and charges it. A small message is read at once; for a
// larger one, receive waits for memory and meanwhile reads nothing from the link.
func (b *borrowerLink) receive() ([]byte, charge, error) {
	b.setBusy(false)
	_, r, err := b.ws.Reader(b.ctx)
	b.setBusy(true)
	if err != nil {
		return nil, charge{}, fmt.Errorf("receive: %w", err)
	}
	var m message
	t := time.AfterFunc(b.lender.timeout(), func() {
		b.lender.Budget.Refused(budget.MessageTimeout)
		b.ws.CloseNow()
	})
	defer t.Stop()
	defer b.budget.EndMessage()
	for _, limit := range []int{freeMessage, budget.SmallMessage, maxRequest} {
		if err := b.chargeMessage(&m, limit); err != nil {
			return nil, charge{}, err
		}
		_, err := io.CopyN(&m.body, r, int64(limit-m.body.Len()))
		if errors.Is(err, io.EOF) {
			return m.body.Bytes(), b.shrink(m), nil
		}
		if err != nil {
			b.release(m.charge)
			return nil, charge{}, fmt.Errorf("receive: %w", err)
		}
	}
	// The message has maxRequest bytes, or too many of them.
	_, err = r.Read(make([]byte, 1))
	if errors.Is(err, io.EOF) {
		return m.body.Bytes(), b.shrink(m), nil
	}
	b.release(m.charge)
	return nil, charge{}, fmt.Errorf("receive: message of more than %d bytes", maxRequest)
}

// message is a message that is received.
type message struct {
	body   bytes.Buffer
	charge charge
}

// chargeMessage charges a message for growing up to a limit. The buffer and the decoded copy
// are charged.
func (b *borrowerLink) chargeMessage(m *message, limit int) error {
	if limit == freeMessage {
		return nil
	}
	if m.charge.n == 0 {
		b.budget.BeginMessage()
	}
	next := charge{budget.SmallLinks, 2 * limit}
	if limit > budget.SmallMessage {
		next.part = budget.Links
	}
	t := time.NewTimer(b.lender.timeout())
	defer t.Stop()
	if err := b.budget.Acquire(next.part, next.n, t.C); err != nil {
		b.lender.Budget.Refused(budget.MemoryFull)
		b.release(m.charge)
		return fmt.Errorf("receive: %w", err)
	}
	b.release(m.charge)
	m.charge = next
	return nil
}

// shrink reduces the charge of a complete message to its size.
func (b *borrowerLink) shrink(m message) charge {
	if excess := m.charge.n - 2*m.body.Len(); excess > 0 {
		b.budget.Release(m.charge.part, excess)
		m.charge.n -= excess
	}
	return m.charge
}

func (b *borrowerLink) release(c charge) { b.budget.Release(c.part, c.n) }

// dispatch runs a request. A new call for which there is no memory is refused as overloaded,
// and nothing of it is run. Calls of open transactions, releases and questions about groups
// are always run.
func (b *borrowerLink) dispatch(q request, c charge) {
	cost := callCost
	if b.budget.Acquire(budget.SmallLinks, cost, nil) != nil {
		cost = 0
		if q.Verb == verbRun && q.Handle == 0 {
			b.lender.Budget.Refused(budget.MemoryFull)
			b.release(c)
			b.refuse(q, failOverloaded)
			return
		}
	}
	r := b.beginRequest(q)
	if r == nil {
		b.release(c)
		b.budget.Release(budget.SmallLinks, cost)
		if q.Verb != verbRelease {
			b.refuse(q, failLenderUnavailable)
		}
		return
	}
	b.tasks <- struct{}{}
	b.noteState()
	b.start(func() {
		served := false
		defer func() {
			if !served {
				// After a panic, the link must not end as one that has answered everything.
				b.ws.CloseNow()
			}
			b.endRequest(r)
			<-b.tasks
			b.noteState()
			b.release(c)
			b.budget.Release(budget.SmallLinks, cost)
		}()
		if q.Verb == verbRelease {
			b.abortLoan(q.Handle)
		} else {
			b.serve(r)
		}
		served = true
	})
}

// noteState tells the budget whether the link is in use. Only idle links may be closed for
// others.
func (b *borrowerLink) noteState() {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case len(b.loans) > 0:
		b.budget.SetState(budget.InTransaction)
	case len(b.tasks) > 0:
		b.budget.SetState(budget.Busy)
	default:
		b.budget.SetState(budget.Idle)
	}
}

// refuse answers a request that is not run. The link is not read from meanwhile.
func (b *borrowerLink) refuse(q request, f failure) {
	b.respond(q.Seq, response{Failure: f, Handle: q.Handle})
}

// chargeResponse charges a response of n bytes. A small one always has room, for which links that
// are not read from are closed. A large one waits for room instead, and fails without.
func (b *borrowerLink) chargeResponse(n int) error {
	switch {
	case n > maxResponse:
		return errResponseTooLarge
	case n <= budget.SmallMessage:
		b.budget.BeginAnswer(budget.LinkAnswers, n)
		return nil
	}
	for end := time.Now().Add(maxRoomWait); ; time.Sleep(roomInterval) {
		err := b.budget.Acquire(budget.LinkAnswers, n, nil)
		if err == nil {
			b.budget.BeginSend()
			return nil
		}
		if !errors.Is(err, budget.ErrFull) || time.Now().After(end) {
			b.lender.Budget.Refused(budget.MemoryFull)
			return fmt.Errorf("response of %d bytes: %w", n, err)
		}
	}
}

// send sends a response, and charges a large one until it is sent.
func (b *borrowerLink) send(body []byte) error {
	ctx, cancel := context.WithTimeout(b.ctx, b.lender.timeout())
	defer cancel()
	if n := len(body); n > freeMessage {
		if err := b.chargeResponse(n); err != nil {
			return err
		}
		defer b.budget.EndAnswer(budget.LinkAnswers, n)
	}
	err := writeMessage(ctx, b.ws, body)
	if errors.Is(err, context.DeadlineExceeded) {
		b.lender.Budget.Refused(budget.AnswerTimeout)
	}
	if err != nil {
		return fmt.Errorf("send: %w", err)
	}
	return nil
}

func (l *Lender) timeout() time.Duration {
	if l.Timeout == 0 {
		return DefaultTimeout
	}
	return l.Timeout
}

func (l *Lender) linkCalls() int {
	if l.LinkCalls == 0 {
		return DefaultLinkCalls
	}
	return l.LinkCalls
}
