// Command demo starts a small fleet on loopback, makes calls while instances stop and
// die, and checks that no call was lost or ran twice.
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
	// Four, so that a majority of each record's owners is left after one entry has
	// stopped and another has died.
	entries = 4
	engines = 4
	rounds  = 6
)

type options struct {
	Program       string `help:"Path of the rosecroft program." default:"bin/rosecroft"`
	Standin       string `help:"Path of the stand-in program." default:"bin/standin"`
	Configuration string `help:"Configuration file to apply." default:"examples/hearthline.yaml"`
}

func main() {
	opts := &options{}
	kong.Parse(opts, kong.Description("Shows rosecroft at work on this machine."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	err := run(ctx, opts)
	stop()
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, opts *options) error {
	folder, err := os.MkdirTemp("", "rosecroft-demo-")
	if err != nil {
		return fmt.Errorf("create a temporary folder for the demo: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	cluster := &stager.Cluster{
		Folder:  folder,
		Program: opts.Program,
		Standin: opts.Standin,
	}
	defer cluster.Stop()
	s, err := startFleet(ctx, cluster, opts)
	if err != nil {
		return err
	}
	s.run(ctx)
	return s.checkResults(ctx)
}

// startFleet starts the fleet, applies the configuration and waits until the entries are ready.
func startFleet(ctx context.Context, cluster *stager.Cluster, opts *options) (*scenario, error) {
	dataCentres := []units.DataCentre{"scot-central-a", "scot-central-b", "scot-central-c", "scot-central-d"}
	if err := cluster.StartFleet(controls, entries, dataCentres); err != nil {
		return nil, err
	}
	s := &scenario{cluster: cluster}
	for i := range engines {
		engine, err := cluster.StartUpstream("engine", fmt.Sprintf("ember-%d", i+1),
			"--service", "ember-llm", "--model", "ember-1", "--data-centre", string(dataCentres[i]))
		if err != nil {
			return nil, err
		}
		s.engines = append(s.engines, engine)
	}
	plainService, err := cluster.StartUpstream("plain", "diary-1",
		"--service", "diary-app", "--data-centre", string(dataCentres[0]))
	if err != nil {
		return nil, err
	}
	s.plainService = plainService
	if err := cluster.AwaitHealthy(ctx); err != nil {
		return nil, err
	}
	command := exec.CommandContext(ctx, opts.Program, "apply", opts.Configuration,
		"--control", cluster.ControlURLs(), "--wait", "15s")
	command.Stdout = os.Stdout
	command.Stderr = os.Stderr
	if err := command.Run(); err != nil {
		return nil, fmt.Errorf("apply the configuration: %w", err)
	}
	return s, cluster.AwaitReady(ctx)
}
