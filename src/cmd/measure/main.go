// Command measure runs experiments on real processes on loopback, stores their results
// and rewrites docs/MEASUREMENTS.md.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/rosecroft/rosecroft/src/measurer"
)

type options struct {
	Names   []string `arg:"" optional:"" help:"Experiments to run; all if omitted."`
	Program string   `help:"Path of the rosecroft program." default:"bin/rosecroft"`
	Standin string   `help:"Path of the stand-in program." default:"bin/standin"`
	Root    string   `help:"Root folder of the repository." default:"."`
	Seed    uint64   `help:"Random seed of the load." default:"1"`
	Quick   bool     `help:"Run shortened trials and store no results."`
	Render  bool     `help:"Run no experiment; only render the page from the stored results."`
}

// experiment is an experiment with its name on the command line.
type experiment struct {
	name string
	run  func(context.Context) (*measurer.Result, error)
}

func main() {
	opts := &options{}
	cli := kong.Parse(opts, kong.Description("Measures the system on this machine, on loopback alone."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	err := run(ctx, opts)
	stop()
	cli.FatalIfErrorf(err)
}

func run(ctx context.Context, opts *options) error {
	root, err := filepath.Abs(opts.Root)
	if err != nil {
		return err
	}
	if opts.Render {
		return measurer.Render(root)
	}
	bench := &measurer.Bench{
		Root:    root,
		Program: opts.Program,
		Standin: opts.Standin,
		Seed:    opts.Seed,
		Quick:   opts.Quick,
	}
	for _, e := range experiments(bench) {
		if len(opts.Names) > 0 && !slices.Contains(opts.Names, e.name) {
			continue
		}
		fmt.Println("== " + e.name)
		result, err := e.run(ctx)
		if err != nil {
			return fmt.Errorf("measure %s: %w", e.name, err)
		}
		for _, figure := range result.Figures {
			fmt.Printf("%s: %s (%s) aim: %s\n", figure.Name, figure.Value, figure.Spread, figure.Aim)
		}
		if opts.Quick {
			continue
		}
		if err := measurer.Save(root, result); err != nil {
			return err
		}
	}
	return nil
}

func experiments(bench *measurer.Bench) []experiment {
	return []experiment{
		{name: "latency", run: bench.EntryLatency},
		{name: "record", run: bench.RecordCost},
		{name: "overload", run: bench.Overload},
		{name: "changes", run: bench.ConfigurationChanges},
		{name: "repair", run: bench.Repair},
		{name: "slopes", run: bench.ControlCostByEntries},
		{name: "upstreams", run: bench.ControlCostByUpstreams},
		{name: "failures", run: bench.Failures},
		{name: "cost-hearthline", run: func(ctx context.Context) (*measurer.Result, error) {
			return bench.PolicyCost(ctx, "hearthline")
		}},
		{name: "cost-cooperativa", run: func(ctx context.Context) (*measurer.Result, error) {
			return bench.PolicyCost(ctx, "cooperativa")
		}},
		{name: "wave-hearthline", run: func(ctx context.Context) (*measurer.Result, error) {
			return bench.ReclaimWave(ctx, "hearthline")
		}},
		{name: "wave-cooperativa", run: func(ctx context.Context) (*measurer.Result, error) {
			return bench.ReclaimWave(ctx, "cooperativa")
		}},
	}
}
