package caller

import "strings"

// blank is PostgreSQL's white space.
const blank = " \t\r\n\f\v"

// splitStatements splits SQL at semicolons as PostgreSQL does, without empty statements. The
// statements are parts of sql, less blanks and comments at their start.
func splitStatements(sql string) []string {
	var out []string
	start := 0
	for i := 0; i <= len(sql); {
		if i < len(sql) && sql[i] != ';' {
			i += tokenLen(sql[i:])
			continue
		}
		if s := skipBlank(sql[start:i]); s != "" {
			out = append(out, s)
		}
		i++
		start = i
	}
	return out
}

// skipBlank returns sql from its first token that is no comment and no semicolon.
func skipBlank(sql string) string {
	for {
		sql = strings.TrimLeft(sql, blank+";")
		if !strings.HasPrefix(sql, "--") && !strings.HasPrefix(sql, "/*") {
			return sql
		}
		sql = sql[tokenLen(sql):]
	}
}

// tokenLen returns the length of the comment, the quoted text, the word or the single byte
// that sql, which is not empty, begins with. An unterminated one extends to the end.
func tokenLen(sql string) int {
	switch {
	case strings.HasPrefix(sql, "--"):
		return indexOr(strings.IndexAny(sql, "\r\n"), len(sql))
	case strings.HasPrefix(sql, "/*"):
		return commentLen(sql)
	case sql[0] == '\'' || sql[0] == '"':
		return quotedLen(sql, false)
	case sql[0] == '$':
		return dollarLen(sql)
	}
	n := wordLen(sql)
	if n == 1 && (sql[0] == 'E' || sql[0] == 'e') && strings.HasPrefix(sql[1:], "'") {
		return 1 + quotedLen(sql[1:], true)
	}
	return max(n, 1)
}

// commentLen returns the length of a block comment, which may have others in it.
func commentLen(sql string) int {
	depth := 0
	for i := 0; i+1 < len(sql); i++ {
		switch sql[i : i+2] {
		case "/*":
			depth++
			i++
		case "*/":
			depth--
			i++
		}
		if depth == 0 {
			return i + 1
		}
	}
	return len(sql)
}

// quotedLen returns the length of a text in the quotes that it begins with. A doubled quote
// ends one text and begins the next, which has the same effect.
func quotedLen(sql string, backslash bool) int {
	for i := 1; i < len(sql); i++ {
		switch {
		case sql[i] == sql[0]:
			return i + 1 + doubledLen(sql[i:], backslash)
		case backslash && sql[i] == '\\':
			i++
		}
	}
	return len(sql)
}

// doubledLen returns the length of what follows a closing quote that is doubled, else 0.
func doubledLen(sql string, backslash bool) int {
	if len(sql) < 2 || sql[1] != sql[0] {
		return 0
	}
	return quotedLen(sql[1:], backslash)
}

// dollarLen returns the length of a text in dollar quotes, or 1 if there is none.
func dollarLen(sql string) int {
	end := strings.IndexByte(sql[1:], '$') + 2
	if end < 2 {
		return 1
	}
	tag := sql[:end]
	if name := tag[1 : end-1]; name != "" && (isDigit(name[0]) || wordLen(name) != len(name)) {
		return 1
	}
	i := strings.Index(sql[end:], tag)
	if i < 0 {
		return len(sql)
	}
	return end + i + end
}

// wordLen returns the length of the word, or the number, that sql begins with.
func wordLen(sql string) int {
	for i := range len(sql) {
		b := sql[i]
		isLetter := b|0x20 >= 'a' && b|0x20 <= 'z' || b == '_' || b >= 0x80
		if !isLetter && !isDigit(b) && (b != '$' || i == 0) {
			return i
		}
	}
	return len(sql)
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// indexOr returns i, or n if i is negative.
func indexOr(i, n int) int {
	if i < 0 {
		return n
	}
	return i
}
