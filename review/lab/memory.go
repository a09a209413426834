package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cumintrestle/cumintrestle/platform/standin"
)

// messageBytes is the size of the large messages: below the limit of 1 MiB.
const messageBytes = 1_000_000

// startOne starts one host with one database of the given kind.
func startOne(rec *record, kind string) (*world, error) {
	g := standin.NewGroup("ledger", 3)
	g.Work = func() time.Duration { return 10 * time.Millisecond }
	w, err := newWorld(rec, g)
	if err != nil {
		return nil, err
	}
	w.route([]standin.Route{{Database: "cards", Kind: kind, Group: "ledger", Timeout: 2 * time.Second, MaxAge: 1500 * time.Millisecond}}, 41)
	if err := w.startHosts(1); err != nil {
		w.close()
		return nil, err
	}
	return w, nil
}

// residentMB returns the resident memory of a process in MiB, 0 if it has ended.
func residentMB(pid int) int {
	body, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(body), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			return kb / 1024
		}
	}
	return 0
}
