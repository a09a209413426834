// Command cumintrestle-soak runs entry hosts as processes under faults derived
// from a seed and checks the consistency guarantees that callers rely on.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/cumintrestle/cumintrestle/internal/soak"
)

func main() {
	binary, plot := "target/cumintrestle-entry", ""
	var first, runs uint64 = 0, 1
	length, hosts, callers, logs, plan := 12*time.Second, 5, 24, "", ""
	plain, single, long, work := false, false, false, false
	flaggy.SetName("cumintrestle-soak")
	flaggy.SetDescription("Runs entry hosts under faults and checks what callers and endpoints see.")
	flaggy.String(&binary, "b", "binary", "program of the entry host")
	flaggy.UInt64(&first, "s", "seed", "first seed; 0 takes a fresh one")
	flaggy.UInt64(&runs, "n", "runs", "number of seeds")
	flaggy.Duration(&length, "t", "time", "length of each run's load")
	flaggy.Int(&hosts, "H", "hosts", "entry hosts")
	flaggy.Int(&callers, "c", "callers", "callers at a time")
	flaggy.String(&logs, "l", "logs", "folder that keeps the hosts' logs")
	flaggy.String(&plot, "p", "plot", "PNG file: service over time and the faults of the last run")
	flaggy.String(&plan, "P", "plan", "faults: mixed by default, switches, primaries, losses, accounts, restarts, or calm")
	flaggy.Bool(&plain, "T", "plain", "send printable, short texts only")
	flaggy.Bool(&single, "A", "single", "endpoints send each answer once")
	flaggy.Bool(&long, "L", "long", "with -T, send many long texts")
	flaggy.Bool(&work, "W", "work", "statements take time at endpoints with any plan")
	flaggy.Parse()

	if first == 0 {
		first = uint64(time.Now().UnixNano())
	}
	violations := 0
	var gaps []soak.Gap
	for seed := first; seed < first+runs; seed++ {
		report, err := soak.Run(context.Background(), soak.Options{
			Binary: binary, Seed: seed, Length: length, Hosts: hosts, Callers: callers, LogDir: logs, Plan: plan,
			PlainTexts: plain, SingleAnswers: single, LongTexts: long, Work: work,
			Note: func(line string) { fmt.Fprintln(os.Stderr, line) },
		})
		if err == nil && plot != "" {
			err = soak.Plot(report, plot)
		}
		if err == nil {
			err = json.NewEncoder(os.Stdout).Encode(report)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		violations += len(report.Violations)
		gaps = append(gaps, report.Gaps...)
	}
	fmt.Fprintln(os.Stderr, soak.Summary(gaps))
	if violations > 0 {
		os.Exit(2)
	}
}
