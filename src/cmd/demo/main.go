// Command demo starts a small fleet on loopback, uses it while instances leave, and counts what came back.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/rosecroft/rosecroft/src/stager"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	controls = 3
	// With one entry stopped and one dead, a majority of each record's owners lives.
	entries = 4
	engines = 4
	rounds  = 6
)

type options struct {
	Program       string `help:"The built rosecroft program." default:"bin/rosecroft"`
	Standin       string `help:"The built stand-in program." default:"bin/standin"`
	Configuration string `help:"Configuration to apply." default:"examples/hearthline.yaml"`
}

func main() {
	chosen := &options{}
	kong.Parse(chosen, kong.Description("Shows rosecroft at work on this machine."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	err := run(ctx, chosen)
	stop()
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, chosen *options) error {
	folder, err := os.MkdirTemp("", "rosecroft-demo-")
	if err != nil {
		return fmt.Errorf("make a folder for the demo: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	stage := &stager.Stage{
		Folder:  folder,
		Program: chosen.Program,
		Standin: chosen.Standin,
	}
	defer stage.Stop()
	tour, err := prepare(ctx, stage, chosen)
	if err != nil {
		return err
	}
	tour.visit(ctx)
	return tour.verdict(ctx)
}

// prepare starts the fleet and applies the configuration.
func prepare(ctx context.Context, stage *stager.Stage, chosen *options) (*tour, error) {
	dataCentres := []units.DataCentre{"scot-central-a", "scot-central-b", "scot-central-c", "scot-central-d"}
	if err := stage.StartFleet(controls, entries, dataCentres); err != nil {
		return nil, err
	}
	t := &tour{stage: stage}
	for i := range engines {
		engine, err := stage.StartUpstream("engine", fmt.Sprintf("ember-%d", i+1),
			"--service", "ember-llm", "--model", "ember-1", "--data-centre", string(dataCentres[i]))
		if err != nil {
			return nil, err
		}
		t.engines = append(t.engines, engine)
	}
	diary, err := stage.StartUpstream("plain", "diary-1",
		"--service", "diary-app", "--data-centre", string(dataCentres[0]))
	if err != nil {
		return nil, err
	}
	t.diary = diary
	if err := stage.AwaitHealthy(ctx); err != nil {
		return nil, err
	}
	apply := exec.CommandContext(ctx, chosen.Program, "apply", chosen.Configuration,
		"--control", stage.ControlURLs(), "--wait", "15s")
	apply.Stdout = os.Stdout
	apply.Stderr = os.Stderr
	if err := apply.Run(); err != nil {
		return nil, fmt.Errorf("apply the configuration: %w", err)
	}
	return t, stage.AwaitReady(ctx)
}
