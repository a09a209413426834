package caller

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/benbjohnson/clock"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cumintrestle/cumintrestle/internal/endpoint"
	"github.com/cumintrestle/cumintrestle/pkg/session"
	"github.com/cumintrestle/cumintrestle/pkg/template"
)

func TestClassify(t *testing.T) {
	for _, c := range []struct {
		sql  string
		want statementClass
	}{
		{"SELECT 1", classRead},
		{"  -- note\n select 1", classRead},
		{"/* note */ WITH x AS (SELECT 1) SELECT * FROM x", classRead},
		{"(SELECT 1)", classRead},
		{"INSERT INTO a VALUES (1)", classWrite},
		{"begin", classBegin},
		{"START TRANSACTION READ ONLY", classBeginReadOnly},
		{"begin read only", classBeginReadOnly},
		{"COMMIT", classEnd},
		{"SET cumintrestle.request_id = 'a'", classParam},
		{"set cumintrestle.max_read_age to 300;", classParam},
		{"SHOW cumintrestle.session_token", classParam},
		{"RESET cumintrestle.request_id", classParam},
		{"SET search_path = a", classRefused},
		{"SET LOCAL search_path = a", classWrite},
		{"LISTEN a", classRefused},
		{"", classEmpty},
		{";", classEmpty},
	} {
		if got := classify(c.sql); got != c.want {
			t.Errorf("%q: got %d, want %d", c.sql, got, c.want)
		}
	}
}

// TestClassifyOddTexts guards against statements that are answered as empty without being
// run, and against session state that reaches a pooled connection behind a comment or another
// statement.
func TestClassifyOddTexts(t *testing.T) {
	for _, c := range []struct {
		sql  string
		want statementClass
	}{
		{"\fSELECT 1", classRead},
		{"\vINSERT INTO a VALUES (1)", classWrite},
		{"\ufeffINSERT INTO a VALUES (1)", classWrite},
		{"\xff", classWrite},
		{"\"a\"", classWrite},
		{"1", classWrite},
		{"((", classWrite},
		{" \t\r\n\f\v;;", classEmpty},
		{"-- note", classEmpty},
		{"/* a /* b */ c */", classEmpty},
		{"-- note\rSELECT 1", classRead},
		{"/* /* */ SELECT */ SET search_path = a", classRefused},
		{"SELECT 1; SET search_path = a", classRefused},
		{"SELECT ';' ; SET search_path = a", classRefused},
		{"SELECT E'\\'; SELECT 1' ; SET search_path = a", classRefused},
		{"SELECT $x$; $y$ ' $x$; DISCARD ALL", classRefused},
		{"SELECT 1; BEGIN", classBegin},
		{"SELECT 1; INSERT INTO a VALUES (1)", classWrite},
		{"SELECT 1; SET cumintrestle.request_id = 'a'", classRefused},
		{"INSERT INTO a VALUES (1); BEGIN", classWrite},
		{"SELECT '; SET search_path = a'", classRead},
		{"SELECT \"; SET search_path = a\"", classRead},
		{"SELECT $$; SET search_path = a$$", classRead},
		{"SELECT $1; -- ; SET search_path = a", classRead},
		{"SELECT a$1$; SET search_path = a", classRefused},
		{"SET cumintrestle.request_id = 'it''s; here'", classParam},
	} {
		if got := (&batch{simple: true, query: c.sql}).class(); got != c.want {
			t.Errorf("%q: got %d, want %d", c.sql, got, c.want)
		}
	}
}

// TestMayCommit guards against a promise that nothing was kept, given for a request that ran
// statements behind the end of its transaction.
func TestMayCommit(t *testing.T) {
	for _, c := range []struct {
		sql  string
		want bool
	}{
		{"INSERT INTO a VALUES (1)", false},
		{"ROLLBACK", false},
		{"commit", true},
		{"END", true},
		{"ROLLBACK; INSERT INTO a VALUES (1)", true},
		{"/* ; */ abort ; INSERT INTO a VALUES (1)", true},
	} {
		if got := (&batch{simple: true, query: c.sql}).mayCommit(); got != c.want {
			t.Errorf("%q: got %t, want %t", c.sql, got, c.want)
		}
	}
}

// TestFingerprint guards against a repeated request id that replays the answer for other
// parameters: NULL and an empty text had the same fingerprint.
func TestFingerprint(t *testing.T) {
	seen := make(map[string]int)
	for i, params := range [][][]byte{
		{nil}, {{}}, {[]byte("0:")}, {{}, {}}, {nil, {}}, {[]byte("a")}, {[]byte("a\xff")}, {[]byte("a\ufffd")}, {[]byte("a ")},
	} {
		f := (&batch{messages: []pgproto3.FrontendMessage{&pgproto3.Bind{Parameters: params}}}).fingerprint()
		if j, ok := seen[f]; ok {
			t.Errorf("sets of parameters %d and %d have the same fingerprint", j, i)
		}
		seen[f] = i
	}
}

func TestRetryBudget(t *testing.T) {
	b := &RetryBudget{PerSecond: 10, Burst: 3}
	now := time.Unix(0, 0)
	for i, want := range []bool{true, true, true, false} {
		if got := b.Take(now); got != want {
			t.Errorf("Take() number %d = %t", i, got)
		}
	}
	if !b.Take(now.Add(100 * time.Millisecond)) {
		t.Error("the budget was not refilled")
	}
}

func testServer() *Server {
	return &Server{
		Account:       func(template.Account) (template.Template, bool) { return template.Template{}, false },
		Group:         func(session.Group) *endpoint.Group { return nil },
		Admit:         func(template.Account) error { return nil },
		Release:       func(template.Account) {},
		ForwardCancel: func(uint32, uint32) {},
		OnOutcome:     func(Outcome) {},
		Clock:         clock.New(),
		Retries:       &RetryBudget{},
		sessions:      make(map[sessionKey]*callerSession),
	}
}

// FuzzStartup sends arbitrary bytes to a new connection. The session must end
// without a panic and without having been authenticated.
func FuzzStartup(f *testing.F) {
	start := pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "a", "database": "b"}}
	raw, err := start.Encode(nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{0, 0, 0, 8, 4, 210, 22, 47})
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		clientConn, serverConn := net.Pipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			testServer().serve(serverConn, nil)
		}()
		received := make(chan string, 1)
		go func() {
			var all strings.Builder
			buf := make([]byte, 4096)
			for {
				n, err := clientConn.Read(buf)
				all.Write(buf[:n])
				if err != nil {
					received <- all.String()
					return
				}
			}
		}()
		_ = clientConn.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = clientConn.Write(data)
		time.AfterFunc(5*time.Millisecond, func() { _ = clientConn.Close() })
		<-done
		if strings.Contains(<-received, "Z\x00\x00\x00\x05I") {
			t.Error("ReadyForQuery without authentication")
		}
	})
}
