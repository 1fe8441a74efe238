package measurer

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rosecroft/rosecroft/src/deployer"
	"github.com/rosecroft/rosecroft/src/injector"
)

const (
	failureSeedCount    = 3
	failureLoadDuration = 30 * time.Second
	failureCount        = 18
)

// Failures runs both deployments under load with seeded schedules of failures and
// reports the verdict on what callers were told.
func (b *Bench) Failures(ctx context.Context) (*Result, error) {
	result := b.newResult("failures", fmt.Sprintf("Both deployments at their sizes under load and %d failures in %s, drawn from all kinds; `bin/failures` runs one seed. Unknown are calls whose caller was told truthfully that nobody knows whether they ran.", failureCount, failureLoadDuration))
	for _, name := range []string{"hearthline", "cooperativa"} {
		for seed := b.Seed; seed < b.Seed+failureSeedCount; seed++ {
			verdict, err := b.runFailures(ctx, name, seed)
			if err != nil {
				return nil, err
			}
			result.Add(fmt.Sprintf("%s, seed %d", name, seed), verdict.String(), "", "lost=0 doubled=0 faults=0")
			for _, fault := range verdict.Violations {
				fmt.Println("FAULT", fault)
			}
		}
	}
	return result, nil
}

func (b *Bench) runFailures(ctx context.Context, name string, seed uint64) (*injector.Verdict, error) {
	cluster, cleanup, err := b.newCluster()
	if err != nil {
		return nil, err
	}
	defer cleanup()
	duration := b.loadDuration(failureLoadDuration)
	experiment := &injector.Experiment{
		Deployment: b.deployment(name),
		Cluster:    cluster,
		Rates: deployer.Rates{
			Stream:        20,
			Whole:         4,
			NonRepeatable: 10,
			Read:          10,
		},
		Span:     duration,
		Seed:     seed,
		Schedule: injector.RandomSchedule(seed, duration, failureCount, injector.FaultKinds),
		Log:      io.Discard,
	}
	verdict, _, err := experiment.Run(ctx)
	return verdict, err
}
