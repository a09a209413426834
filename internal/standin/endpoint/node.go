package endpoint

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/benbjohnson/clock"
	"gopkg.in/tomb.v2"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// Node is one stand-in database. The exported fields must be set before Start.
type Node struct {
	ID       core.MemberID
	Password string
	// Slots is the number of statements that run at the same time.
	Slots int
	// MaxSessions is the maximum number of sessions, without control sessions.
	MaxSessions int
	// ConnectDelay is the time that opening a session takes, except for control
	// sessions.
	ConnectDelay time.Duration
	// Bootstrap makes the node the primary of term 1.
	Bootstrap bool
	// BindIP is the local IP address of outgoing connections; empty for any.
	BindIP string
	Clock  clock.Clock

	t             tomb.Tomb
	mu            sync.Mutex    // protects the fields below, except slots
	changed       chan struct{} // closed and replaced by notify
	log           entryLog
	engine        *engine
	applied       session.Position // last log position applied to engine
	fencedTerm    session.Term
	nonce         core.Nonce   // of the promotion attempt that fenced the node
	primaryTerm   session.Term // 0 unless the node was promoted
	followedTerm  session.Term // 0 unless the node follows a primary
	primaryAddr   string       // address of the followed primary
	lastMessageAt time.Time    // last message on the stream from the primary
	leaving       bool
	applyLag      time.Duration
	sendLag       time.Duration
	secondAnswers SecondAnswers
	evicted       map[string]bool // by run ID of the entry host
	sessions      map[uint32]*pgSession
	nextPID       uint32
	peakSessions  int
	slots         chan struct{} // one element per running statement
}

// Start starts the node in the background. It serves the connections of ln until
// Stop.
func (n *Node) Start(ln net.Listener) error {
	if n.Clock == nil {
		n.Clock = clock.New()
	}
	e, err := newEngine(n.Slots)
	if err != nil {
		return err
	}
	n.engine = e
	n.changed = make(chan struct{})
	n.sessions = make(map[uint32]*pgSession)
	n.evicted = make(map[string]bool)
	n.slots = make(chan struct{}, n.Slots)
	n.lastMessageAt = n.Clock.Now()
	if n.Bootstrap {
		n.fencedTerm = 1
		n.primaryTerm = 1
		n.log.append(1, nil)
		n.applied = 1
	}
	n.t.Go(func() error { return n.acceptLoop(ln) })
	n.t.Go(n.applyLoop)
	n.t.Go(n.followLoop)
	return nil
}

// Stop stops the node as a crash would: running statements and open transactions
// are dropped.
func (n *Node) Stop() error {
	n.t.Kill(nil)
	n.mu.Lock()
	for _, s := range n.sessions {
		_ = s.conn.Close()
	}
	n.mu.Unlock()
	return n.t.Wait()
}

// SetLag sets how long a replica waits before it applies a received entry, and
// how long a primary waits before it sends entries to its replicas.
func (n *Node) SetLag(apply, send time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyLag = apply
	n.sendLag = send
	n.notify()
}

// SetLeaving sets whether the node reports that it is leaving its group. A
// leaving node refuses new sessions, except control sessions.
func (n *Node) SetLeaving(leaving bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = leaving
	n.notify()
}

// Freeze simulates a paused process: it holds the node's mutex, which blocks
// everything that needs the node's state, until the returned function is called.
func (n *Node) Freeze() (resume func()) {
	n.mu.Lock()
	return n.mu.Unlock
}

// PeakSessions returns the highest number of sessions that were open at the same time,
// without control sessions.
func (n *Node) PeakSessions() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peakSessions
}

// notify wakes all goroutines that wait for a change of the node's state. The
// caller must hold mu.
func (n *Node) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// Status returns the node's status.
func (n *Node) Status() core.MemberStatus {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.statusLocked()
}

// statusLocked returns the node's status. The caller must hold mu.
func (n *Node) statusLocked() core.MemberStatus {
	s := core.MemberStatus{
		Fenced:  n.fencedTerm,
		Last:    n.log.last(),
		Prev:    n.log.lastOfPreviousTerm(),
		Applied: n.applied,
		Role:    core.Replica,
		Follows: n.followedTerm,
		Leaving: n.leaving,
	}
	if n.primaryTerm > 0 && n.primaryTerm == n.fencedTerm {
		s.Role = core.Primary
		return s
	}
	s.SilenceMS = n.Clock.Since(n.lastMessageAt).Milliseconds()
	return s
}

// fence raises the fencing term to t, so that the node refuses writes and log
// entries of lower terms. It fails if the node is fenced at a higher term, or at
// t with another nonce.
func (n *Node) fence(t session.Term, nonce core.Nonce) (core.MemberStatus, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t < n.fencedTerm || t == n.fencedTerm && n.nonce != nonce {
		return n.statusLocked(), false
	}
	if t > n.fencedTerm {
		n.fencedTerm = t
		n.nonce = nonce
		n.primaryTerm = 0
		n.followedTerm = 0
		n.primaryAddr = ""
		n.notify()
	}
	return n.statusLocked(), true
}

// promote makes the node the primary of term t. It fails unless the node was
// fenced at t with the same nonce and follows no primary. It first applies all
// entries of its log.
func (n *Node) promote(t session.Term, nonce core.Nonce) (core.MemberStatus, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t != n.fencedTerm || nonce != n.nonce || n.followedTerm != 0 {
		return n.statusLocked(), false
	}
	if n.primaryTerm == t {
		return n.statusLocked(), true
	}
	if err := n.applyAll(); err != nil {
		return n.statusLocked(), false
	}
	n.log.append(t, nil)
	n.applied = n.log.last().Position
	n.primaryTerm = t
	n.notify()
	return n.statusLocked(), true
}

// follow makes the node a replica of the primary of term t at addr. It fails if
// the node is fenced at a higher term or is itself the primary of t.
func (n *Node) follow(t session.Term, addr string) (core.MemberStatus, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t < n.fencedTerm || n.primaryTerm == t {
		return n.statusLocked(), false
	}
	if n.followedTerm == t && n.primaryAddr == addr {
		return n.statusLocked(), true
	}
	n.fencedTerm = t
	n.primaryTerm = 0
	n.followedTerm = t
	n.primaryAddr = addr
	n.notify()
	return n.statusLocked(), true
}

// commit commits a transaction that ran on e and appends it to the log, if the
// node is still the primary of the term in which the transaction began.
func (n *Node) commit(e *engine, term session.Term, stmts []statement) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.engine != e || n.primaryTerm != term || n.fencedTerm != term {
		return errReadOnly
	}
	if err := e.commit(stmts); err != nil {
		return err
	}
	n.log.append(term, stmts)
	n.applied = n.log.last().Position
	n.notify()
	return nil
}

// snapshot returns the engine, the point up to which it serves reads, and the
// term in which the node is primary (0 for a replica).
func (n *Node) snapshot() (*engine, session.Point, session.Term) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.engine, session.Point{Term: n.log.last().Term, Position: n.applied}, n.primaryTerm
}

var errReadOnly = fmt.Errorf("cannot execute the statement in a read-only transaction")

// leaderTerm returns the term in which the node is primary, or 0 if it is not
// or if a higher term has fenced it.
func (n *Node) leaderTerm() session.Term {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.primaryTerm == n.fencedTerm {
		return n.primaryTerm
	}
	return 0
}
