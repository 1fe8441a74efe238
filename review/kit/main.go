// Command kit holds the stand-ins and the scripts of the review's cases. Each case starts the project's programs with
// the commands of the deploy file, on loopback addresses.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// scenario runs one case and reports whether the rule was broken. Without trouble it leaves the disturbance out.
type scenario func(r *record, trouble bool) (broken bool, err error)

// scenarios are the cases by name.
var scenarios = map[string]scenario{
	"early-end":   earlyEnd,
	"founding":    founding,
	"probe-limit": probeLimit,
	"unnamed":     unnamedReports,
	"unreadable":  unreadableReports,
}

func main() { os.Exit(runMain(os.Args[1:])) }

func runMain(arguments []string) int {
	if len(arguments) > 0 && arguments[0] == "engine" {
		if err := runEngine(arguments[1:]); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, err)
		}
		return exitNotRun
	}
	if len(arguments) != 3 || scenarios[arguments[0]] == nil {
		_, _ = fmt.Fprintln(os.Stderr, "usage: kit CASE FOLDER TROUBLE; TROUBLE is 0 to leave the disturbance out")
		return exitNotRun
	}
	r, err := newRecord(filepath.Join(arguments[1], "record.txt"))
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r.line("case %s, TROUBLE=%s", arguments[0], arguments[2])
	broken, err := scenarios[arguments[0]](r, arguments[2] != "0")
	switch {
	case err != nil:
		r.line("the case could not run: %v", err)
		return exitNotRun
	case broken:
		r.line("result: the rule was broken")
		return exitBroken
	}
	r.line("result: the rule held")
	return exitHeld
}
