package endpoint

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"zombiezen.com/go/sqlite"
)

func (s *pgSession) parse(m *pgproto3.Parse) {
	if _, exists := s.prepared[m.Name]; exists && m.Name != "" {
		s.error("42P05", "prepared statement "+m.Name+" exists")
		return
	}
	s.prepared[m.Name] = m.Query
	s.be.Send(&pgproto3.ParseComplete{})
}

func (s *pgSession) bind(m *pgproto3.Bind) {
	sql, ok := s.prepared[m.PreparedStatement]
	if !ok {
		s.error("26000", "prepared statement "+m.PreparedStatement+" does not exist")
		return
	}
	for _, f := range append(m.ParameterFormatCodes, m.ResultFormatCodes...) {
		if f != 0 {
			s.error("0A000", "binary format not supported")
			return
		}
	}
	p := portal{sql: sql}
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
	sql := s.prepared[m.Name]
	if m.ObjectType == 'P' {
		sql = s.portals[m.Name].sql
	}
	columns, params, err := s.shape(sql)
	if err != nil {
		s.errorFrom(err)
		return
	}
	if m.ObjectType == 'S' {
		s.be.Send(&pgproto3.ParameterDescription{ParameterOIDs: make([]uint32, params)})
	}
	if len(columns) == 0 {
		s.be.Send(&pgproto3.NoData{})
		return
	}
	s.describeRows(columns)
}

// shape returns the columns and the number of parameters of a statement.
func (s *pgSession) shape(sql string) ([]string, int, error) {
	if sql == "" || isControlVerb(verbOf(sql)) {
		return nil, 0, nil
	}
	e, _, _ := s.node.snapshot()
	c := s.engineConn()
	if s.engine == nil {
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

func (s *pgSession) engineConn() *sqlite.Conn {
	if s.engine == nil {
		return nil
	}
	return s.engine.writer
}

func (s *pgSession) execute(m *pgproto3.Execute) {
	p := s.portals[m.Portal]
	if strings.TrimSpace(p.sql) == "" {
		s.be.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	rs, verb, err := s.one(p.sql, p.args)
	if err != nil {
		s.errorFrom(err)
		return
	}
	s.answer(rs, verb)
}

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

func (s *pgSession) answer(rs rowSet, verb string) {
	for _, row := range rs.rows {
		d := &pgproto3.DataRow{Values: make([][]byte, len(row))}
		for i, v := range row {
			if v != nil {
				d.Values[i] = []byte(*v)
			}
		}
		s.be.Send(d)
	}
	text := verb
	switch verb {
	case "SELECT", "VALUES", "WITH":
		text = tag("SELECT", len(rs.rows))
	case "INSERT", "UPDATE", "DELETE":
		text = tag(verb, rs.changes)
	}
	s.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(text)})
}
