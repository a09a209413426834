package engine

import (
	"maps"
	"strings"
)

const (
	// maxSessionState bounds the names, values and prepared statements of one session, in bytes.
	// They are sent to a lending host in one message.
	maxSessionState = 1 << 20
	// StateOverhead is an upper estimate of what a session value or a prepared statement takes
	// beside its bytes, in bytes: its places in the session, in the budget and at a connection.
	StateOverhead = 256
	// maxKeptState bounds what the state of one session may take at a connection that is kept for
	// others, in bytes. No budget is charged for it.
	maxKeptState = 64 << 10
)

// grow adds the size of a named part of the session's state, less that of the one it replaces.
// It returns false if the state would be too large.
func (s *CallerSession) grow(name string, size, replaced int, known bool) bool {
	total := s.stateSize + size - replaced
	if !known {
		total += len(name)
	}
	if total > maxSessionState {
		return false
	}
	s.stateSize = total
	return true
}

func (s *CallerSession) set(st Statement) Outcome {
	if old, ok := s.values[st.Name]; !s.grow(st.Name, len(st.Value), len(old), ok) {
		s.failIfOpen()
		return Outcome{Code: TooBig, Reason: "the session has too many values"}
	}
	if tx := s.tx; tx != nil && tx.conn != nil && !s.setInTransaction(st) {
		s.failTransaction()
		return Outcome{Code: Aborted, Reason: "the endpoint was lost inside the transaction"}
	}
	if s.values == nil {
		s.values = make(map[string]string)
	}
	// The statement's texts are parts of one message. To keep a part would keep the whole of it.
	s.values[strings.Clone(st.Name)] = strings.Clone(st.Value)
	return Outcome{}
}

// setInTransaction sets a session value on the connection of the open
// transaction and reports whether that succeeded.
func (s *CallerSession) setInTransaction(st Statement) bool {
	values := make(map[string]string, len(s.values)+1)
	maps.Copy(values, s.values)
	values[st.Name] = st.Value
	deadline := s.deadline(s.tx.db)
	_, err := s.tx.conn.Run(Call{QueueDeadline: deadline, Deadline: deadline, Class: classInTransaction, SessionState: SessionState{Values: values}})
	if err != nil {
		s.tx.conn.broken = true
	}
	return err == nil
}

func (s *CallerSession) prepare(st Statement) Outcome {
	if old, ok := s.prepared[st.Name]; !s.grow(st.Name, len(st.Body.Text), len(old.Text), ok) {
		s.failIfOpen()
		return Outcome{Code: TooBig, Reason: "the session has too many prepared statements"}
	}
	if s.prepared == nil {
		s.prepared = make(map[string]PreparedBody)
	}
	st.Body.Text = strings.Clone(st.Body.Text)
	s.prepared[strings.Clone(st.Name)] = st.Body
	return Outcome{}
}

func (s *CallerSession) deallocate(st Statement) Outcome {
	old, ok := s.prepared[st.Name]
	if !ok {
		s.failIfOpen()
		return Outcome{Code: NoStatement, Reason: oneLine(st.Name)}
	}
	s.stateSize -= len(st.Name) + len(old.Text)
	delete(s.prepared, st.Name)
	return Outcome{}
}
