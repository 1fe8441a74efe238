// Command measure runs experiments on real processes on loopback and rewrites docs/MEASUREMENTS.md.
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
	Names   []string `arg:"" optional:"" help:"Experiments to run; all where left out."`
	Program string   `help:"The built rosecroft program." default:"bin/rosecroft"`
	Standin string   `help:"The built stand-in program." default:"bin/standin"`
	Root    string   `help:"Folder of the repository." default:"."`
	Seed    uint64   `help:"Seed of the load." default:"1"`
	Quick   bool     `help:"Run short trials and keep no figures."`
	Render  bool     `help:"Run nothing and write the page of the kept figures anew."`
}

// experiment is one named measurement.
type experiment struct {
	name string
	run  func(context.Context) (*measurer.Result, error)
}

func main() {
	chosen := &options{}
	parsed := kong.Parse(chosen, kong.Description("Measures the system on this machine, on loopback alone."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	err := run(ctx, chosen)
	stop()
	parsed.FatalIfErrorf(err)
}

func run(ctx context.Context, chosen *options) error {
	root, err := filepath.Abs(chosen.Root)
	if err != nil {
		return err
	}
	if chosen.Render {
		return measurer.Render(root)
	}
	bench := &measurer.Bench{
		Root:    root,
		Program: chosen.Program,
		Standin: chosen.Standin,
		Seed:    chosen.Seed,
		Quick:   chosen.Quick,
	}
	for _, one := range experiments(bench) {
		if len(chosen.Names) > 0 && !slices.Contains(chosen.Names, one.name) {
			continue
		}
		fmt.Println("== " + one.name)
		result, err := one.run(ctx)
		if err != nil {
			return fmt.Errorf("measure %s: %w", one.name, err)
		}
		for _, figure := range result.Figures {
			fmt.Printf("%s: %s (%s) aim: %s\n", figure.Name, figure.Value, figure.Spread, figure.Aim)
		}
		if chosen.Quick {
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
		{name: "latency", run: bench.Latency},
		{name: "record", run: bench.Record},
		{name: "overload", run: bench.Overload},
		{name: "changes", run: bench.Changes},
		{name: "repair", run: bench.Repair},
		{name: "slopes", run: bench.Slopes},
		{name: "upstreams", run: bench.Upstreams},
		{name: "failures", run: bench.Failures},
		{name: "cost-hearthline", run: func(ctx context.Context) (*measurer.Result, error) {
			return bench.Cost(ctx, "hearthline")
		}},
		{name: "cost-cooperativa", run: func(ctx context.Context) (*measurer.Result, error) {
			return bench.Cost(ctx, "cooperativa")
		}},
		{name: "wave-hearthline", run: func(ctx context.Context) (*measurer.Result, error) {
			return bench.Wave(ctx, "hearthline")
		}},
		{name: "wave-cooperativa", run: func(ctx context.Context) (*measurer.Result, error) {
			return bench.Wave(ctx, "cooperativa")
		}},
	}
}
