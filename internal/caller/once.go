package caller

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/pkg/result"
)

// The states of a recorded request.
const (
	stateRunning = "running"
	stateDone    = "done"
	stateNotRun  = "not_run"
)

const (
	recordTable = `CREATE TABLE IF NOT EXISTS cumintrestle_request (` +
		`account TEXT, id TEXT, fingerprint TEXT, state TEXT, answer TEXT, PRIMARY KEY (account, id))`
	maxRecordedAnswer  = 64 << 10
	sqlUndefinedTable  = "42P01"
	sqlUniqueViolation = "23505"
)

// record is what the database group remembers of a request id.
type record struct {
	fingerprint string
	state       string
	answer      []byte
}

// runOnce runs a request under its request id: the id is recorded in the same
// transaction as the request's own writes, so the two can't part, on whatever
// host and after whatever failover the id comes again.
func (c *callerSession) runOnce(ctx context.Context, b *batch) error {
	id := c.params.requestID
	l, err := c.lendPrimary(ctx)
	if err != nil {
		return err
	}
	found, err := c.openRecord(l, id, b.fingerprint(), stateRunning)
	if err != nil {
		l.giveBack(nil)
		return result.New(result.EndpointRefused, "the request record could not be opened: %w", err)
	}
	if found != nil {
		l.giveBack(&answer{status: 'I'})
		return c.replay(found, b.fingerprint())
	}
	a, err := c.exchange(l.conn, b, false)
	if err != nil {
		l.giveBack(nil)
		return result.New(result.TransactionFailed, "the primary was lost before COMMIT was sent: %w", err)
	}
	if a.status != 'T' {
		return c.unrecorded(l, a)
	}
	if err := c.saveAnswer(l, id, a.out); err != nil {
		l.giveBack(nil)
		return result.New(result.TransactionFailed, "the answer could not be recorded: %w", err)
	}
	end, err := c.simple(l, "COMMIT")
	if err != nil {
		l.giveBack(nil)
		return result.New(result.OutcomeUnknown, "the primary was lost at COMMIT: %w", err)
	}
	l.giveBack(end)
	if end.sqlState != "" {
		return result.New(result.EndpointRefused, "the primary refused COMMIT (%s)", end.sqlState)
	}
	a.member, a.point, a.hasPoint = end.member, end.point, end.hasPoint
	c.params.requestID = ""
	return c.acknowledge(ctx, a)
}

// unrecorded ends a request that failed or ended the transaction itself.
func (c *callerSession) unrecorded(l *lease, a *answer) error {
	if a.status == 'I' {
		l.giveBack(a)
		return result.New(result.OutcomeUnknown, "a request with an id must not end the transaction itself")
	}
	end, err := c.simple(l, "ROLLBACK")
	if err != nil {
		l.giveBack(nil)
		return c.deliver(a)
	}
	l.giveBack(end)
	return c.deliver(a)
}

// openRecord begins a transaction and inserts the record. It returns the
// existing record, with the transaction ended, when the id is known already.
func (c *callerSession) openRecord(l *lease, id, fingerprint, state string) (*record, error) {
	insert := fmt.Sprintf(`INSERT INTO cumintrestle_request VALUES (%s, %s, %s, %s, '')`,
		literal(string(c.account)), literal(id), literal(fingerprint), literal(state))
	for range 2 {
		if _, err := c.simpleOK(l, "BEGIN"); err != nil {
			return nil, err
		}
		a, err := c.simple(l, insert)
		if err != nil {
			return nil, err
		}
		if a.sqlState == "" {
			return nil, nil
		}
		if _, err := c.simpleOK(l, "ROLLBACK"); err != nil {
			return nil, err
		}
		switch a.sqlState {
		case sqlUniqueViolation:
			return c.readRecord(l, id)
		case sqlUndefinedTable:
			if _, err := c.simpleOK(l, recordTable); err != nil {
				return nil, err
			}
		default:
			return nil, fmt.Errorf("endpoint error %s", a.sqlState)
		}
	}
	return nil, errors.New("the record table could not be made")
}

func (c *callerSession) readRecord(l *lease, id string) (*record, error) {
	a, err := c.simpleOK(l, fmt.Sprintf(
		`SELECT fingerprint, state, answer FROM cumintrestle_request WHERE account = %s AND id = %s`,
		literal(string(c.account)), literal(id)))
	if err != nil {
		return nil, err
	}
	row, err := firstRow(a.out)
	if err != nil {
		return nil, err
	}
	if len(row) != 3 {
		return nil, fmt.Errorf("record with %d columns", len(row))
	}
	raw, err := base64.StdEncoding.DecodeString(string(row[2]))
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	// The record was read on the primary: it must not be one that is lost.
	if c.settled(context.Background(), a) != core.Safe {
		return nil, errors.New("the record is not confirmed by a majority")
	}
	c.params.token.Observe(c.groupName, a.point)
	return &record{fingerprint: string(row[0]), state: string(row[1]), answer: raw}, nil
}

// replay answers a repeated request from its record.
func (c *callerSession) replay(r *record, fingerprint string) error {
	if r.state == stateNotRun {
		return result.New(result.RequestSettled, "request id %q was settled as not run", c.params.requestID)
	}
	if r.fingerprint != fingerprint {
		return result.New(result.RequestIDReused, "request id %q was used with another statement", c.params.requestID)
	}
	c.params.requestID = ""
	e := result.New(result.AlreadyDone, "the request was run before; this is its recorded answer")
	c.be.Send(&pgproto3.NoticeResponse{
		Severity: "NOTICE", SeverityUnlocalized: "NOTICE",
		Code: e.Code.Info().SQLState, Message: e.Error(),
	})
	return c.deliver(&answer{out: r.answer})
}

func (c *callerSession) saveAnswer(l *lease, id string, out []byte) error {
	if len(out) > maxRecordedAnswer {
		return fmt.Errorf("answer of %d bytes, at most %d with a request id", len(out), maxRecordedAnswer)
	}
	_, err := c.simpleOK(l, fmt.Sprintf(
		`UPDATE cumintrestle_request SET state = %s, answer = %s WHERE account = %s AND id = %s`,
		literal(stateDone), literal(base64.StdEncoding.EncodeToString(out)), literal(string(c.account)), literal(id)))
	return err
}

// outcome settles a request id: if no record stands, one is written that says
// not run, after which a late copy of the request can't run any more.
func (c *callerSession) outcome(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.srv.StatementWait)
	defer cancel()
	id := c.params.requestID
	l, err := c.lendPrimary(ctx)
	if err != nil {
		return "", err
	}
	found, err := c.openRecord(l, id, "", stateNotRun)
	if err != nil {
		l.giveBack(nil)
		return "", result.New(result.OutcomeUnknown, "the outcome could not be read: %w", err)
	}
	if found != nil {
		l.giveBack(&answer{status: 'I'})
		return found.state, nil
	}
	end, err := c.simple(l, "COMMIT")
	if err != nil || end.sqlState != "" {
		l.giveBack(nil)
		return "", result.New(result.OutcomeUnknown, "the outcome could not be settled")
	}
	l.giveBack(end)
	if c.settled(ctx, end) != core.Safe {
		return "", result.New(result.AckMissing, "the settlement was not confirmed by a majority in time")
	}
	c.params.token.Observe(c.groupName, end.point)
	return stateNotRun, nil
}

// recordInTransaction records the request id in the caller's own transaction.
func (c *callerSession) recordInTransaction() error {
	id := c.params.requestID
	l := c.tx.lease
	insert := fmt.Sprintf(`INSERT INTO cumintrestle_request VALUES (%s, %s, '', %s, '')`,
		literal(string(c.account)), literal(id), literal(stateDone))
	a, err := c.simple(l, insert)
	if err != nil {
		return result.New(result.TransactionFailed, "the request id could not be recorded: %w", err)
	}
	switch a.sqlState {
	case "":
		c.tx.requestID = id
		return nil
	case sqlUniqueViolation:
		return result.New(result.RequestSettled, "request id %q is known already; ask for %s", id, paramOutcome)
	case sqlUndefinedTable:
		return c.makeTableAndBegin()
	}
	return result.New(result.TransactionFailed, "the request id could not be recorded (%s)", a.sqlState)
}

// makeTableAndBegin makes the record table and begins the transaction anew;
// nothing of the caller's ran in it yet.
func (c *callerSession) makeTableAndBegin() error {
	for _, sql := range []string{"ROLLBACK", recordTable, "BEGIN"} {
		if _, err := c.simpleOK(c.tx.lease, sql); err != nil {
			return result.New(result.TransactionFailed, "the record table could not be made: %w", err)
		}
	}
	return c.recordInTransaction()
}

// simple runs a statement of our own on a lent connection.
func (c *callerSession) simple(l *lease, sql string) (*answer, error) {
	return c.exchange(l.conn, &batch{simple: true, query: sql}, false)
}

func (c *callerSession) simpleOK(l *lease, sql string) (*answer, error) {
	a, err := c.simple(l, sql)
	if err != nil {
		return nil, err
	}
	if a.sqlState != "" {
		return nil, fmt.Errorf("endpoint error %s", a.sqlState)
	}
	return a, nil
}

func literal(s string) string {
	return "'" + strings.ReplaceAll(s, "'", "''") + "'"
}

// firstRow finds the first row in an encoded answer.
func firstRow(out []byte) ([][]byte, error) {
	const header = 5
	for len(out) >= header {
		size := int(out[1])<<24 | int(out[2])<<16 | int(out[3])<<8 | int(out[4])
		if size < 4 || len(out) < 1+size {
			break
		}
		if out[0] == 'D' {
			var row pgproto3.DataRow
			if err := row.Decode(out[header : 1+size]); err != nil {
				return nil, fmt.Errorf("record: %w", err)
			}
			return row.Values, nil
		}
		out = out[1+size:]
	}
	return nil, errors.New("no row")
}
