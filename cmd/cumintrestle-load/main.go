// Command cumintrestle-load measures deployments of entry hosts and stand-ins and
// prints the results as JSON lines.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/cumintrestle/cumintrestle/internal/experiment"
	"github.com/cumintrestle/cumintrestle/internal/settings"
	"github.com/cumintrestle/cumintrestle/internal/standin/deploy"
)

type options struct {
	runs     int
	seed     uint64
	seconds  int
	faults   string
	clients  int
	idle     int
	lags     string
	policies string
}

type measurement struct {
	name, help string
	run        func(options) error
}

func measurements() []measurement {
	return []measurement{
		{"gap", "failover gap on Bathafarn's delays, by fault", measureGap},
		{"reads", "share of reads served by replicas, Gazon Sahel's mix, lag swept", measureReads},
		{"cost", "statements through an entry host against direct ones, on loopback", measureCost},
		{"force", "time until a change is in force everywhere", measurePropagation},
		{"sharing", "ways to share scarce connections, all callers on one host", measureSharing},
		{"state", "memory of declared accounts", measureStateMemory},
		{"control", "cost of control, swept over hosts and database groups", measureControlOverhead},
	}
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	o := options{runs: 30, seed: 1, seconds: 5, faults: "kill,cut,freeze", clients: 8, idle: 150, lags: "0,50,200,1000,2000,5000"}
	o.policies = strings.Join([]string{settings.ReadSession, settings.ReadPrimaryOnly, settings.ReadRandomReplica}, ",")
	p := flaggy.NewParser("cumintrestle-load")
	p.Description = "measures cumintrestle against stand-ins"
	all := measurements()
	subs := make([]*flaggy.Subcommand, len(all))
	for i, m := range all {
		subs[i] = flaggy.NewSubcommand(m.name)
		subs[i].Description = m.help
		subs[i].Int(&o.runs, "n", "runs", "runs, or changes")
		subs[i].UInt64(&o.seed, "s", "seed", "first seed")
		subs[i].Int(&o.seconds, "t", "seconds", "length of one run, in s")
		subs[i].String(&o.faults, "", "faults", "kill, cut, freeze, none")
		subs[i].String(&o.lags, "", "lags", "replica lags, in ms")
		subs[i].String(&o.policies, "", "policies", "read policies")
		subs[i].Int(&o.clients, "", "clients", "clients at once")
		subs[i].Int(&o.idle, "", "idle", "idle connections")
		p.AttachSubcommand(subs[i], 1)
	}
	if err := p.Parse(); err != nil {
		return fmt.Errorf("arguments: %w", err)
	}
	for i, m := range all {
		if subs[i].Used {
			return m.run(o)
		}
	}
	p.ShowHelp()
	return errors.New("no measurement given")
}

func printLine(v any) {
	_ = json.NewEncoder(os.Stdout).Encode(v)
}

// gapSummary summarizes all runs with one fault.
type gapSummary struct {
	Fault      experiment.Fault `json:"fault"`
	Runs       int              `json:"runs"`
	MedianMS   float64          `json:"median_ms"`
	MaxMS      float64          `json:"max_ms"`
	Terms      int              `json:"terms"`
	Unknown    int              `json:"unknown"`
	Violations int              `json:"violations"`
	Failed     int              `json:"failed"`
}

func measureGap(o options) error {
	for _, f := range strings.Split(o.faults, ",") {
		s := gapSummary{Fault: experiment.Fault(f)}
		var gaps []float64
		for i := range o.runs {
			r, err := experiment.Gap(deploy.Bathafarn(), s.Fault, o.seed+uint64(i))
			if err != nil {
				s.Failed++
				fmt.Fprintf(os.Stderr, "seed %d: %v\n", r.Seed, err)
				continue
			}
			printLine(r)
			gaps = append(gaps, r.GapMS)
			s.Terms += r.Terms
			s.Unknown += r.Unknown
			s.Violations += len(r.Violations)
		}
		if s.Runs = len(gaps); s.Runs > 0 {
			slices.Sort(gaps)
			s.MedianMS, s.MaxMS = gaps[len(gaps)/2], gaps[len(gaps)-1]
		}
		printLine(s)
	}
	return nil
}

func measureReads(o options) error {
	for _, policy := range strings.Split(o.policies, ",") {
		for _, text := range strings.Split(o.lags, ",") {
			lag, err := time.ParseDuration(text + "ms")
			if err != nil {
				return fmt.Errorf("replica lags: %w", err)
			}
			r, err := experiment.Reads(deploy.GazonSahel(), policy, lag, time.Duration(o.seconds)*time.Second, o.seed)
			if err != nil {
				return fmt.Errorf("%s, lag %s: %w", policy, lag, err)
			}
			printLine(r)
		}
	}
	return nil
}

func measureCost(o options) error {
	spec := deploy.Bathafarn()
	spec.Connections = o.clients + 4
	spec.Slots = 8
	spec.Accounts[0].Connections = o.idle + 2*o.clients + 50
	d, err := deploy.Start(spec, deploy.Options{Groups: 1, Hosts: 1, NoDelay: true})
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	defer d.Stop()
	for _, clients := range []int{1, o.clients} {
		for _, direct := range []bool{true, false} {
			r, err := experiment.Cost(d, direct, clients, time.Duration(o.seconds)*time.Second)
			if err != nil {
				return err
			}
			printLine(r)
		}
	}
	r, err := experiment.IdleMemory(d, o.idle)
	if err != nil {
		return err
	}
	printLine(r)
	return nil
}

func measurePropagation(o options) error {
	for _, delay := range []time.Duration{0, 200 * time.Millisecond} {
		r, err := experiment.Propagation(deploy.Bathafarn(), o.runs, delay)
		if err != nil {
			return err
		}
		printLine(r)
	}
	return nil
}

func measureSharing(o options) error {
	for _, policy := range []string{settings.ShareLeased, settings.ShareFixed} {
		r, err := experiment.Sharing(policy, time.Duration(o.seconds)*time.Second)
		if err != nil {
			return err
		}
		printLine(r)
	}
	return nil
}

func measureStateMemory(options) error {
	for _, n := range []int{1000, 10_000} {
		r, err := experiment.StateMemory(n)
		if err != nil {
			return err
		}
		printLine(r)
	}
	return nil
}

func measureControlOverhead(o options) error {
	type point struct{ hosts, groups int }
	for _, p := range []point{{2, 1}, {4, 1}, {8, 1}, {16, 1}, {4, 2}, {4, 3}} {
		spec := deploy.Bathafarn()
		spec.Connections = 64
		r, err := experiment.ControlOverhead(spec, p.hosts, p.groups, time.Duration(o.seconds)*time.Second)
		if err != nil {
			return err
		}
		printLine(r)
	}
	return nil
}
