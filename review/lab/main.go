// Command lab plays the cases of the second review that are scripts. It starts stand-ins of the
// platform and of the databases, runs entry hosts as processes, and checks one rule. It has to be
// started in the root of the repository, after the build of the deploy file:
//
//	lab CASE FOLDER
//
// FOLDER receives record.txt. The exit status is 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run. With TROUBLE=0 the case is played without its disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases has the cases by name. Each reports whether its rule was broken.
var cases = map[string]func(*record) (broken bool, err error){
	"demoted": playDemoted,
	"joined":  playJoined,
	"orphans": playOrphans,
	"reborn":  playReborn,
	"values":  playValues,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FOLDER")
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := cases[os.Args[1]](rec)
	switch {
	case err != nil:
		rec.write("the case could not run: %v", err)
		return exitNotRun
	case broken:
		rec.write("the rule was broken")
		return exitBroken
	}
	rec.write("the rule held")
	return exitHeld
}
