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

// Experiment is one run of a fleet under load and injected faults.
type Experiment struct {
	Deployment *deployer.Deployment
	Cluster    *stager.Cluster
	Rates      deployer.Rates
	Span       time.Duration
	Seed       uint64
	Schedule   []ScheduledFault
	Log        io.Writer
}

// Run starts the fleet, injects the faults under load and checks the outcomes that
// callers observed.
func (e *Experiment) Run(ctx context.Context) (*Verdict, *loader.Report, error) {
	defer e.Cluster.Stop()
	fleet, err := e.Deployment.Start(ctx, e.Cluster)
	if err != nil {
		return nil, nil, err
	}
	load := &loader.Loader{
		Balancer: &loader.Balancer{
			Entries: fleet.EntryURLs(),
		},
		Workloads:    e.Deployment.MixedWorkloads(e.Rates),
		Duration:     e.Span,
		Seed:         e.Seed,
		Name:         e.Deployment.Name,
		RetryRefused: true,
	}
	injector := &Injector{
		Fleet:    fleet,
		Schedule: e.Schedule,
		Log:      e.Log,
	}
	watcher := newVersionWatcher(fleet)
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	go watcher.run(watchCtx)
	injected := make(chan error, 1)
	go func() { injected <- injector.Run(ctx) }()
	report := load.Run(ctx)
	if err := <-injected; err != nil {
		return nil, report, fmt.Errorf("execute the schedule: %w", err)
	}
	truth, err := ReadGroundTruth(fleet.Journals)
	if err != nil {
		return nil, report, err
	}
	verdict := Check(report, truth, e.Schedule)
	verdict.Violations = append(verdict.Violations, watcher.faults()...)
	return verdict, report, nil
}
