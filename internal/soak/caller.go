package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"time"
	"unicode"

	"github.com/cumintrestle/cumintrestle/internal/history"
	"github.com/cumintrestle/cumintrestle/platform/standin"
)

const (
	// answerTimeout is how long a caller waits for an answer.
	answerTimeout = 3 * time.Second
	// meanOperationPause is the mean pause between two operations of a caller.
	meanOperationPause = 15 * time.Millisecond
	// itemsPerCaller is the number of items that one caller writes in each group.
	itemsPerCaller = 3
)

// caller simulates one application: it opens one session after the other, each
// on a random host, and checks what it reads.
type caller struct {
	w      *world
	l      *ledger
	plan   []Fault
	number int
	r      *rand.Rand

	// itemsByGroup has the caller's items in each database group; items are those
	// of the current session's group.
	itemsByGroup [groups][]*item
	items        []*item
	conn         *standin.Caller
	// key is the key of the session, began when its last single statement or transaction was sent.
	key      string
	began    time.Time
	session  string
	sessions int
	database string
	group    int
	host     *process
	// values has the session values that the session has set.
	values map[string]string
	// prepared maps the name of each prepared statement to its text.
	prepared map[string]string
}

// item is a key that one caller writes with increasing numbers; n is the last.
type item struct {
	name string
	n    int
}

// run opens sessions until ctx ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.runSession(ctx)
	}
}

// newItem replaces an item after a write with an unknown outcome: that write may
// still take effect after later ones, so the item's order could not be checked.
func (c *caller) newItem(i int) {
	it := &item{name: fmt.Sprintf("i%d.%d.%d", c.number, i, c.r.Uint32()) + c.l.texts.name(c.r)}
	if i == len(c.items) {
		c.items = append(c.items, it)
	}
	c.items[i] = it
	c.itemsByGroup[c.group] = c.items
}

// runSession runs one session with 3 to 22 operations on a random host, group and
// kind of database.
func (c *caller) runSession(ctx context.Context) {
	c.sessions++
	c.session = fmt.Sprintf("s%d.%d", c.number, c.sessions)
	c.group, c.host = c.r.IntN(groups), c.w.hosts[c.r.IntN(len(c.w.hosts))]
	c.database = []string{"primary", "bounded", "session", "session", "moving"}[c.r.IntN(5)]
	name := c.database
	if name != "moving" {
		name = fmt.Sprint(c.database, c.group)
	}
	c.items = c.itemsByGroup[c.group]
	for len(c.items) < itemsPerCaller {
		c.newItem(len(c.items))
	}
	c.values, c.prepared = make(map[string]string), make(map[string]string)
	conn, err := c.connect(name)
	if err != nil {
		c.pause(ctx)
		return
	}
	c.conn = conn
	defer conn.Close()
	operations := 3 + c.r.IntN(20)
	for i := 0; i < operations || c.keepsSession(); i++ {
		if !c.runOperation() || !c.pause(ctx) {
			return
		}
	}
}

// keepsSession reports whether the caller uses a session until the host ends it or an
// operation fails.
func (c *caller) keepsSession() bool { return c.number%4 == 3 }

// pause waits a random time, meanOperationPause on average. It returns false if
// ctx ended first.
func (c *caller) pause(ctx context.Context) bool {
	t := time.NewTimer(time.Duration(c.r.ExpFloat64() * float64(meanOperationPause)))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// runOperation runs one random operation and reports whether the session can
// continue.
func (c *caller) runOperation() bool {
	n := c.r.IntN(10)
	switch {
	case c.database == "moving":
		return c.readMoving()
	case n == 0:
		name, v := fmt.Sprint("v", c.r.IntN(3), c.l.texts.only("\r")), fmt.Sprint(c.session, ".", c.r.IntN(9), c.l.texts.last(c.r))
		a, err := c.query(&sentStatement{text: "SET " + name + " " + v})
		if err == nil && a.Done() {
			c.values[name] = v
		}
		return err == nil && a.Done()
	case n < 4 && c.database != "bounded":
		return c.write(c.r.IntN(len(c.items)), "")
	case n == 4 && c.database != "bounded":
		return c.transaction()
	}
	return c.read()
}

// query sends one statement and records its result. Planned work must not cut off a
// request: an end without an answer is a violation if no other fault was active,
// unless the caller timed out, or the end came within unreadCutWindow and no endpoint
// ran the request.
func (c *caller) query(s *sentStatement) (standin.Answer, error) {
	if s.transaction == "" && c.conn.Ended() {
		c.l.countClosed()
		return standin.Answer{}, standin.ErrIncompleteAnswer
	}
	if s.transaction == "" {
		c.began = time.Now()
	}
	s.values, s.key, s.began = maps.Clone(c.values), c.key, c.began
	id := c.l.recordStatement(s)
	a, err := c.conn.Query(id, s.text)
	c.l.recordAnswer(s, a, err)
	if err != nil {
		// A late answer would be taken for that to the next statement.
		c.conn.Close()
	}
	from, to := s.at.Sub(c.l.began), time.Since(c.l.began)
	if err != nil && onlyPlannedFaults(c.plan, from, to) && to-from < answerTimeout && (to-from > unreadCutWindow || c.w.requestRan(id)) {
		c.l.addViolation("request_cut", id, "%s ended after %s without an answer: %v", s.text, to-from, err)
	}
	if err == nil && a.InDoubt() && c.w.provesOutcome() && to-from < c.w.statementTimeout()-limitMargin {
		c.l.addViolation("in_doubt", id, "%.40s is in doubt after %s", s.text, to-from)
	}
	if strings.ContainsFunc(a.Reason, unicode.IsControl) {
		c.l.addViolation("reason", id, "%s is refused with %q", s.text, a.Reason)
	}
	if err == nil && a.Done() && strings.HasPrefix(s.text, "READ") && len(a.Rows) != 1 {
		c.l.addViolation("mixed", id, "a read has %d rows", len(a.Rows))
	}
	return a, err
}

// newStatement returns a read or a write. One time in three it is the execution of a
// prepared statement, which is prepared first if necessary, but not in a transaction.
// It returns false if preparing fails.
func (c *caller) newStatement(verb, args, transaction string) (*sentStatement, bool) {
	s := &sentStatement{text: verb + " " + args, args: args, transaction: transaction}
	if c.r.IntN(3) > 0 {
		return s, true
	}
	name, shape := fmt.Sprint("p", c.r.IntN(2), c.l.texts.only("\n")), verb+" q1"+c.l.texts.last(c.r)
	if known := c.prepared[name]; strings.HasPrefix(known, verb) {
		shape = known
	}
	if c.prepared[name] != shape {
		if transaction != "" {
			return s, true
		}
		if a, err := c.query(&sentStatement{text: "PREPARE " + name + " " + shape}); err != nil || !a.Done() {
			return s, false
		}
		c.prepared[name] = shape
	}
	s.text, s.shape = "EXEC "+name+" "+args, shape
	return s, true
}

// writeOutcome is the outcome of a write or commit as its caller knows it.
func writeOutcome(a standin.Answer, err error) history.Outcome {
	switch {
	case err == nil && a.Done():
		return history.Acked
	case err == nil && a.NothingKept():
		return history.NotRun
	}
	return history.Unknown
}

// write writes the next value of item i and reports whether the session can
// continue. The outcome of a write in a transaction is recorded when that ends.
func (c *caller) write(i int, transaction string) bool {
	it := c.items[i]
	it.n++
	s, ok := c.newStatement("WRITE", it.name+" "+c.l.texts.itemValue(it.name, it.n), transaction)
	if !ok {
		c.l.recordWrite(c.group, it.name, it.n, c.session, history.NotRun)
		return false
	}
	a, err := c.query(s)
	if transaction != "" {
		return err == nil && a.Done()
	}
	o := writeOutcome(a, err)
	c.l.recordWrite(c.group, it.name, it.n, c.session, o)
	if o == history.Unknown {
		c.newItem(i)
	}
	return err == nil
}

// transaction writes two items in a transaction, which is committed or rolled
// back as a whole, and reports whether the session can continue.
func (c *caller) transaction() bool {
	label := c.session + "." + fmt.Sprint(c.r.Uint32())
	if a, err := c.query(&sentStatement{text: "BEGIN"}); err != nil || !a.Done() {
		return false
	}
	written, done := 1, c.write(0, label)
	if done {
		written, done = 2, c.write(1, label)
	}
	end, o := "COMMIT", history.NotRun
	if !done || c.r.IntN(5) == 0 {
		end = "ROLLBACK"
	}
	a, err := c.query(&sentStatement{text: end, transaction: label})
	if end == "COMMIT" {
		o = writeOutcome(a, err)
	}
	for i := range written {
		it := c.items[i]
		c.l.recordWrite(c.group, it.name, it.n, c.session, o)
		if o == history.Unknown {
			c.newItem(i)
		}
	}
	return err == nil && a.State == "I"
}

// read reads one of the caller's items and checks that the value is recent enough
// for the database's kind.
func (c *caller) read() bool {
	it := c.items[c.r.IntN(len(c.items))]
	need := c.l.requiredValue(c.group, it.name, c.session, c.database)
	s, ok := c.newStatement("READ", it.name, "")
	if !ok {
		return false
	}
	a, err := c.query(s)
	if err == nil && a.Done() && len(a.Rows) == 1 {
		c.l.checkRead(fmt.Sprintf("%s, %s: %s", c.host.name, a.Digest, s.text), it.name, a.Rows[0], need)
	}
	return err == nil
}

// readMoving reads from the database "moving", whose group changes during the run.
// The read is not checked if the host was restarted in the meantime.
func (c *caller) readMoving() bool {
	life := c.host.incarnation()
	host := fmt.Sprintf("%s life %d", c.host.name, life)
	known := c.l.knownVersion(host)
	a, err := c.query(&sentStatement{text: "READ moving"})
	if err == nil && a.Done() && life == c.host.incarnation() {
		c.l.checkMovingRead(a.Digest, host, known, c.w.groupOf(a.Digest), c.w.acceptedConfigs())
	}
	return err == nil
}
