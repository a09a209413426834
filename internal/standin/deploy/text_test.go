package deploy

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

var oddTexts = []string{
	"a\rb", "a\nb", "a\r\nb", "\r", "\n", " a ", "a  ", "\ta\v\f", "a\x01\x7f", "it's", `"a"`, `\`, `\'`, `a\`, "--", "a -- b", "/*", "a /* b", "*/",
	";", "a; SET search_path = b", "$$", "$1", "%s", "\xff", "a\xc3", "\xed\xa0\x80", "\ufeffa", "a\u2028b", "NULL", "", strings.Repeat("long\r", 60_000),
}

// TestOddTexts guards against texts that are changed on their way from a caller to an
// endpoint and back, on the primary and on a replica.
func TestOddTexts(t *testing.T) {
	d := start(t, Bathafarn(), Options{Groups: 1, Hosts: 2, NoDelay: true})
	a, b := connect(t, d, 0), connect(t, d, 1)
	exec(t, a, "CREATE TABLE job (id INTEGER, die TEXT)")
	for i, text := range oddTexts {
		literal := "'" + strings.ReplaceAll(text, "'", "''") + "'"
		exec(t, a, "INSERT INTO job VALUES ($1, $2)", 2*i, text)
		exec(t, a, fmt.Sprintf("INSERT /* \r\n\xff */ INTO job VALUES (%d, %s)", 2*i+1, literal), pgx.QueryExecModeSimpleProtocol)
		exec(t, b, "SET cumintrestle.session_token = '"+a.PgConn().ParameterStatus("cumintrestle.session_token")+"'")
		for _, conn := range []*pgx.Conn{a, b} {
			for _, id := range []int{2 * i, 2*i + 1} {
				wantText(t, conn, text, "SELECT die FROM job WHERE id = $1", id)
			}
			// Query of pgx cuts a simple query at bytes that are not UTF-8.
			results, err := conn.PgConn().Exec(testContext(t), "SELECT "+literal).ReadAll()
			if err != nil || len(results) != 1 || string(results[0].Rows[0][0]) != text {
				t.Errorf("SELECT of %.60q: %v", text, err)
			}
			wantText(t, conn, text, "SELECT die FROM job WHERE id = $1 AND die = $2", 2*i, text)
		}
		tx, err := a.Begin(testContext(t))
		if err != nil {
			t.Fatal(err)
		}
		wantText(t, tx.Conn(), text, "SELECT $1", text)
		if err := tx.Commit(testContext(t)); err != nil {
			t.Fatal(err)
		}
	}
}

// wantText checks the text that a statement returns.
func wantText(t *testing.T, conn *pgx.Conn, want, sql string, args ...any) {
	t.Helper()
	var got string
	if err := conn.QueryRow(testContext(t), sql, args...).Scan(&got); err != nil || got != want {
		t.Errorf("%.60q: got %.60q, %v, want %.60q", sql, got, err, want)
	}
}

// TestOddNames guards against names, values of parameters and texts of errors that are
// changed on their way.
func TestOddNames(t *testing.T) {
	d := start(t, Bathafarn(), Options{Groups: 1, Hosts: 1, NoDelay: true})
	conn := connect(t, d, 0)
	for _, text := range oddTexts {
		if len(text) > 100 || text == "" {
			continue
		}
		if _, err := conn.Prepare(testContext(t), text, "SELECT $1"); err != nil {
			t.Errorf("prepare %q: %v", text, err)
			continue
		}
		wantText(t, conn, text, text, text)
		exec(t, conn, "SET cumintrestle.request_id = '"+strings.ReplaceAll(text, "'", "''")+"'")
		wantText(t, conn, text, "SHOW cumintrestle.request_id", pgx.QueryExecModeSimpleProtocol)
		exec(t, conn, "RESET cumintrestle.request_id")
		_, err := conn.Exec(testContext(t), `SELECT "`+strings.ReplaceAll(text, `"`, `""`)+`" FROM missing`, pgx.QueryExecModeSimpleProtocol)
		var pe *pgconn.PgError
		if !errors.As(err, &pe) || pe.Code != "42P01" {
			t.Errorf("%q: %v, want the endpoint's error", text, err)
		}
	}
}
