// Command failures runs a deployment under load with a seeded schedule of failures, and
// checks the callers' outcomes against the upstreams' journals.
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
	Program    string               `help:"Path of the rosecroft program." default:"bin/rosecroft"`
	Standin    string               `help:"Path of the stand-in program." default:"bin/standin"`
	Root       string               `help:"Root folder of the repository." default:"."`
	Deployment string               `help:"Deployment to run." enum:"hearthline,cooperativa" default:"hearthline"`
	Seed       uint64               `help:"Random seed of the schedule and the load." default:"1"`
	Span       time.Duration        `help:"Duration of the load, at most 30m." default:"30s"`
	Steps      int                  `help:"Number of failures to inject." default:"12"`
	Acts       []injector.FaultKind `help:"Kinds of failure to draw from; all if omitted."`
	Streams    float64              `help:"Streamed model calls per second." default:"20"`
	Wholes     float64              `help:"Model calls per second that are not streamed." default:"4"`
	Once       float64              `help:"Calls per second that must not run twice." default:"10"`
	Reads      float64              `help:"Repeatable calls per second to plain services." default:"10"`
	Keep       bool                 `help:"Keep the temporary folder with logs and journals."`
}

func main() {
	opts := &options{}
	cli := kong.Parse(opts, kong.Description("Causes failures in a fleet on loopback and checks what callers were told."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	err := run(ctx, opts)
	stop()
	cli.FatalIfErrorf(err)
}

func run(ctx context.Context, opts *options) error {
	if opts.Span > maxSpan {
		return fmt.Errorf("--span %s exceeds the maximum of %s", opts.Span, maxSpan)
	}
	folder, err := os.MkdirTemp("", "rosecroft-failures-")
	if err != nil {
		return fmt.Errorf("create a temporary folder for the run: %w", err)
	}
	if opts.Keep {
		fmt.Println("logs and journals:", folder)
	} else {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	acts := opts.Acts
	if len(acts) == 0 {
		acts = injector.FaultKinds
	}
	experiment := &injector.Experiment{
		Deployment: deployment(opts),
		Cluster: &stager.Cluster{
			Folder:  folder,
			Program: opts.Program,
			Standin: opts.Standin,
		},
		Rates: deployer.Rates{
			Stream:        opts.Streams,
			Whole:         opts.Wholes,
			NonRepeatable: opts.Once,
			Read:          opts.Reads,
		},
		Span:     opts.Span,
		Seed:     opts.Seed,
		Schedule: injector.RandomSchedule(opts.Seed, opts.Span, opts.Steps, acts),
		Log:      os.Stdout,
	}
	verdict, _, err := experiment.Run(ctx)
	if err != nil {
		return err
	}
	for _, fault := range verdict.Violations {
		fmt.Println("FAULT", fault)
	}
	for _, refused := range verdict.Refused {
		fmt.Println("refused", refused)
	}
	fmt.Printf("failures deployment=%s seed=%d %s\n", opts.Deployment, opts.Seed, verdict)
	if len(verdict.Violations) > 0 {
		return fmt.Errorf("the run showed %d faults", len(verdict.Violations))
	}
	return nil
}

func deployment(opts *options) *deployer.Deployment {
	if opts.Deployment == "cooperativa" {
		return deployer.Cooperativa(opts.Root)
	}
	return deployer.Hearthline(opts.Root)
}
