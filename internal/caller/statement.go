package caller

import (
	"slices"
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

// classify uses the first word of a single statement and a few patterns; it does not
// parse SQL.
func classify(sql string) statementClass {
	if skipBlank(sql) == "" {
		return classEmpty
	}
	word := firstWord(sql)
	switch word {
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

// isSetLocal reports whether a SET ends with its transaction.
func isSetLocal(sql string) bool {
	fields := strings.Fields(sql)
	if len(fields) < 2 || !strings.EqualFold(fields[0], "SET") {
		return false
	}
	return slices.Contains([]string{"LOCAL", "TRANSACTION", "CONSTRAINTS"}, strings.ToUpper(fields[1]))
}

// firstWord returns the first word in upper case, empty if the statement begins with
// something else.
func firstWord(sql string) string {
	s := skipBlank(sql)
	for strings.HasPrefix(s, "(") {
		s = skipBlank(s[1:])
	}
	return strings.ToUpper(s[:wordLen(s)])
}
