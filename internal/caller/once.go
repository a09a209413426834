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

// The states of a request record.
const (
	stateRunning = "running"
	stateDone    = "done"
	stateNotRun  = "not_run"
)

const (
	recordTable = `CREATE TABLE IF NOT EXISTS cumintrestle_request (` +
		`account TEXT, id TEXT, fingerprint TEXT, state TEXT, answer TEXT, PRIMARY KEY (account, id))`
	// maxRecordedResponse bounds the bytes of a response stored in a record.
	maxRecordedResponse = 64 << 10
	sqlUndefinedTable   = "42P01"
	sqlUniqueViolation  = "23505"
)

// record is the stored state of a request id in the database group.
type record struct {
	fingerprint string
	state       string
	response    []byte
}

// runOnce runs a request that has a request id, at most once. The id is
// recorded in the transaction of the request's own writes, so that either
// both are committed or neither is, and a repeat finds the record on any
// entry host and after any failover.
func (c *callerSession) runOnce(ctx context.Context, b *batch) error {
	id := c.params.requestID
	pc, err := c.acquirePrimary(ctx)
	if err != nil {
		return err
	}
	found, err := c.beginWithRecord(pc, id, b.fingerprint(), stateRunning)
	if err != nil {
		pc.release(nil)
		return result.New(result.EndpointRefused, "the request record could not be opened: %w", err)
	}
	if found != nil {
		pc.release(&response{status: 'I'})
		return c.replay(found, b.fingerprint())
	}
	resp, err := c.exchange(pc.conn, b, false)
	if err != nil {
		pc.release(nil)
		return result.New(result.TransactionFailed, "the primary was lost before COMMIT was sent: %w", err)
	}
	if resp.status != 'T' {
		return c.finishUnrecorded(pc, resp)
	}
	if err := c.saveResponse(pc, id, resp.out); err != nil {
		pc.release(nil)
		return result.New(result.TransactionFailed, "the answer could not be recorded: %w", err)
	}
	end, err := c.exec(pc, "COMMIT")
	if err != nil {
		pc.release(nil)
		return result.New(result.OutcomeUnknown, "the primary was lost at COMMIT: %w", err)
	}
	pc.release(end)
	if end.sqlState != "" {
		return result.New(result.EndpointRefused, "the primary refused COMMIT (%s)", end.sqlState)
	}
	resp.member, resp.point, resp.hasPoint = end.member, end.point, end.hasPoint
	c.params.requestID = ""
	return c.acknowledge(ctx, resp)
}

// finishUnrecorded handles a request whose record cannot be completed: it
// failed, so it is rolled back and its response sent, or it ended the
// transaction itself.
func (c *callerSession) finishUnrecorded(pc *pooledConn, resp *response) error {
	if resp.status == 'I' {
		pc.release(resp)
		return result.New(result.OutcomeUnknown, "a request with an id must not end the transaction itself")
	}
	end, err := c.exec(pc, "ROLLBACK")
	if err != nil {
		pc.release(nil)
		return c.sendResponse(resp)
	}
	pc.release(end)
	return c.sendResponse(resp)
}

// beginWithRecord begins a transaction and inserts the record of a request
// id. If a record exists, it ends the transaction and returns that record.
func (c *callerSession) beginWithRecord(pc *pooledConn, id, fingerprint, state string) (*record, error) {
	insert := fmt.Sprintf(`INSERT INTO cumintrestle_request VALUES (%s, %s, %s, %s, '')`,
		quoteLiteral(string(c.account)), quoteLiteral(id), quoteLiteral(fingerprint), quoteLiteral(state))
	for range 2 {
		if _, err := c.execOK(pc, "BEGIN"); err != nil {
			return nil, err
		}
		resp, err := c.exec(pc, insert)
		if err != nil {
			return nil, err
		}
		if resp.sqlState == "" {
			return nil, nil
		}
		if _, err := c.execOK(pc, "ROLLBACK"); err != nil {
			return nil, err
		}
		switch resp.sqlState {
		case sqlUniqueViolation:
			return c.readRecord(pc, id)
		case sqlUndefinedTable:
			if _, err := c.execOK(pc, recordTable); err != nil {
				return nil, err
			}
		default:
			return nil, fmt.Errorf("endpoint error: SQLSTATE %s", resp.sqlState)
		}
	}
	return nil, errors.New("the request record table could not be created")
}

func (c *callerSession) readRecord(pc *pooledConn, id string) (*record, error) {
	resp, err := c.execOK(pc, fmt.Sprintf(
		`SELECT fingerprint, state, answer FROM cumintrestle_request WHERE account = %s AND id = %s`,
		quoteLiteral(string(c.account)), quoteLiteral(id)))
	if err != nil {
		return nil, err
	}
	row, err := firstRow(resp.out)
	if err != nil {
		return nil, err
	}
	if len(row) != 3 {
		return nil, fmt.Errorf("request record with %d columns", len(row))
	}
	raw, err := base64.StdEncoding.DecodeString(string(row[2]))
	if err != nil {
		return nil, fmt.Errorf("decode request record: %w", err)
	}
	// A record is valid only once a majority has it. Until then a failover
	// could lose it.
	if c.awaitDurability(context.Background(), resp) != core.Safe {
		return nil, errors.New("the request record is not confirmed by a majority")
	}
	c.params.token.Observe(c.groupName, resp.point)
	return &record{fingerprint: string(row[0]), state: string(row[1]), response: raw}, nil
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
	return c.sendResponse(&response{out: r.response})
}

func (c *callerSession) saveResponse(pc *pooledConn, id string, out []byte) error {
	if len(out) > maxRecordedResponse {
		return fmt.Errorf("response of %d bytes, at most %d with a request id", len(out), maxRecordedResponse)
	}
	_, err := c.execOK(pc, fmt.Sprintf(
		`UPDATE cumintrestle_request SET state = %s, answer = %s WHERE account = %s AND id = %s`,
		quoteLiteral(stateDone), quoteLiteral(base64.StdEncoding.EncodeToString(out)), quoteLiteral(string(c.account)), quoteLiteral(id)))
	return err
}

// resolveOutcome returns the final state of a request id. If the id has no
// record, it records the state not_run, so that a delayed copy of the request
// can no longer run.
func (c *callerSession) resolveOutcome(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.srv.StatementWait)
	defer cancel()
	id := c.params.requestID
	pc, err := c.acquirePrimary(ctx)
	if err != nil {
		return "", err
	}
	found, err := c.beginWithRecord(pc, id, "", stateNotRun)
	if err != nil {
		pc.release(nil)
		return "", result.New(result.OutcomeUnknown, "the outcome could not be read: %w", err)
	}
	if found != nil {
		pc.release(&response{status: 'I'})
		return found.state, nil
	}
	end, err := c.exec(pc, "COMMIT")
	if err != nil || end.sqlState != "" {
		pc.release(nil)
		return "", result.New(result.OutcomeUnknown, "the outcome could not be settled")
	}
	pc.release(end)
	if c.awaitDurability(ctx, end) != core.Safe {
		return "", result.New(result.AckMissing, "the settlement was not confirmed by a majority in time")
	}
	c.params.token.Observe(c.groupName, end.point)
	return stateNotRun, nil
}

// recordInTransaction records the request id in the caller's transaction.
func (c *callerSession) recordInTransaction() error {
	id := c.params.requestID
	pc := c.tx.pooled
	insert := fmt.Sprintf(`INSERT INTO cumintrestle_request VALUES (%s, %s, '', %s, '')`,
		quoteLiteral(string(c.account)), quoteLiteral(id), quoteLiteral(stateDone))
	resp, err := c.exec(pc, insert)
	if err != nil {
		return result.New(result.TransactionFailed, "the request id could not be recorded: %w", err)
	}
	switch resp.sqlState {
	case "":
		c.tx.requestID = id
		return nil
	case sqlUniqueViolation:
		return result.New(result.RequestSettled, "request id %q is known already; ask for %s", id, paramOutcome)
	case sqlUndefinedTable:
		return c.createTableAndBegin()
	}
	return result.New(result.TransactionFailed, "the request id could not be recorded (%s)", resp.sqlState)
}

// createTableAndBegin creates the record table and restarts the transaction,
// in which no statement of the caller has run yet.
func (c *callerSession) createTableAndBegin() error {
	for _, sql := range []string{"ROLLBACK", recordTable, "BEGIN"} {
		if _, err := c.execOK(c.tx.pooled, sql); err != nil {
			return result.New(result.TransactionFailed, "the record table could not be made: %w", err)
		}
	}
	return c.recordInTransaction()
}

// exec runs one of the proxy's own statements on a pooled connection.
func (c *callerSession) exec(pc *pooledConn, sql string) (*response, error) {
	return c.exchange(pc.conn, &batch{simple: true, query: sql}, false)
}

// execOK is exec with an error response returned as an error.
func (c *callerSession) execOK(pc *pooledConn, sql string) (*response, error) {
	resp, err := c.exec(pc, sql)
	if err != nil {
		return nil, err
	}
	if resp.sqlState != "" {
		return nil, fmt.Errorf("endpoint error: SQLSTATE %s", resp.sqlState)
	}
	return resp, nil
}

func quoteLiteral(s string) string {
	return "'" + strings.ReplaceAll(s, "'", "''") + "'"
}

// firstRow returns the first row of an encoded response.
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
				return nil, fmt.Errorf("decode request record: %w", err)
			}
			return row.Values, nil
		}
		out = out[1+size:]
	}
	return nil, errors.New("request record without a row")
}
