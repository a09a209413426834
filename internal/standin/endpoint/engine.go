package endpoint

import (
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"

	"zombiezen.com/go/sqlite"
)

// databaseCount numbers the in-memory databases of the process, so that each
// has its own URI.
var databaseCount atomic.Int64

// engine stores the data twice, in two in-memory SQLite databases. Write
// transactions run on the first. After a commit their statements are replayed
// on the second, which serves reads. One database is not enough: an in-memory
// SQLite database blocks readers while a transaction writes, and reads must not
// wait for transactions of other sessions.
type engine struct {
	writer     *sqlite.Conn
	writerLock chan struct{} // capacity 1; holds an element while writer is in use
	applier    *sqlite.Conn
	readers    chan *sqlite.Conn
}

func newEngine(readers int) (*engine, error) {
	w, err := openDatabase(newDatabaseURI())
	if err != nil {
		return nil, err
	}
	committed := newDatabaseURI()
	a, err := openDatabase(committed)
	if err != nil {
		return nil, err
	}
	e := &engine{writer: w, writerLock: make(chan struct{}, 1), applier: a, readers: make(chan *sqlite.Conn, readers)}
	for range readers {
		r, err := openDatabase(committed)
		if err != nil {
			return nil, err
		}
		if _, err := run(r, "PRAGMA query_only=1", nil); err != nil {
			return nil, err
		}
		e.readers <- r
	}
	return e, nil
}

func newDatabaseURI() string {
	return fmt.Sprintf("file:/cumintrestle-%d?vfs=memdb", databaseCount.Add(1))
}

func openDatabase(uri string) (*sqlite.Conn, error) {
	c, err := sqlite.OpenConn(uri, sqlite.OpenReadWrite|sqlite.OpenCreate|sqlite.OpenURI)
	if err != nil {
		return nil, fmt.Errorf("open engine: %w", err)
	}
	return c, nil
}

// rowSet is the result of a statement in text format.
type rowSet struct {
	columns []string
	rows    [][]*string
	changes int // affected rows
}

// run executes one statement on c.
func run(c *sqlite.Conn, sql string, args []*string) (rowSet, error) {
	stmt, err := c.Prepare(sql)
	if err != nil {
		return rowSet{}, fmt.Errorf("%w", err)
	}
	defer func() {
		_ = stmt.Reset()
		_ = stmt.ClearBindings()
	}()
	if err := bind(stmt, args); err != nil {
		return rowSet{}, err
	}
	var rs rowSet
	for i := range stmt.ColumnCount() {
		rs.columns = append(rs.columns, stmt.ColumnName(i))
	}
	for {
		more, err := stmt.Step()
		if err != nil {
			return rowSet{}, fmt.Errorf("%w", err)
		}
		if !more {
			break
		}
		rs.rows = append(rs.rows, textRow(stmt))
	}
	rs.changes = c.Changes()
	return rs, nil
}

func textRow(stmt *sqlite.Stmt) []*string {
	row := make([]*string, stmt.ColumnCount())
	for i := range row {
		if stmt.ColumnIsNull(i) {
			continue
		}
		s := stmt.ColumnText(i)
		row[i] = &s
	}
	return row
}

// bind sets the parameters $1, $2 and so on. Text that is an integer is bound
// as an integer, because parameters carry no types.
func bind(stmt *sqlite.Stmt, args []*string) error {
	for i := 1; i <= stmt.BindParamCount(); i++ {
		n, err := strconv.Atoi(strings.TrimLeft(stmt.BindParamName(i), "$?"))
		if err != nil || n < 1 || n > len(args) {
			return fmt.Errorf("there is no parameter %s", stmt.BindParamName(i))
		}
		v := args[n-1]
		if v == nil {
			stmt.BindNull(i)
			continue
		}
		if x, err := strconv.ParseInt(*v, 10, 64); err == nil && strconv.FormatInt(x, 10) == *v {
			stmt.BindInt64(i, x)
			continue
		}
		stmt.BindText(i, *v)
	}
	return nil
}

// apply runs the statements of one log entry on both databases, as one
// transaction on each.
func (e *engine) apply(stmts []statement) error {
	e.writerLock <- struct{}{}
	defer func() { <-e.writerLock }()
	if err := replay(e.writer, stmts); err != nil {
		return err
	}
	return replay(e.applier, stmts)
}

// commit commits the open transaction of writer and replays its statements for
// readers.
func (e *engine) commit(stmts []statement) error {
	if _, err := run(e.writer, "COMMIT", nil); err != nil {
		return err
	}
	return replay(e.applier, stmts)
}

// replay runs the statements on c as one transaction.
func replay(c *sqlite.Conn, stmts []statement) error {
	if len(stmts) == 0 {
		return nil
	}
	if _, err := run(c, "BEGIN IMMEDIATE", nil); err != nil {
		return err
	}
	for _, s := range stmts {
		if _, err := run(c, s.SQL, s.Args); err != nil {
			_, _ = run(c, "ROLLBACK", nil)
			return err
		}
	}
	_, err := run(c, "COMMIT", nil)
	return err
}
