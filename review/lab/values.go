package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/cumintrestle/cumintrestle/platform/standin"
)

// playValues lets one client set 500 short values in one session. The request IDs are long.
func playValues(rec *record) (bool, error) {
	w, err := startOne(rec, "primary")
	if err != nil {
		return false, err
	}
	defer w.close()
	h := w.hosts[0]
	c, err := standin.Connect(h.callers, "cards", 5*time.Second)
	if err != nil {
		return false, fmt.Errorf("the first session: %w", err)
	}
	defer c.Close()
	id := "i"
	if trouble() {
		id = strings.Repeat("i", messageBytes)
	}
	peak := 0
	for i := range 500 {
		a, err := c.Query(fmt.Sprintf("%s%d", id, i), fmt.Sprintf("SET v%d x", i))
		mb := residentMB(h.cmd.Process.Pid)
		peak = max(peak, mb)
		rec.write("SET v%d x with an id of %d bytes: digest %q, code %q, error %v; the host has %d MiB", i, len(id)+len(fmt.Sprint(i)), a.Digest, a.Code, err, mb)
		if err != nil || !a.Done() {
			// To refuse such a client is allowed.
			break
		}
	}
	rec.write("the host had up to %d MiB, its limit is %d MiB", peak, memoryMB)
	return peak > memoryMB, nil
}
