// Command failures runs a deployment under load and a seeded schedule of
// failures, and checks what callers were told.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/rosecroft/rosecroft/src/deployer"
	"github.com/rosecroft/rosecroft/src/injector"
	"github.com/rosecroft/rosecroft/src/stager"
)

const maxSpan = 30 * time.Minute

type options struct {
	Program    string         `help:"The built rosecroft program." default:"bin/rosecroft"`
	Standin    string         `help:"The built stand-in program." default:"bin/standin"`
	Root       string         `help:"Folder of the repository." default:"."`
	Deployment string         `help:"Deployment to run." enum:"hearthline,cooperativa" default:"hearthline"`
	Seed       uint64         `help:"Seed of the schedule and the load." default:"1"`
	Span       time.Duration  `help:"How long the load lasts, at most 30m." default:"30s"`
	Steps      int            `help:"How many failures to cause." default:"12"`
	Acts       []injector.Act `help:"Kinds of failure to draw from; all where left out."`
	Streams    float64        `help:"Streamed model calls per second." default:"20"`
	Wholes     float64        `help:"Whole model calls per second." default:"4"`
	Once       float64        `help:"Calls per second that must not run twice." default:"10"`
	Reads      float64        `help:"Plain reads per second." default:"10"`
	Keep       bool           `help:"Keep the folder with logs and journals."`
}

func main() {
	chosen := &options{}
	parsed := kong.Parse(chosen, kong.Description("Causes failures in a fleet on loopback and checks what callers were told."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	err := run(ctx, chosen)
	stop()
	parsed.FatalIfErrorf(err)
}

func run(ctx context.Context, chosen *options) error {
	if chosen.Span > maxSpan {
		return fmt.Errorf("a span of %s is longer than %s; choose less", chosen.Span, maxSpan)
	}
	folder, err := os.MkdirTemp("", "rosecroft-failures-")
	if err != nil {
		return fmt.Errorf("make a folder for the run: %w", err)
	}
	if chosen.Keep {
		fmt.Println("logs and journals:", folder)
	} else {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	acts := chosen.Acts
	if len(acts) == 0 {
		acts = injector.Acts
	}
	experiment := &injector.Experiment{
		Deployment: deployment(chosen),
		Stage: &stager.Stage{
			Folder:  folder,
			Program: chosen.Program,
			Standin: chosen.Standin,
		},
		Rates: deployer.Rates{
			Stream: chosen.Streams,
			Whole:  chosen.Wholes,
			Once:   chosen.Once,
			Read:   chosen.Reads,
		},
		Span:     chosen.Span,
		Seed:     chosen.Seed,
		Schedule: injector.Draw(chosen.Seed, chosen.Span, chosen.Steps, acts),
		Log:      os.Stdout,
	}
	verdict, _, err := experiment.Run(ctx)
	if err != nil {
		return err
	}
	for _, fault := range verdict.Faults {
		fmt.Println("FAULT", fault)
	}
	for _, refused := range verdict.Refused {
		fmt.Println("refused", refused)
	}
	fmt.Printf("failures deployment=%s seed=%d %s\n", chosen.Deployment, chosen.Seed, verdict)
	if len(verdict.Faults) > 0 {
		return fmt.Errorf("%d faults", len(verdict.Faults))
	}
	return nil
}

func deployment(chosen *options) *deployer.Deployment {
	if chosen.Deployment == "cooperativa" {
		return deployer.Cooperativa(chosen.Root)
	}
	return deployer.Hearthline(chosen.Root)
}
