package endpoint

import (
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"zombiezen.com/go/sqlite"
)

func (s *pgSession) parse(m *pgproto3.Parse) {
	if _, exists := s.prepared[m.Name]; exists && m.Name != "" {
		s.abort("42P05", "prepared statement "+m.Name+" exists")
		return
	}
	s.prepared[m.Name] = parsed{sql: m.Query, types: slices.Clone(m.ParameterOIDs)}
	s.be.Send(&pgproto3.ParseComplete{})
}

func (s *pgSession) bind(m *pgproto3.Bind) {
	prepared, ok := s.prepared[m.PreparedStatement]
	if !ok {
		s.abort("26000", "prepared statement "+m.PreparedStatement+" does not exist")
		return
	}
	for _, f := range append(m.ParameterFormatCodes, m.ResultFormatCodes...) {
		if f != 0 {
			s.abort("0A000", "binary format not supported")
			return
		}
	}
	p := portal{sql: prepared.sql}
	for _, raw := range m.Parameters {
		if raw == nil {
			p.args = append(p.args, nil)
			continue
		}
		v := string(raw)
		p.args = append(p.args, &v)
	}
	s.portals[m.DestinationPortal] = p
	s.be.Send(&pgproto3.BindComplete{})
}

func (s *pgSession) describe(m *pgproto3.Describe) {
	prepared := s.prepared[m.Name]
	sql := prepared.sql
	if m.ObjectType == 'P' {
		sql = s.portals[m.Name].sql
	}
	columns, params, err := s.statementShape(sql)
	if err != nil {
		s.abortWithError(err)
		return
	}
	if m.ObjectType == 'S' {
		types := make([]uint32, max(params, len(prepared.types)))
		copy(types, prepared.types)
		s.be.Send(&pgproto3.ParameterDescription{ParameterOIDs: types})
	}
	if len(columns) == 0 {
		s.be.Send(&pgproto3.NoData{})
		return
	}
	s.describeRows(columns)
}

// statementShape returns the column names and the number of parameters of a
// statement.
func (s *pgSession) statementShape(sql string) ([]string, int, error) {
	if sql == "" || isSessionCommand(verbOf(sql)) {
		return nil, 0, nil
	}
	e, _, _ := s.node.snapshot()
	c := s.writerConn()
	if s.txEngine == nil {
		c = <-e.readers
		defer func() { e.readers <- c }()
	}
	stmt, err := c.Prepare(sql)
	if err != nil {
		return nil, 0, err
	}
	var columns []string
	for i := range stmt.ColumnCount() {
		columns = append(columns, stmt.ColumnName(i))
	}
	return columns, stmt.BindParamCount(), nil
}

// writerConn returns the connection of the open write transaction, or nil.
func (s *pgSession) writerConn() *sqlite.Conn {
	if s.txEngine == nil {
		return nil
	}
	return s.txEngine.writer
}

func (s *pgSession) execute(m *pgproto3.Execute) {
	p := s.portals[m.Portal]
	if strings.TrimSpace(p.sql) == "" {
		s.be.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	rs, verb, err := s.runStatement(p.sql, p.args)
	if err != nil {
		s.abortWithError(err)
		return
	}
	s.sendResult(rs, verb)
}

// describeRows sends a RowDescription. All columns are in text format, without a
// type.
func (s *pgSession) describeRows(columns []string) {
	if len(columns) == 0 {
		return
	}
	d := &pgproto3.RowDescription{}
	for _, c := range columns {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{Name: []byte(c), DataTypeSize: -1, TypeModifier: -1})
	}
	s.be.Send(d)
}

// sendResult sends the rows and CommandComplete.
func (s *pgSession) sendResult(rs rowSet, verb string) {
	for _, row := range rs.rows {
		d := &pgproto3.DataRow{Values: make([][]byte, len(row))}
		for i, v := range row {
			if v != nil {
				d.Values[i] = []byte(*v)
			}
		}
		s.be.Send(d)
	}
	commandTag := verb
	switch verb {
	case "SELECT", "VALUES", "WITH":
		commandTag = rowCountTag("SELECT", len(rs.rows))
	case "INSERT", "UPDATE", "DELETE":
		commandTag = rowCountTag(verb, rs.changes)
	}
	s.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(commandTag)})
}
