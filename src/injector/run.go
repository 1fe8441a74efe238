package injector

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rosecroft/rosecroft/src/deployer"
	"github.com/rosecroft/rosecroft/src/loader"
	"github.com/rosecroft/rosecroft/src/stager"
)

// Experiment is one run of a fleet under load and failures.
type Experiment struct {
	Deployment *deployer.Deployment
	Stage      *stager.Stage
	Rates      deployer.Rates
	Span       time.Duration
	Seed       uint64
	Schedule   []Step
	Log        io.Writer
}

// Run starts the fleet, causes the failures under load and checks what callers were told.
func (e *Experiment) Run(ctx context.Context) (*Verdict, *loader.Report, error) {
	defer e.Stage.Stop()
	fleet, err := e.Deployment.Start(ctx, e.Stage)
	if err != nil {
		return nil, nil, err
	}
	load := &loader.Loader{
		Balancer: &loader.Balancer{
			Entries: fleet.EntryURLs(),
		},
		Workloads: e.Deployment.Mixed(e.Rates),
		Span:      e.Span,
		Seed:      e.Seed,
		Name:      e.Deployment.Name,
		Resend:    true,
	}
	injector := &Injector{
		Fleet:    fleet,
		Schedule: e.Schedule,
		Log:      e.Log,
	}
	watch := newWatch(fleet)
	watching, stop := context.WithCancel(ctx)
	defer stop()
	go watch.run(watching)
	wrecked := make(chan error, 1)
	go func() { wrecked <- injector.Run(ctx) }()
	report := load.Run(ctx)
	if err := <-wrecked; err != nil {
		return nil, report, fmt.Errorf("carry out the schedule: %w", err)
	}
	truth, err := ReadTruth(fleet.Journals)
	if err != nil {
		return nil, report, err
	}
	verdict := Check(report, truth, e.Schedule)
	verdict.Faults = append(verdict.Faults, watch.faults()...)
	return verdict, report, nil
}
