package measurer

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/rosecroft/rosecroft/src/deployer"
	"github.com/rosecroft/rosecroft/src/loader"
	"github.com/rosecroft/rosecroft/src/parser"
)

const (
	overloadSpan   = 15 * time.Second
	overloadTokens = 100
	overloadSlots  = 8
	overloadPools  = 4
	overloadEntry  = 3
	// capacity is how many calls a second the engines can finish: each holds a
	// slot for its prefill and one step a token.
	overloadStep = 4 * time.Millisecond
	smallShare   = 0.1
)

// Overload measures goodput at growing load up to twice the engines' capacity,
// with one large client account that asks for ten times what the small one does.
func (b *Bench) Overload(ctx context.Context) (*Result, error) {
	perCall := time.Duration(overloadTokens+2) * overloadStep
	capacity := overloadPools * overloadSlots / perCall.Seconds()
	result := b.result("overload", fmt.Sprintf("Overload: %d engines of %d slots finish about %.0f calls a second; one account asks for nine tenths of the load, one for a tenth. Good means answered with the first token within 1 s.", overloadPools, overloadSlots, capacity))
	peak := 0.0
	for _, factor := range []float64{0.5, 0.8, 1, 1.5, 2} {
		report, err := b.overload(ctx, capacity*factor)
		if err != nil {
			return nil, err
		}
		good := float64(report.Within(firstToken, time.Second)) / report.Span.Seconds()
		peak = max(peak, good)
		prefix := fmt.Sprintf("%.1f times the capacity: ", factor)
		result.Add(prefix+"goodput", fmt.Sprintf("%.1f calls/s (%.0f%% of the peak so far)", good, 100*good/peak),
			fmt.Sprintf("%d calls made", len(report.Outcomes)), "at 2.0: 90% of the peak")
		refusals := report.Refusals()
		if refusals.TotalCount() > 0 {
			result.Add(prefix+"refusals", quantiles(refusals), fmt.Sprintf("%d refused", refusals.TotalCount()), "within 50ms")
		}
		result.Add(prefix+"small account answered", fmt.Sprintf("%.0f%%", 100*answeredShare(report, "small")), "", "keeps its share")
		result.Add(prefix+"large account answered", fmt.Sprintf("%.0f%%", 100*answeredShare(report, "large")), "", "")
	}
	return result, nil
}

func (b *Bench) overload(ctx context.Context, rate float64) (*loader.Report, error) {
	stage, remove, err := b.stage()
	if err != nil {
		return nil, err
	}
	defer remove()
	d := b.deployment("hearthline")
	d.Entries = overloadEntry
	d.Pools[0].Count = overloadPools
	d.Pools[0].Arguments = []string{"--model", d.Model, "--step", overloadStep.String(), "--slots", fmt.Sprint(overloadSlots)}
	d.Pools[1].Count = 1
	if err := withPolicy(d, parser.PrefixCost, stage.Folder); err != nil {
		return nil, err
	}
	fleet, err := d.Start(ctx, stage)
	if err != nil {
		return nil, err
	}
	workloads := fleet.Mixed(deployer.Rates{Stream: rate})
	var chosen []*loader.Workload
	for _, workload := range workloads {
		workload.PrefixBytes = 0
		workload.OutputTokens = overloadTokens
		switch {
		case strings.HasPrefix(workload.Key, "strath-sweeps"):
			workload.Name = "large"
			workload.Rate = rate * (1 - smallShare)
			chosen = append(chosen, workload)
		case strings.HasPrefix(workload.Key, "croft-direct"):
			workload.Name = "small"
			workload.Rate = rate * smallShare
			chosen = append(chosen, workload)
		}
	}
	return b.load(ctx, "overload", fleet.EntryURLs(), onlyStreams(chosen), b.span(overloadSpan), false), nil
}

func onlyStreams(workloads []*loader.Workload) []*loader.Workload {
	var streams []*loader.Workload
	for _, workload := range workloads {
		if workload.Kind == loader.Stream {
			streams = append(streams, workload)
		}
	}
	return streams
}

func answeredShare(report *loader.Report, workload string) float64 {
	made := 0
	for _, outcome := range report.Outcomes {
		if outcome.Workload == workload {
			made++
		}
	}
	return float64(report.Count(workload, loader.Answered)) / float64(max(1, made))
}
