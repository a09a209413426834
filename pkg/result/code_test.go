package result

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
)

// The table in docs/result-codes.md must match Table.
func TestDocumentedTable(t *testing.T) {
	raw, err := os.ReadFile("../../docs/result-codes.md")
	if err != nil {
		t.Fatal(err)
	}
	doc := string(raw)
	for _, i := range Table {
		row := fmt.Sprintf("| CT%d | `%s` | %s | %s | %s |", i.Code, i.Name, i.Code.Family(), i.SQLState, i.Meaning)
		if !strings.Contains(doc, row) {
			t.Errorf("docs/result-codes.md lacks the row\n%s", row)
		}
	}
	rows := regexp.MustCompile(`(?m)^\| CT\d+ `).FindAllString(doc, -1)
	if len(rows) != len(Table) {
		t.Errorf("docs/result-codes.md has %d rows, the code has %d", len(rows), len(Table))
	}
}
