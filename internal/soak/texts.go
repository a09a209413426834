package soak

import (
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// oddParts are the parts of odd texts: bytes that software on the way may trim, split at, replace
// or refuse, and text that looks like messages. No two of them together make a CR LF.
var oddParts = []string{
	"\r", "\r\r", "a\rb", "\n\n", "\n\r", "\nREADY I -", "\x00", "\t", "\x7f", "\u2028", " ", "  ", "\xff\xfe", "\xc3",
	"é", "DONE -", "QUERY - ROLLBACK", "%s", `"`, `\`, "|", "x",
}

const (
	// longTexts: one value in this many is long, up to maxLongText bytes.
	longTexts, maxLongText = 150, 200 << 10
	// longPlainTexts and maxLongPlainText are the same if long texts are asked for.
	longPlainTexts, maxLongPlainText = 12, 900 << 10
	// secondAnswers: one answer of an endpoint in this many is sent a second time.
	secondAnswers = 100
	// maxAnswerDelay is how much later a second answer comes at most.
	maxAnswerDelay = 40 * time.Millisecond
)

// texts makes the texts that callers send. If plain is set, they are printable and, unless long is
// set, too, short.
type texts struct{ plain, long bool }

// last returns a text for the end of a message. Half of all texts are empty.
func (t texts) last(r *rand.Rand) string {
	if t.plain || r.IntN(2) == 0 {
		return ""
	}
	var b strings.Builder
	for range 1 + r.IntN(4) {
		part := oddParts[r.IntN(len(oddParts))]
		if strings.HasSuffix(b.String(), "\r") && strings.HasPrefix(part, "\n") {
			part = "-" + part
		}
		b.WriteString(part)
	}
	return b.String()
}

// only returns a text, or none if texts are plain.
func (t texts) only(text string) string {
	if t.plain {
		return ""
	}
	return text
}

// name returns a text for a field that is followed by others.
func (t texts) name(r *rand.Rand) string { return strings.ReplaceAll(t.last(r), " ", "_") }

// itemValue returns value number n of an item. It follows from both.
func (t texts) itemValue(item string, n int) string {
	value := item + ":" + strconv.Itoa(n)
	if t.plain && !t.long {
		return value
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(value))
	r := rand.New(rand.NewPCG(h.Sum64(), 0))
	if t.plain {
		if r.IntN(longPlainTexts) == 0 {
			value += ":" + strings.Repeat("l", r.IntN(maxLongPlainText))
		}
		return value
	}
	long := ""
	if r.IntN(longTexts) == 0 {
		long = strings.Repeat("l", r.IntN(maxLongText))
	}
	return value + ":" + long + t.last(r)
}

// answerAgain reports at random that an answer is sent a second time, at once or later.
func answerAgain() (time.Duration, bool) {
	if rand.IntN(secondAnswers) > 0 {
		return 0, false
	}
	return time.Duration(rand.IntN(2)) * rand.N(maxAnswerDelay), true
}
