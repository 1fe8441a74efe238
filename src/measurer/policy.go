package measurer

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/rosecroft/rosecroft/src/deployer"
	"github.com/rosecroft/rosecroft/src/injector"
	"github.com/rosecroft/rosecroft/src/loader"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/standin"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	policyLoadDuration = 16 * time.Second
	// targetFraction is the fraction of calls that must meet the latency target.
	targetFraction   = 0.95
	firstTokenTarget = time.Second
	waveAt           = 6 * time.Second
	perThousand      = 1000
	// Long prompts with shared prefixes, as the example deployments' bulletins and diaries have.
	policyPrefixes     = 6
	policyPrefixBytes  = 32 << 10
	policyPromptBytes  = 1 << 10
	policyOutputTokens = 96
	tokenGapTarget     = 27 * time.Millisecond
	// The streams of a wave last for several seconds, longer than the notice, so that
	// they have to continue on other engines.
	waveOutputTokens = 3000
	waveRateFraction = 0.1
	waveNotice       = 3 * time.Second
)

// waveNote states the limitations of a single wave; it is printed below the figures.
const waveNote = "One wave with few streams is a small sample. Round-robin's 0 is not explained: each entry's turn begins at the same engine, so that few of its calls may have reached the engines that left, but no run has shown that this is the cause."

var policies = []parser.Policy{parser.PrefixCost, parser.RoundRobin, parser.LeastLoaded}

// trial is one run of a policy on a fleet with a number of engines.
type trial struct {
	policy  parser.Policy
	engines int
	report  *loader.Report
	// engineCost is the total price of the model engines held during the load.
	engineCost float64
	// metTarget is the number of streams that met the latency target.
	metTarget int
	// recomputed is the number of tokens that engines computed again to continue streams.
	recomputed int
	verdict    *injector.Verdict
	// startedAt is when the load started; recomputations are the recomputed tokens from
	// the engines' journals.
	startedAt      time.Time
	recomputations []standin.JournalEvent
}

// costPerThousand returns the engines' price per 1,000 calls that met the target.
func (t *trial) costPerThousand() float64 {
	return t.engineCost / float64(max(1, t.metTarget)) * perThousand
}

// meetsTarget reports whether at least targetFraction of the calls met the target.
func (t *trial) meetsTarget() bool {
	return float64(t.metTarget) >= targetFraction*float64(len(t.report.Outcomes))
}

// recomputedPerThousand returns the recomputed tokens per 1,000 output tokens.
func (t *trial) recomputedPerThousand() float64 {
	return float64(t.recomputed) / float64(max(1, t.report.Tokens())) * perThousand
}

// PolicyCost finds, for one deployment and each policy, the smallest fleet that meets the
// latency target without failures, and its cost.
func (b *Bench) PolicyCost(ctx context.Context, name string) (*Result, error) {
	rate, engines := fullLoad(name)
	sizes := []int{engines / 4, engines / 3, engines / 2, engines * 3 / 4, engines}
	result := b.newResult("cost-"+name, fmt.Sprintf("Cost at the latency target, %s: %.0f streams a second with long shared prompts; the smallest fleet of which 95 of 100 calls had their first token within 1 s and 27 ms between tokens at their 95th percentile.", name, rate))
	trials := make(map[parser.Policy][]*trial)
	best := make(map[parser.Policy]*trial)
	for _, policy := range policies {
		for _, size := range sizes {
			t, err := b.runTrial(ctx, name, policy, size, calmConditions(rate))
			if err != nil {
				return nil, err
			}
			trials[policy] = append(trials[policy], t)
			if t.meetsTarget() {
				best[policy] = t
				break
			}
		}
		addCost(result, policy, trials[policy], best[policy])
	}
	result.Plots = []string{"cost-" + name + ".svg"}
	return result, plotCost(filepath.Join(b.Root, resultsFolder, result.Plots[0]), trials)
}

// ReclaimWave measures, for one deployment, the recomputation and cost of each policy on
// the full fleet when all model engines of a data centre are reclaimed at once.
func (b *Bench) ReclaimWave(ctx context.Context, name string) (*Result, error) {
	result := b.newResult("wave-"+name, fmt.Sprintf("A wave takes a data centre's engines back on a notice of %s, %s: streams of %d tokens with long shared prompts, on the full fleet. One run for each policy, in which a few streams are on the engines that leave.", waveNotice, name, waveOutputTokens))
	result.Note = waveNote
	rate, engines := fullLoad(name)
	var trials []*trial
	for _, policy := range policies {
		t, err := b.runTrial(ctx, name, policy, engines, waveConditions(rate))
		if err != nil {
			return nil, err
		}
		addWave(result, t)
		trials = append(trials, t)
	}
	result.Plots = []string{"wave-" + name + ".svg"}
	return result, plotWave(filepath.Join(b.Root, resultsFolder, result.Plots[0]), trials)
}

// fullLoad returns a deployment's load without failures, in streams per second, and
// its number of engines.
func fullLoad(name string) (rate float64, engines int) {
	if name == "cooperativa" {
		return 24, 12
	}
	return 40, 18
}

func addCost(result *Result, policy parser.Policy, trials []*trial, best *trial) {
	if best == nil {
		last := trials[len(trials)-1]
		result.Add(string(policy)+": calm", "target not met",
			fmt.Sprintf("%d of %d calls good with %d engines", last.metTarget, len(last.report.Outcomes), last.engines), "")
		return
	}
	result.Add(string(policy)+": calm, cost of 1,000 good calls", fmt.Sprintf("%.4f", best.costPerThousand()),
		fmt.Sprintf("%d engines, %d of %d calls good", best.engines, best.metTarget, len(best.report.Outcomes)),
		"prefix-cost 30% below the best baseline")
}

func addWave(result *Result, t *trial) {
	result.Add(string(t.policy)+": wave, recomputed tokens per 1,000", fmt.Sprintf("%.1f", t.recomputedPerThousand()),
		t.verdict.String(), "a tenth of the best baseline's")
	result.Add(string(t.policy)+": wave, cost of 1,000 good calls", fmt.Sprintf("%.4f", t.costPerThousand()),
		fmt.Sprintf("%d engines, %d of %d calls good", t.engines, t.metTarget, len(t.report.Outcomes)), "")
}

// trialConditions are the load of a trial and the failures injected into it.
type trialConditions struct {
	rate         float64
	outputTokens int
	schedule     []injector.ScheduledFault
	// engineArguments are extra command-line arguments of the engines.
	engineArguments []string
}

func calmConditions(rate float64) trialConditions {
	return trialConditions{
		rate:         rate,
		outputTokens: policyOutputTokens,
	}
}

// waveConditions reclaims a data centre's engines with a notice shorter than the streams.
func waveConditions(rate float64) trialConditions {
	return trialConditions{
		rate:         rate * waveRateFraction,
		outputTokens: waveOutputTokens,
		schedule: []injector.ScheduledFault{{
			At:   waveAt,
			Kind: injector.ReclaimDataCentre,
		}},
		engineArguments: []string{"--notice", waveNotice.String()},
	}
}

// runTrial runs a policy on a fleet with a number of engines.
func (b *Bench) runTrial(ctx context.Context, name string, policy parser.Policy, engines int, conditions trialConditions) (*trial, error) {
	cluster, cleanup, err := b.newCluster()
	if err != nil {
		return nil, err
	}
	defer cleanup()
	d := b.deployment(name)
	d.Pools[0].Count = engines
	d.Pools[0].Offers = d.Pools[0].Offers[:1]
	d.Pools[0].Arguments = append(d.Pools[0].Arguments, conditions.engineArguments...)
	d.Pools[1].Count = 1
	if err := setPolicy(d, policy, cluster.Folder); err != nil {
		return nil, err
	}
	fleet, err := d.Start(ctx, cluster)
	if err != nil {
		return nil, err
	}
	workloads := fleet.MixedWorkloads(deployer.Rates{Stream: conditions.rate})
	for _, workload := range workloads {
		workload.Prefixes = policyPrefixes
		workload.PrefixBytes = policyPrefixBytes
		workload.PromptBytes = policyPromptBytes
		workload.OutputTokens = conditions.outputTokens
	}
	duration := b.loadDuration(policyLoadDuration)
	faultInjector := &injector.Injector{
		Fleet:    fleet,
		Schedule: conditions.schedule,
		Log:      os.Stdout,
	}
	injected := make(chan error, 1)
	go func() { injected <- faultInjector.Run(ctx) }()
	startedAt := time.Now()
	report := b.runLoad(ctx, string(policy), fleet.EntryURLs(), workloads, duration, true)
	if err := <-injected; err != nil {
		return nil, err
	}
	truth, err := injector.ReadGroundTruth(fleet.Journals)
	if err != nil {
		return nil, err
	}
	t := &trial{
		policy:         policy,
		engines:        engines,
		report:         report,
		engineCost:     engineCostBetween(fleet, startedAt, time.Now()),
		metTarget:      report.CountWithinTargets(firstTokenTarget, tokenGapTarget),
		recomputed:     truth.RecomputedTokens(),
		verdict:        injector.Check(report, truth, conditions.schedule),
		startedAt:      startedAt,
		recomputations: truth.Recomputed,
	}
	fmt.Printf("%s %s engines=%d good=%d of %d first-token %s cost=%.4f recomputed=%.1f %s\n", name, policy, engines, t.metTarget,
		len(report.Outcomes), formatPercentiles(report.FirstTokenLatencies()), t.costPerThousand(), t.recomputedPerThousand(), t.verdict)
	return t, nil
}

// engineCostBetween returns the price of the time for which model engines were held between two times.
func engineCostBetween(fleet *deployer.Fleet, from, to time.Time) float64 {
	total := 0.0
	for _, member := range fleet.Upstreams {
		if member.Pool.UpstreamKind != "engine" {
			continue
		}
		end := to
		if !member.Stopped.IsZero() && member.Stopped.Before(to) {
			end = member.Stopped
		}
		begin := from
		if member.Started.After(from) {
			begin = member.Started
		}
		total += units.Price(member.Offer.Price).Cost(max(0, end.Sub(begin)))
	}
	return total
}
