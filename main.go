// Command rosecroft serves language models and applications on reclaimable machines.
package main

import (
	"os"

	"github.com/rosecroft/rosecroft/src/launcher"
)

// version and revision are overridden by the linker (-X).
var (
	version  = "0.1.0"
	revision = "devel"
)

func main() {
	os.Exit(int(launcher.Run(os.Args[1:], version, revision, os.Stdout, os.Stderr)))
}
