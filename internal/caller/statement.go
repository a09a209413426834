package caller

import (
	"strings"
)

// statementClass decides where a statement is sent. Mistaking a write for a
// read or a read for a write is harmless: replicas refuse writes, and the
// primary also serves reads.
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

// sessionStateVerbs need session state, which pooled connections do not keep
// between transactions.
var sessionStateVerbs = []string{"SET", "RESET", "LISTEN", "UNLISTEN", "PREPARE", "DEALLOCATE", "DISCARD", "LOAD"}

// classify uses the first word of a statement and a few patterns; it does not
// parse SQL.
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
		if showPattern.MatchString(sql) {
			return classParam
		}
		return classRead
	}
	if setPattern.MatchString(sql) || resetPattern.MatchString(sql) {
		return classParam
	}
	for _, v := range sessionStateVerbs {
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

// mayCommit reports whether a statement may end a transaction. A false
// positive does little harm: the response is not streamed, a request id is
// cleared early, and a lost connection is reported as an unknown outcome.
func mayCommit(sql string) bool {
	u := strings.ToUpper(sql)
	return strings.Contains(u, "COMMIT") || strings.Contains(u, "END")
}
