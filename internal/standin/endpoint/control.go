package endpoint

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// controlRequest is the JSON argument of a control function.
type controlRequest struct {
	Term    session.Term `json:"term"`
	Nonce   core.Nonce   `json:"nonce"`
	Address string       `json:"address"`
	Host    string       `json:"host"`
}

// controlResponse is the JSON result of a control function, sent as a single
// row with a single column.
type controlResponse struct {
	OK     bool              `json:"ok"`
	Status core.MemberStatus `json:"status"`
}

// controlQuery runs a query of a control session: SELECT of a control function
// or COPY of a stream.
func (s *pgSession) controlQuery(sql string) {
	if strings.HasPrefix(sql, "COPY cumintrestle_") {
		s.controlCopy(sql)
		return
	}
	name, rest, _ := strings.Cut(strings.TrimPrefix(sql, "SELECT "), "(")
	var req controlRequest
	if arg := unquote(rest); arg != "" {
		if err := json.Unmarshal([]byte(arg), &req); err != nil {
			s.abort("22023", err.Error())
			return
		}
	}
	a, err := s.node.callControl(name, req)
	if err != nil {
		s.abort("42883", err.Error())
		return
	}
	body, err := json.Marshal(a)
	if err != nil {
		s.abort("XX000", err.Error())
		return
	}
	column := name
	if _, alias, ok := strings.Cut(rest[strings.LastIndexByte(rest, '\'')+1:], " AS "); ok {
		column = alias
	}
	text := string(body)
	s.describeRows([]string{column})
	s.sendResult(rowSet{rows: [][]*string{{&text}}}, "SELECT")
}

// callControl runs the control function with the given name.
func (n *Node) callControl(name string, r controlRequest) (controlResponse, error) {
	var a controlResponse
	switch name {
	case "cumintrestle_status":
		a = controlResponse{OK: true, Status: n.Status()}
	case "cumintrestle_fence":
		a.Status, a.OK = n.fence(r.Term, r.Nonce)
	case "cumintrestle_promote":
		a.Status, a.OK = n.promote(r.Term, r.Nonce)
	case "cumintrestle_follow":
		a.Status, a.OK = n.follow(r.Term, r.Address)
	case "cumintrestle_evict":
		n.evict(r.Host)
		a = controlResponse{OK: true, Status: n.Status()}
	default:
		return a, fmt.Errorf("function %s does not exist", name)
	}
	return a, nil
}

// controlCopy runs a COPY that streams log entries or the node's status.
func (s *pgSession) controlCopy(sql string) {
	s.out.sendOnce()
	s.be.Send(&pgproto3.CopyOutResponse{})
	send := func(line []byte) error {
		s.be.Send(&pgproto3.CopyData{Data: line})
		return s.be.Flush()
	}
	var err error
	switch {
	case strings.HasPrefix(sql, "COPY cumintrestle_watch "):
		err = s.node.watch(send, s.done)
	case strings.HasPrefix(sql, "COPY cumintrestle_stream "):
		var req streamRequest
		err = json.Unmarshal([]byte(unquote(sql)), &req)
		if err == nil {
			err = s.node.stream(req, send, s.done)
		}
	default:
		err = errors.New("relation does not exist")
	}
	if err != nil {
		s.abort("55000", err.Error())
		return
	}
	s.be.Send(&pgproto3.CopyDone{})
	s.be.Send(&pgproto3.CommandComplete{CommandTag: []byte("COPY 0")})
}

// watch sends the node's status after each change, and after each heartbeat
// interval without a change, until the session or the node ends.
func (n *Node) watch(send func([]byte) error, done <-chan struct{}) error {
	for {
		n.mu.Lock()
		changed := n.changed
		st := n.statusLocked()
		n.mu.Unlock()
		body, err := json.Marshal(st)
		if err != nil {
			return fmt.Errorf("status: %w", err)
		}
		if err := send(append(body, '\n')); err != nil {
			return err
		}
		select {
		case <-done:
			return nil
		case <-n.t.Dying():
			return nil
		case <-changed:
		case <-n.Clock.After(watchHeartbeatInterval):
		}
	}
}

// unquote returns the text between the first and the last single quote, with
// doubled quotes undone. It returns "" if there is no quoted text.
func unquote(s string) string {
	i, j := strings.IndexByte(s, '\''), strings.LastIndexByte(s, '\'')
	if i < 0 || j <= i {
		return ""
	}
	return strings.ReplaceAll(s[i+1:j], "''", "'")
}
