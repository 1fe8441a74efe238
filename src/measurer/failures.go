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
	failureSeeds = 3
	failureSpan  = 30 * time.Second
	failureSteps = 18
)

// Failures runs seeded schedules of failures over both deployments.
func (b *Bench) Failures(ctx context.Context) (*Result, error) {
	result := b.result("failures", fmt.Sprintf("Both deployments at their sizes under load and %d failures in %s, drawn from all kinds; `bin/failures` runs one seed. Unknown are calls whose caller was told truthfully that nobody knows whether they ran.", failureSteps, failureSpan))
	for _, name := range []string{"hearthline", "cooperativa"} {
		for seed := b.Seed; seed < b.Seed+failureSeeds; seed++ {
			verdict, err := b.failures(ctx, name, seed)
			if err != nil {
				return nil, err
			}
			result.Add(fmt.Sprintf("%s, seed %d", name, seed), verdict.String(), "", "lost=0 doubled=0 faults=0")
			for _, fault := range verdict.Faults {
				fmt.Println("FAULT", fault)
			}
		}
	}
	return result, nil
}

func (b *Bench) failures(ctx context.Context, name string, seed uint64) (*injector.Verdict, error) {
	stage, remove, err := b.stage()
	if err != nil {
		return nil, err
	}
	defer remove()
	span := b.span(failureSpan)
	experiment := &injector.Experiment{
		Deployment: b.deployment(name),
		Stage:      stage,
		Rates: deployer.Rates{
			Stream: 20,
			Whole:  4,
			Once:   10,
			Read:   10,
		},
		Span:     span,
		Seed:     seed,
		Schedule: injector.Draw(seed, span, failureSteps, injector.Acts),
		Log:      io.Discard,
	}
	verdict, _, err := experiment.Run(ctx)
	return verdict, err
}
