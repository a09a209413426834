package caller

import (
	"strings"
)

// statementClass is a hint where a statement goes. It may be wrong without
// harm: a replica refuses writes itself, and the primary takes reads.
type statementClass int

const (
	classWrite statementClass = iota
	classRead
	classBegin
	classBeginReadOnly
	classEnd
	classParam
	classRefused
	classEmpty
)

// refusedVerbs need state of a session that a pooled connection does not keep.
var refusedVerbs = []string{"SET", "RESET", "LISTEN", "UNLISTEN", "PREPARE", "DEALLOCATE", "DISCARD", "LOAD"}

// classify looks at the first word of a statement; it does not parse.
func classify(sql string) statementClass {
	word := firstWord(sql)
	switch word {
	case "":
		return classEmpty
	case "SELECT", "VALUES", "TABLE", "WITH", "EXPLAIN":
		return classRead
	case "BEGIN", "START":
		if strings.Contains(strings.ToUpper(sql), "READ ONLY") {
			return classBeginReadOnly
		}
		return classBegin
	case "COMMIT", "END", "ROLLBACK", "ABORT":
		return classEnd
	case "SHOW":
		if showForm.MatchString(sql) {
			return classParam
		}
		return classRead
	}
	if setForm.MatchString(sql) || resetForm.MatchString(sql) {
		return classParam
	}
	for _, v := range refusedVerbs {
		if word == v && !isSetLocal(sql) {
			return classRefused
		}
	}
	return classWrite
}

func isSetLocal(sql string) bool {
	fields := strings.Fields(sql)
	return len(fields) > 1 && strings.EqualFold(fields[0], "SET") &&
		(strings.EqualFold(fields[1], "LOCAL") || strings.EqualFold(fields[1], "TRANSACTION"))
}

func firstWord(sql string) string {
	s := strings.TrimLeft(sql, " \t\r\n;(")
	for strings.HasPrefix(s, "--") || strings.HasPrefix(s, "/*") {
		if strings.HasPrefix(s, "--") {
			_, s, _ = strings.Cut(s, "\n")
		} else {
			_, s, _ = strings.Cut(s, "*/")
		}
		s = strings.TrimLeft(s, " \t\r\n;(")
	}
	end := strings.IndexFunc(s, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r == '_')
	})
	if end < 0 {
		end = len(s)
	}
	return strings.ToUpper(s[:end])
}

// mayCommit reports whether a statement might end a transaction. A false yes
// costs only a more cautious answer when the connection breaks.
func mayCommit(sql string) bool {
	u := strings.ToUpper(sql)
	return strings.Contains(u, "COMMIT") || strings.Contains(u, "END")
}
