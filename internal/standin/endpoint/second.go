package endpoint

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// SecondAnswers makes a node send some answers twice: all messages from the
// request to ReadyForQuery.
type SecondAnswers struct {
	// Share is the fraction of the answers, from 0 to 1.
	Share float64
	// MaxDelay is how much later a second answer comes at most. Half of them
	// come at once.
	MaxDelay time.Duration
}

// draw reports whether an answer is sent twice, and how much later.
func (a SecondAnswers) draw() (time.Duration, bool) {
	if rand.Float64() >= a.Share {
		return 0, false
	}
	if a.MaxDelay <= 0 || rand.IntN(2) == 0 {
		return 0, true
	}
	return rand.N(a.MaxDelay) + 1, true
}

// SetSecondAnswers sets which answers the node sends twice from now on.
func (n *Node) SetSecondAnswers(a SecondAnswers) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.secondAnswers = a
}

func (n *Node) getSecondAnswers() SecondAnswers {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.secondAnswers
}

// answerWriter writes a session's answers, some of them twice.
type answerWriter struct {
	conn net.Conn
	mu   sync.Mutex
	// policy applies to the current answer.
	policy SecondAnswers
	// answer is the current answer so far, empty if no answer is repeated.
	answer []byte
}

// Write is part of io.Writer.
func (w *answerWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.policy.Share > 0 {
		w.answer = append(w.answer, p...)
	}
	return w.conn.Write(p)
}

// sendOnce makes the current answer come once.
func (w *answerWriter) sendOnce() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.policy, w.answer = SecondAnswers{}, nil
}

// endAnswer ends the current answer. The next one follows the policy next.
func (w *answerWriter) endAnswer(next SecondAnswers) {
	w.mu.Lock()
	defer w.mu.Unlock()
	answer := w.answer
	delay, second := w.policy.draw()
	w.policy, w.answer = next, nil
	if !second || len(answer) == 0 {
		return
	}
	if delay == 0 {
		_, _ = w.conn.Write(answer)
		return
	}
	time.AfterFunc(delay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		_, _ = w.conn.Write(answer)
	})
}
