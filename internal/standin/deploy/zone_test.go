package deploy

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cumintrestle/cumintrestle/internal/settings"
)

// A zone that is partitioned from the platform and from the other zones must
// still serve reads from its own endpoint, as long as their staleness bound
// allows. It must refuse writes and older reads with the right codes, and serve
// everything again after the partition ends.
func TestCutZoneServesReads(t *testing.T) {
	d := start(t, Bathafarn(), Options{Groups: 1, Hosts: 3, ConfigureSettings: func(s *settings.Settings) { s.StatementWaitMS = 300 }})
	zone := d.Spec.Zones[2]
	buyers := d.Spec.Accounts[1] // accepts reads up to 5 s old
	conn, err := pgx.Connect(testContext(t), d.URL(d.Hosts()[2], buyers, d.Spec.Groups[0]))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close(context.Background())
	// Statements wait for 300 ms at most, and the first connection may take longer to open.
	waitFor(t, "the first statement", func() bool {
		_, err := conn.Exec(testContext(t), "CREATE TABLE job (id INTEGER)")
		if err != nil {
			wantCode(t, err, "CT2010")
		}
		return err == nil
	})
	exec(t, conn, "INSERT INTO job VALUES (1)")
	count := func() (n int, err error) {
		err = conn.QueryRow(testContext(t), "SELECT count(*) FROM job").Scan(&n)
		return n, err
	}
	waitFor(t, "a read that includes the session's own write", func() bool { n, err := count(); return err == nil && n == 1 })
	d.CutZone(zone, true)
	cut := time.Now()
	for time.Since(cut) < 3*time.Second {
		if n, err := count(); err != nil || n != 1 {
			t.Fatalf("%s after the cut: %d rows, %v", time.Since(cut), n, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	_, err = conn.Exec(testContext(t), "INSERT INTO job VALUES (2)")
	wantCode(t, err, "CT2012")
	waitFor(t, "stale reads to be refused", func() bool {
		_, err := count()
		var pe *pgconn.PgError
		return errors.As(err, &pe) && strings.HasPrefix(pe.Message, "CT2011")
	})
	if old := time.Since(cut); old < 4*time.Second || old > 7*time.Second {
		t.Errorf("reads of at most 5 s were refused after %s", old)
	}
	d.CutZone(zone, false)
	waitFor(t, "a write after the cut", func() bool {
		_, err := conn.Exec(testContext(t), "INSERT INTO job VALUES (3)")
		return err == nil
	})
	if n, err := count(); err != nil || n != 2 {
		t.Errorf("%d rows after the cut, %v; want 2", n, err)
	}
}
