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

// Node is one stand-in database. The exported fields are set before Start.
type Node struct {
	ID       core.MemberID
	Password string
	Slots    int
	Limit    int
	// ConnectDelay is the time that a new connection takes.
	ConnectDelay time.Duration
	// Bootstrap makes the node the primary of term 1.
	Bootstrap bool
	// BindIP is the IP number that the node dials from; empty for any.
	BindIP string
	Clock  clock.Clock

	t        tomb.Tomb
	mu       sync.Mutex
	changed  chan struct{}
	log      entryLog
	engine   *engine
	applied  session.Position
	fenced   session.Term
	nonce    core.Nonce
	leads    session.Term
	follows  session.Term
	from     string
	heardAt  time.Time
	leaving  bool
	applyLag time.Duration
	sendLag  time.Duration
	evicted  map[string]bool
	sessions map[uint32]*pgSession
	nextPID  uint32
	peak     int
	slots    chan struct{}
}

// Start serves connections of ln until Stop.
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
	n.heardAt = n.Clock.Now()
	if n.Bootstrap {
		n.fenced = 1
		n.leads = 1
		n.log.append(1, nil)
		n.applied = 1
	}
	n.t.Go(func() error { return n.acceptLoop(ln) })
	n.t.Go(n.applyLoop)
	n.t.Go(n.followLoop)
	return nil
}

// Stop ends the node as a crash would: nothing is finished.
func (n *Node) Stop() error {
	n.t.Kill(nil)
	n.mu.Lock()
	for _, s := range n.sessions {
		_ = s.conn.Close()
	}
	n.mu.Unlock()
	return n.t.Wait()
}

// SetLag sets how long entries wait before they are applied, and before they
// are sent to replicas.
func (n *Node) SetLag(apply, send time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyLag = apply
	n.sendLag = send
	n.notify()
}

// SetLeaving marks the node as leaving or staying.
func (n *Node) SetLeaving(leaving bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = leaving
	n.notify()
}

// Freeze stops the node in its tracks, as a paused process would, until the
// returned function is called.
func (n *Node) Freeze() (thaw func()) {
	n.mu.Lock()
	return n.mu.Unlock
}

// Peak returns the highest number of sessions held at once, without control
// sessions.
func (n *Node) Peak() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peak
}

// notify wakes all that wait for a change. The caller holds mu.
func (n *Node) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// Status reports the node's state.
func (n *Node) Status() core.MemberStatus {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.statusLocked()
}

func (n *Node) statusLocked() core.MemberStatus {
	s := core.MemberStatus{
		Fenced:  n.fenced,
		Last:    n.log.last(),
		Prev:    n.log.termPrev(),
		Applied: n.applied,
		Role:    core.Replica,
		Follows: n.follows,
		Leaving: n.leaving,
	}
	if n.leads > 0 && n.leads == n.fenced {
		s.Role = core.Primary
		return s
	}
	s.SilenceMS = n.Clock.Since(n.heardAt).Milliseconds()
	return s
}

// fence makes the node refuse writes and log entries of terms below t.
func (n *Node) fence(t session.Term, nonce core.Nonce) (core.MemberStatus, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t < n.fenced || t == n.fenced && n.nonce != nonce {
		return n.statusLocked(), false
	}
	if t > n.fenced {
		n.fenced = t
		n.nonce = nonce
		n.leads = 0
		n.follows = 0
		n.from = ""
		n.notify()
	}
	return n.statusLocked(), true
}

// promote makes a node that is fenced at t the primary of t.
func (n *Node) promote(t session.Term, nonce core.Nonce) (core.MemberStatus, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t != n.fenced || nonce != n.nonce || n.follows != 0 {
		return n.statusLocked(), false
	}
	if n.leads == t {
		return n.statusLocked(), true
	}
	if err := n.applyAll(); err != nil {
		return n.statusLocked(), false
	}
	n.log.append(t, nil)
	n.applied = n.log.last().Position
	n.leads = t
	n.notify()
	return n.statusLocked(), true
}

// follow makes the node take entries from the primary of t at addr.
func (n *Node) follow(t session.Term, addr string) (core.MemberStatus, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t < n.fenced || n.leads == t {
		return n.statusLocked(), false
	}
	if n.follows == t && n.from == addr {
		return n.statusLocked(), true
	}
	n.fenced = t
	n.leads = 0
	n.follows = t
	n.from = addr
	n.notify()
	return n.statusLocked(), true
}

// commit appends a transaction that ran on e, if the node still leads.
func (n *Node) commit(e *engine, term session.Term, stmts []statement) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.engine != e || n.leads != term || n.fenced != term {
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

// snapshot returns the engine and the point that reads on it see.
func (n *Node) snapshot() (*engine, session.Point, session.Term) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.engine, session.Point{Term: n.log.last().Term, Position: n.applied}, n.leads
}

var errReadOnly = fmt.Errorf("cannot execute the statement in a read-only transaction")

// leadingTerm returns the term that the node leads, or 0.
func (n *Node) leadingTerm() session.Term {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leads == n.fenced {
		return n.leads
	}
	return 0
}
