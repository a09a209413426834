package budget

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// Part is a part of the memory of the process.
type Part int

// The parts. Each has its own share, so that one that is used up does not affect the others.
const (
	// SmallMessages is for messages of clients of up to SmallMessage bytes that are received
	// or wait to run. Those of up to some KiB are part of a connection's cost.
	SmallMessages Part = iota
	// LargeMessages is the same for larger messages.
	LargeMessages
	// SmallInTransaction and LargeInTransaction are the same for sessions with an open
	// transaction, which hold scarce connections to endpoints.
	SmallInTransaction
	LargeInTransaction
	// Answers is for answers that clients have not read.
	Answers
	// SessionState is for values and prepared statements of sessions.
	SessionState
	// SmallLinks is for the calls of other hosts that are received or run, with messages of
	// up to SmallMessage bytes, Links for those with larger messages, and LinkAnswers for
	// responses that other hosts have not read.
	SmallLinks
	Links
	LinkAnswers
	// Feeds is for the tables that are sent to a host that has just subscribed.
	Feeds
	numParts
)

// String returns the name of the part in metrics.
func (p Part) String() string {
	return [...]string{
		"small_messages", "large_messages", "small_in_transaction", "large_in_transaction", "answers", "session_state",
		"small_links", "large_links", "link_answers", "feeds",
	}[p]
}

// SmallMessage is the largest message of SmallMessages, in bytes.
const SmallMessage = 64 << 10

// Shares has the percentage of the memory limit for each part, and for the connections of
// each kind.
type Shares struct {
	Parts       [numParts]int64
	Connections [numKinds]int64
	// ClientCost is what a session without a large message takes, in bytes: buffers, stacks
	// and its state.
	ClientCost int64
}

// LineShares is for hosts of the line protocol, whose messages have at most 1 MiB, and
// PostgresShares for hosts of the PostgreSQL protocol, whose messages have up to 16 MiB and
// are held several times, and which have few links. When all parts and connections are at
// their limits at once, they take 70% of the memory; the rest is for the process itself.
var (
	LineShares = Shares{
		Parts: [numParts]int64{
			SmallMessages: 4, LargeMessages: 8, SmallInTransaction: 2, LargeInTransaction: 4, Answers: 8, SessionState: 5,
			SmallLinks: 4, Links: 8, LinkAnswers: 4, Feeds: 2,
		},
		Connections: [numKinds]int64{Clients: 8, Hosts: 12, Checks: 1},
		// 600 idle sessions took 7 KiB each.
		ClientCost: 8 << 10,
	}
	PostgresShares = Shares{
		Parts: [numParts]int64{
			SmallMessages: 4, LargeMessages: 19, SmallInTransaction: 2, LargeInTransaction: 8, Answers: 14, SessionState: 5,
		},
		Connections: [numKinds]int64{Clients: 15, Hosts: 2, Checks: 1},
		// 800 idle sessions took 28 KiB each.
		ClientCost: 28 << 10,
	}
)

// smallest has the least size of a part in bytes: one legal message of 1 MiB is held twice
// while it is sent on, and links carry messages of up to 3 MiB.
var smallest = [numParts]int64{
	SmallMessages: 1 << 20, LargeMessages: 2 << 20, SmallInTransaction: 1 << 20, LargeInTransaction: 2 << 20,
	Answers: 1 << 20, SessionState: 1 << 20, SmallLinks: 1 << 20, Links: 6 << 20, LinkAnswers: 1 << 20, Feeds: 1 << 20,
}

// Reason says why a peer was refused or closed.
type Reason string

// The reasons.
const (
	// NotStarted: a connection that had not started was closed for a newer one.
	NotStarted Reason = "not_started"
	// ConnectionIdle: an idle connection of the source with the most of them was closed for
	// a new one.
	ConnectionIdle Reason = "idle"
	// ConnectionsFull: a connection was refused because all others are in use.
	ConnectionsFull Reason = "connections_full"
	// MessageSlow: a message took too long while others waited for its memory.
	MessageSlow Reason = "message_slow"
	// MessageTimeout: a message was not completed within its time limit.
	MessageTimeout Reason = "message_timeout"
	// MemoryFull: no memory became free for a message.
	MemoryFull Reason = "memory_full"
	// AnswerUnread: an answer was not read while others needed its memory.
	AnswerUnread Reason = "answer_unread"
	// AnswerTimeout: an answer was not read within its time limit.
	AnswerTimeout Reason = "answer_timeout"
	// StateFull: there is no memory for the state of a session.
	StateFull Reason = "state_full"
	// CancelFlood: a cancel request was not forwarded because there were too many.
	CancelFlood Reason = "cancel_flood"
)

// Errors of the budget.
var (
	// ErrFull reports that the part has no room.
	ErrFull = errors.New("no memory left for this")
	// ErrConnections reports that all connections are in use.
	ErrConnections = errors.New("too many connections")
	// ErrEvicted reports that the connection was closed for others.
	ErrEvicted = errors.New("connection closed in favour of others")
)

// Budget accounts for the bytes and connections of the whole process. The exported fields
// are set before it is used. A nil Budget has no limits.
type Budget struct {
	Now func() time.Time
	// OnRefuse is called for each refusal and each connection that is closed. It may be nil.
	OnRefuse func(r Reason)
	// SlowAfter is how long a message may be received, or an answer be unread, before its
	// connection can be closed because others wait for the memory.
	SlowAfter time.Duration

	shares  Shares
	limited atomic.Bool
	// order numbers the changes of connections to idle.
	order atomic.Uint64
	mu    sync.Mutex
	parts [numParts]part
	pools [numKinds]pool
}

// part is the state of a part of the memory.
type part struct {
	limit, used int64
	// holders are the connections that hold bytes of the part.
	holders map[*Conn]int64
	waiters []*waiter
}

// New returns a budget for a memory limit in bytes and a limit of file descriptors. A limit
// of 0 means none.
func New(s Shares, memory int64, descriptors int) *Budget {
	b := &Budget{Now: time.Now, SlowAfter: DefaultSlowAfter, shares: s}
	for p := range b.parts {
		b.parts[p].holders = make(map[*Conn]int64)
	}
	b.sizePools(memory, descriptors)
	b.SetMemory(memory)
	return b
}

// SetMemory changes the memory limit. The numbers of connections stay as they are.
func (b *Budget) SetMemory(memory int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limited.Store(memory > 0)
	for p := range b.parts {
		b.parts[p].limit = max(memory*b.shares.Parts[p]/100, smallest[p])
		b.admitWaiters(Part(p))
	}
}

// Limited reports whether there is a memory limit.
func (b *Budget) Limited() bool { return b != nil && b.limited.Load() }

// Refused reports a refusal that its caller has decided on.
func (b *Budget) Refused(r Reason) {
	if b != nil && b.OnRefuse != nil {
		b.OnRefuse(r)
	}
}

// Reserve charges n bytes to a part, without a connection and without waiting.
func (b *Budget) Reserve(p Part, n int) error {
	if !b.Limited() {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if pt := &b.parts[p]; pt.used+int64(n) <= pt.limit {
		pt.used += int64(n)
		return nil
	}
	return ErrFull
}

// Release returns what Reserve has charged.
func (b *Budget) Release(p Part, n int) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	// What was reserved while there was no limit has not been charged.
	b.parts[p].used = max(b.parts[p].used-int64(n), 0)
	b.admitWaiters(p)
}

// Usage is the state of a part or of a pool of connections.
type Usage struct {
	Name        string
	Used, Limit int64
}

// Bytes returns the usage of the parts of the memory, and Connections that of the pools.
func (b *Budget) Bytes() []Usage {
	if !b.Limited() {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Usage
	for p := range b.parts {
		out = append(out, Usage{Part(p).String(), b.parts[p].used, b.parts[p].limit})
	}
	return out
}
