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
	overloadLoadDuration = 15 * time.Second
	overloadOutputTokens = 100
	overloadSlots        = 8
	overloadEngines      = 4
	overloadEntries      = 3
	overloadStepTime     = 4 * time.Millisecond
	smallAccountFraction = 0.1
)

// Overload measures goodput at increasing load, up to twice the engines' capacity. A
// large client account sends nine tenths of the load and a small one a tenth.
func (b *Bench) Overload(ctx context.Context) (*Result, error) {
	// A call holds its slot for the prefill and one step per token, which bounds how
	// many calls per second the engines can finish.
	callDuration := time.Duration(overloadOutputTokens+2) * overloadStepTime
	capacity := overloadEngines * overloadSlots / callDuration.Seconds()
	result := b.newResult("overload", fmt.Sprintf("Overload: %d engines of %d slots finish about %.0f calls a second; one account asks for nine tenths of the load, one for a tenth. Good means answered with the first token within 1 s.", overloadEngines, overloadSlots, capacity))
	peakGoodput := 0.0
	for _, factor := range []float64{0.5, 0.8, 1, 1.5, 2} {
		report, err := b.runOverload(ctx, capacity*factor)
		if err != nil {
			return nil, err
		}
		goodput := float64(report.CountWithinTargets(firstTokenTarget, time.Second)) / report.Duration.Seconds()
		peakGoodput = max(peakGoodput, goodput)
		prefix := fmt.Sprintf("%.1f times the capacity: ", factor)
		result.Add(prefix+"goodput", fmt.Sprintf("%.1f calls/s (%.0f%% of the peak so far)", goodput, 100*goodput/peakGoodput),
			fmt.Sprintf("%d calls made", len(report.Outcomes)), "at 2.0: 90% of the peak")
		refusals := report.RefusalLatencies()
		if refusals.TotalCount() > 0 {
			result.Add(prefix+"refusals", formatPercentiles(refusals), fmt.Sprintf("%d refused", refusals.TotalCount()), "within 50ms")
		}
		result.Add(prefix+"small account answered", fmt.Sprintf("%.0f%%", 100*answeredFraction(report, "small")), "", "keeps its share")
		result.Add(prefix+"large account answered", fmt.Sprintf("%.0f%%", 100*answeredFraction(report, "large")), "", "")
	}
	return result, nil
}

func (b *Bench) runOverload(ctx context.Context, rate float64) (*loader.Report, error) {
	cluster, cleanup, err := b.newCluster()
	if err != nil {
		return nil, err
	}
	defer cleanup()
	d := b.deployment("hearthline")
	d.Entries = overloadEntries
	d.Pools[0].Count = overloadEngines
	d.Pools[0].Arguments = []string{"--model", d.Model, "--step", overloadStepTime.String(), "--slots", fmt.Sprint(overloadSlots)}
	d.Pools[1].Count = 1
	if err := setPolicy(d, parser.PrefixCost, cluster.Folder); err != nil {
		return nil, err
	}
	fleet, err := d.Start(ctx, cluster)
	if err != nil {
		return nil, err
	}
	workloads := fleet.MixedWorkloads(deployer.Rates{Stream: rate})
	var chosen []*loader.Workload
	for _, workload := range workloads {
		workload.PrefixBytes = 0
		workload.OutputTokens = overloadOutputTokens
		switch {
		case strings.HasPrefix(workload.Key, "strath-sweeps"):
			workload.Name = "large"
			workload.Rate = rate * (1 - smallAccountFraction)
			chosen = append(chosen, workload)
		case strings.HasPrefix(workload.Key, "croft-direct"):
			workload.Name = "small"
			workload.Rate = rate * smallAccountFraction
			chosen = append(chosen, workload)
		}
	}
	return b.runLoad(ctx, "overload", fleet.EntryURLs(), streamWorkloads(chosen), b.loadDuration(overloadLoadDuration), false), nil
}

func streamWorkloads(workloads []*loader.Workload) []*loader.Workload {
	var streams []*loader.Workload
	for _, workload := range workloads {
		if workload.Kind == loader.Stream {
			streams = append(streams, workload)
		}
	}
	return streams
}

func answeredFraction(report *loader.Report, workload string) float64 {
	total := 0
	for _, outcome := range report.Outcomes {
		if outcome.Workload == workload {
			total++
		}
	}
	return float64(report.Count(workload, loader.Answered)) / float64(max(1, total))
}
