package engine

import (
	"errors"
	"syscall"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
)

// wordHedge is how long a replica may take for its word before the next one is asked as well.
const wordHedge = 100 * time.Millisecond

// word is a replica's answer to the question whether it follows the primary.
type word struct {
	member replicaset.Member
	sentAt replicaset.Instant
	status replicaset.Status
	err    error
}

// follows reports whether the replica follows the primary of a term and is not paused.
func (w word) follows(lead replicaset.Lead) bool {
	return w.err == nil && w.status.Follows(lead.Term)
}

// notRunning reports whether the replica's address refuses connections. Nobody leads there then.
func (w word) notRunning() bool { return errors.Is(w.err, syscall.ECONNREFUSED) }

// askWords asks replicas in turn whether they follow the primary, and the next one without waiting
// for an answer if that takes long. It passes each answer to use, until use returns true or all have
// answered.
func (e *Engine) askWords(replicas []replicaset.Member, use func(w word) bool) {
	answers := make(chan word, len(replicas))
	asked, open, slow := 0, 0, false
	hedge := time.NewTimer(wordHedge)
	defer hedge.Stop()
	for {
		if asked < len(replicas) && (open == 0 || slow) {
			e.askWord(replicas[asked], answers)
			asked, open, slow = asked+1, open+1, false
			hedge.Reset(wordHedge)
		}
		if open == 0 {
			return
		}
		select {
		case w := <-answers:
			open--
			if use(w) {
				return
			}
		case <-hedge.C:
			slow = true
		}
	}
}

// askWord asks one replica for its status.
func (e *Engine) askWord(m replicaset.Member, answers chan<- word) {
	e.spawn("status request for a proof", func() {
		w := word{member: m, sentAt: e.BootTime(), err: errNoProof}
		defer func() { answers <- w }()
		w.status, w.err = e.status(m, proofTimeout)
	})
}
