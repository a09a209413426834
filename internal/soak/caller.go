package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/history"
	"github.com/cumintrestle/cumintrestle/platform/standin"
)

const (
	// callerPatience is how long a caller waits for an answer.
	callerPatience = 3 * time.Second
	// callerPause is the mean pause between two operations of a caller.
	callerPause = 15 * time.Millisecond
	// itemsPerCaller is how many items one caller writes at a time.
	itemsPerCaller = 3
)

// caller is one application: it opens sessions, one after the other, at any
// host, and checks what it reads.
type caller struct {
	w      *world
	l      *ledger
	plan   []Fault
	number int
	r      *rand.Rand

	// own has the caller's items by group, items those of the session's group.
	own      [groups][]*item
	items    []*item
	conn     *standin.Caller
	session  string
	sessions int
	database string
	group    int
	host     *process
	values   map[string]string
	shapes   map[string]string
}

// item is one thing that a caller writes, whose values count up.
type item struct {
	name string
	n    int
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.serve(ctx)
	}
}

// newItem replaces an item of which the last value is unknown: that value may
// still come into effect, after later ones.
func (c *caller) newItem(i int) {
	it := &item{name: fmt.Sprintf("i%d.%d.%d", c.number, i, c.r.Uint32())}
	if i == len(c.items) {
		c.items = append(c.items, it)
	}
	c.items[i] = it
	c.own[c.group] = c.items
}

// serve runs one session.
func (c *caller) serve(ctx context.Context) {
	c.sessions++
	c.session = fmt.Sprintf("s%d.%d", c.number, c.sessions)
	c.group, c.host = c.r.IntN(groups), c.w.hosts[c.r.IntN(len(c.w.hosts))]
	c.database = []string{"primary", "bounded", "session", "session", "moving"}[c.r.IntN(5)]
	name := c.database
	if name != "moving" {
		name = fmt.Sprint(c.database, c.group)
	}
	c.items = c.own[c.group]
	for len(c.items) < itemsPerCaller {
		c.newItem(len(c.items))
	}
	c.values, c.shapes = make(map[string]string), make(map[string]string)
	conn, err := standin.Connect(c.host.caller, name, callerPatience)
	if err != nil {
		c.rest(ctx)
		return
	}
	c.conn = conn
	defer conn.Close()
	for range 3 + c.r.IntN(20) {
		if !c.operation() || !c.rest(ctx) {
			return
		}
	}
}

func (c *caller) rest(ctx context.Context) bool {
	t := time.NewTimer(time.Duration(c.r.ExpFloat64() * float64(callerPause)))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// operation runs one operation and reports whether the session goes on.
func (c *caller) operation() bool {
	n := c.r.IntN(10)
	switch {
	case c.database == "moving":
		return c.readMoving()
	case n == 0:
		name, v := fmt.Sprint("v", c.r.IntN(3)), fmt.Sprint(c.session, ".", c.r.IntN(9))
		a, err := c.query(&sent{text: "SET " + name + " " + v})
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

// query sends one statement and notes its end. One that ends without an answer
// must not have been cut by planned work.
func (c *caller) query(s *sent) (standin.Answer, error) {
	s.values = maps.Clone(c.values)
	id := c.l.send(s)
	a, err := c.conn.Query(id, s.text)
	c.l.answered(s, a, err)
	from, to := s.at.Sub(c.l.began), time.Since(c.l.began)
	if err != nil && calm(c.plan, from, to) && to-from < callerPatience && (to-from > cutSlack || c.w.ran(id)) {
		c.l.violate("request_cut", id, "%s ended after %s without an answer: %v", s.text, to-from, err)
	}
	if err == nil && a.Done() && strings.HasPrefix(s.text, "READ") && len(a.Rows) != 1 {
		c.l.violate("mixed", id, "a read has %d rows", len(a.Rows))
	}
	return a, err
}

// statement is a read or a write, sometimes as a prepared statement.
func (c *caller) statement(verb, args, transaction string) (*sent, bool) {
	s := &sent{text: verb + " " + args, args: args, transaction: transaction}
	if c.r.IntN(3) > 0 {
		return s, true
	}
	name, shape := fmt.Sprint("p", c.r.IntN(2)), verb+" q1"
	if c.shapes[name] != shape {
		if transaction != "" {
			return s, true
		}
		if a, err := c.query(&sent{text: "PREPARE " + name + " " + shape}); err != nil || !a.Done() {
			return s, false
		}
		c.shapes[name] = shape
	}
	s.text, s.shape = "EXEC "+name+" "+args, shape
	return s, true
}

func outcome(a standin.Answer, err error) history.Outcome {
	switch {
	case err == nil && a.Done():
		return history.Acked
	case err == nil && a.NothingKept():
		return history.NotRun
	}
	return history.Unknown
}

func (c *caller) write(i int, transaction string) bool {
	it := c.items[i]
	it.n++
	s, ok := c.statement("WRITE", it.name+" "+value(it.name, it.n), transaction)
	if !ok {
		c.l.wrote(c.group, it.name, it.n, c.session, history.NotRun)
		return false
	}
	a, err := c.query(s)
	if transaction != "" {
		return err == nil && a.Done()
	}
	o := outcome(a, err)
	c.l.wrote(c.group, it.name, it.n, c.session, o)
	if o == history.Unknown {
		c.newItem(i)
	}
	return err == nil
}

// transaction writes two items, which are kept or not kept together.
func (c *caller) transaction() bool {
	label := c.session + "." + fmt.Sprint(c.r.Uint32())
	if a, err := c.query(&sent{text: "BEGIN"}); err != nil || !a.Done() {
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
	a, err := c.query(&sent{text: end, transaction: label})
	if end == "COMMIT" {
		o = outcome(a, err)
	}
	for i := range written {
		it := c.items[i]
		c.l.wrote(c.group, it.name, it.n, c.session, o)
		if o == history.Unknown {
			c.newItem(i)
		}
	}
	return err == nil && a.State == "I"
}

// read reads an item of this caller and checks how new its value is.
func (c *caller) read() bool {
	it := c.items[c.r.IntN(len(c.items))]
	need := c.l.needed(c.group, it.name, c.session, c.database)
	s, ok := c.statement("READ", it.name, "")
	if !ok {
		return false
	}
	a, err := c.query(s)
	if err == nil && a.Done() && len(a.Rows) == 1 {
		c.l.saw(s.text, it.name, a.Rows[0], need)
	}
	return err == nil
}

// readMoving reads from the database whose group operators change.
func (c *caller) readMoving() bool {
	life := c.host.life()
	host := fmt.Sprintf("%s life %d", c.host.name, life)
	known := c.l.knownVersion(host)
	a, err := c.query(&sent{text: "READ moving"})
	if err == nil && a.Done() && life == c.host.life() {
		c.l.moved(a.Digest, host, known, c.w.groupOf(a.Digest), c.w.configured())
	}
	return err == nil
}
