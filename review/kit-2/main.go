package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// caseLimit is how long a case may take.
const caseLimit = 110 * time.Second

// play plays one case and returns what breaks its rule; trouble is false where the disturbance is left out.
type play func(f *fleet, trouble bool) (breaks []string, err error)

var cases = map[string]play{
	"late-refusal": playLateRefusal,
	"great-limit":  playGreatLimit,
	"broken-id":    playBrokenID,
	"departure":    playDeparture,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: kit-2 CASE PROGRAM RECORD; TROUBLE=0 leaves the disturbance out")
		return exitNotRun
	}
	name, program, recordPath := os.Args[1], os.Args[2], os.Args[3]
	playCase := cases[name]
	if playCase == nil {
		fmt.Fprintf(os.Stderr, "the case %q is unknown\n", name)
		return exitNotRun
	}
	program, err := filepath.Abs(program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	log := newRecord()
	f, err := newFleet(program, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(caseLimit):
		}
		f.close()
		os.Exit(exitNotRun)
	}()
	breaks, err := playCase(f, trouble)
	f.close()
	code := exitHeld
	switch {
	case err != nil:
		log.add("could not run: %v", err)
		code = exitNotRun
	case len(breaks) > 0:
		code = exitBroken
	}
	log.add("case %s, trouble %t: %d breaks", name, trouble, len(breaks))
	for _, b := range breaks {
		log.add("BROKEN %s", b)
	}
	if err := log.write(recordPath); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return code
}
