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
	policySpan = 16 * time.Second
	// goodShare is the share of calls that must meet the target.
	goodShare   = 0.95
	firstToken  = time.Second
	waveAt      = 6 * time.Second
	perThousand = 1000
	// Long prompts that share their beginnings, as bulletins and diaries do.
	policyPrefixes     = 6
	policyPrefixBytes  = 32 << 10
	policyPromptBytes  = 1 << 10
	policyOutputTokens = 96
	betweenTokens      = 27 * time.Millisecond
	// In a wave the streams last for seconds and the notice is shorter.
	waveOutputTokens = 3000
	waveRateShare    = 0.1
	waveNotice       = 3 * time.Second
)

// waveNote says what one wave cannot show.
const waveNote = "One wave with few streams is a small sample. Round-robin's 0 is not explained: each entry's turn begins at the same engine, so that few of its calls may have reached the engines that left, but no run has shown that this is the cause."

var policies = []parser.Policy{parser.PrefixCost, parser.RoundRobin, parser.LeastLoaded}

// trial is one run of one policy on one size of fleet.
type trial struct {
	policy  parser.Policy
	engines int
	report  *loader.Report
	// spent is the price of the model engines held during the load.
	spent float64
	// good is how many streams met the target.
	good int
	// recomputed counts tokens that engines computed again for streams that went on.
	recomputed int
	verdict    *injector.Verdict
	// began is when the load began, again what engines computed anew since.
	began time.Time
	again []standin.Line
}

// costPerThousand is the price of the engines for 1,000 calls that met the target.
func (t *trial) costPerThousand() float64 {
	return t.spent / float64(max(1, t.good)) * perThousand
}

// meets reports whether enough calls met the target.
func (t *trial) meets() bool {
	return float64(t.good) >= goodShare*float64(len(t.report.Outcomes))
}

// recomputedPerThousand is for 1,000 output tokens.
func (t *trial) recomputedPerThousand() float64 {
	return float64(t.recomputed) / float64(max(1, t.report.Tokens())) * perThousand
}

// Cost measures, for one deployment, the cheapest fleet with which each policy
// meets the target, calm.
func (b *Bench) Cost(ctx context.Context, name string) (*Result, error) {
	rate, engines := fullLoad(name)
	sizes := []int{engines / 4, engines / 3, engines / 2, engines * 3 / 4, engines}
	result := b.result("cost-"+name, fmt.Sprintf("Cost at the latency target, %s: %.0f streams a second with long shared prompts; the smallest fleet of which 95 of 100 calls had their first token within 1 s and 27 ms between tokens at their 95th percentile.", name, rate))
	curves := make(map[parser.Policy][]*trial)
	best := make(map[parser.Policy]*trial)
	for _, policy := range policies {
		for _, size := range sizes {
			t, err := b.trial(ctx, name, policy, size, calm(rate))
			if err != nil {
				return nil, err
			}
			curves[policy] = append(curves[policy], t)
			if t.meets() {
				best[policy] = t
				break
			}
		}
		addCost(result, policy, curves[policy], best[policy])
	}
	result.Plots = []string{"cost-" + name + ".svg"}
	return result, plotCost(filepath.Join(b.Root, resultsFolder, result.Plots[0]), curves)
}

// Wave measures, for one deployment, what a wave over a data centre costs each
// policy on the full fleet.
func (b *Bench) Wave(ctx context.Context, name string) (*Result, error) {
	result := b.result("wave-"+name, fmt.Sprintf("A wave takes a data centre's engines back on a notice of %s, %s: streams of %d tokens with long shared prompts, on the full fleet. One run for each policy, in which a few streams are on the engines that leave.", waveNotice, name, waveOutputTokens))
	result.Note = waveNote
	rate, engines := fullLoad(name)
	var waves []*trial
	for _, policy := range policies {
		t, err := b.trial(ctx, name, policy, engines, wave(rate))
		if err != nil {
			return nil, err
		}
		addWave(result, t)
		waves = append(waves, t)
	}
	result.Plots = []string{"wave-" + name + ".svg"}
	return result, plotWave(filepath.Join(b.Root, resultsFolder, result.Plots[0]), waves)
}

// fullLoad returns the calm load of a deployment and how many engines it has.
func fullLoad(name string) (rate float64, engines int) {
	if name == "cooperativa" {
		return 24, 12
	}
	return 40, 18
}

func addCost(result *Result, policy parser.Policy, curve []*trial, best *trial) {
	if best == nil {
		last := curve[len(curve)-1]
		result.Add(string(policy)+": calm", "target not met",
			fmt.Sprintf("%d of %d calls good with %d engines", last.good, len(last.report.Outcomes), last.engines), "")
		return
	}
	result.Add(string(policy)+": calm, cost of 1,000 good calls", fmt.Sprintf("%.4f", best.costPerThousand()),
		fmt.Sprintf("%d engines, %d of %d calls good", best.engines, best.good, len(best.report.Outcomes)),
		"prefix-cost 30% below the best baseline")
}

func addWave(result *Result, t *trial) {
	result.Add(string(t.policy)+": wave, recomputed tokens per 1,000", fmt.Sprintf("%.1f", t.recomputedPerThousand()),
		t.verdict.String(), "a tenth of the best baseline's")
	result.Add(string(t.policy)+": wave, cost of 1,000 good calls", fmt.Sprintf("%.4f", t.costPerThousand()),
		fmt.Sprintf("%d engines, %d of %d calls good", t.engines, t.good, len(t.report.Outcomes)), "")
}

// conditions are the load and the failures of a trial.
type conditions struct {
	rate     float64
	tokens   int
	schedule []injector.Step
	// arguments are further options of the engines.
	arguments []string
}

func calm(rate float64) conditions {
	return conditions{
		rate:   rate,
		tokens: policyOutputTokens,
	}
}

// wave takes a data centre's engines back on a notice that the streams outlast.
func wave(rate float64) conditions {
	return conditions{
		rate:   rate * waveRateShare,
		tokens: waveOutputTokens,
		schedule: []injector.Step{{
			At:  waveAt,
			Act: injector.Wave,
		}},
		arguments: []string{"--notice", waveNotice.String()},
	}
}

// trial runs one policy on a fleet of a size.
func (b *Bench) trial(ctx context.Context, name string, policy parser.Policy, engines int, under conditions) (*trial, error) {
	stage, remove, err := b.stage()
	if err != nil {
		return nil, err
	}
	defer remove()
	d := b.deployment(name)
	d.Pools[0].Count = engines
	d.Pools[0].Offers = d.Pools[0].Offers[:1]
	d.Pools[0].Arguments = append(d.Pools[0].Arguments, under.arguments...)
	d.Pools[1].Count = 1
	if err := withPolicy(d, policy, stage.Folder); err != nil {
		return nil, err
	}
	fleet, err := d.Start(ctx, stage)
	if err != nil {
		return nil, err
	}
	workloads := fleet.Mixed(deployer.Rates{Stream: under.rate})
	for _, workload := range workloads {
		workload.Prefixes = policyPrefixes
		workload.PrefixBytes = policyPrefixBytes
		workload.PromptBytes = policyPromptBytes
		workload.OutputTokens = under.tokens
	}
	span := b.span(policySpan)
	wrecking := &injector.Injector{
		Fleet:    fleet,
		Schedule: under.schedule,
		Log:      os.Stdout,
	}
	wrecked := make(chan error, 1)
	go func() { wrecked <- wrecking.Run(ctx) }()
	began := time.Now()
	report := b.load(ctx, string(policy), fleet.EntryURLs(), workloads, span, true)
	if err := <-wrecked; err != nil {
		return nil, err
	}
	truth, err := injector.ReadTruth(fleet.Journals)
	if err != nil {
		return nil, err
	}
	t := &trial{
		policy:     policy,
		engines:    engines,
		report:     report,
		spent:      spent(fleet, began, time.Now()),
		good:       report.Within(firstToken, betweenTokens),
		recomputed: truth.RecomputedTokens(),
		verdict:    injector.Check(report, truth, under.schedule),
		began:      began,
		again:      truth.Recomputed,
	}
	fmt.Printf("%s %s engines=%d good=%d of %d first-token %s cost=%.4f recomputed=%.1f %s\n", name, policy, engines, t.good,
		len(report.Outcomes), quantiles(report.FirstTokens()), t.costPerThousand(), t.recomputedPerThousand(), t.verdict)
	return t, nil
}

// spent returns the price of the model engines held between two moments.
func spent(fleet *deployer.Fleet, from, to time.Time) float64 {
	total := 0.0
	for _, member := range fleet.Upstreams {
		if member.Pool.Kind != "engine" {
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
