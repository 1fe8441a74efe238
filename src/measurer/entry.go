package measurer

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rosecroft/rosecroft/src/deployer"
	"github.com/rosecroft/rosecroft/src/loader"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/stager"
)

const (
	latencySpan    = 20 * time.Second
	latencyRate    = 100
	latencyTokens  = 64
	latencyEngines = 6
	longTokens     = 256
	bareCount      = 500
	barePause      = 5 * time.Millisecond
	openStreams    = 400
	openTokens     = 4000
	openHold       = 5 * time.Second
)

// one starts a deployment with one entry and a few engines.
func (b *Bench) one(ctx context.Context, stage *stager.Stage) (*deployer.Fleet, error) {
	d := b.deployment("hearthline")
	d.Entries = 1
	d.Pools[0].Count = latencyEngines
	d.Pools[1].Count = 1
	if err := withPolicy(d, parser.PrefixCost, stage.Folder); err != nil {
		return nil, err
	}
	return d.Start(ctx, stage)
}

// Latency measures what an entry adds to direct calls, alternating both in one run.
func (b *Bench) Latency(ctx context.Context) (*Result, error) {
	stage, remove, err := b.stage()
	if err != nil {
		return nil, err
	}
	defer remove()
	fleet, err := b.one(ctx, stage)
	if err != nil {
		return nil, err
	}
	workloads := fleet.Mixed(deployer.Rates{Stream: latencyRate})
	for _, workload := range workloads {
		workload.PrefixBytes = 0
		workload.OutputTokens = latencyTokens
	}
	direct := make([]string, 0, latencyEngines)
	for _, member := range fleet.Upstreams[:latencyEngines] {
		direct = append(direct, member.URL)
	}
	span := b.span(latencySpan)
	through, used, err := b.processor(ctx, fleet, workloads, span)
	if err != nil {
		return nil, err
	}
	straight := b.load(ctx, "direct", direct, workloads, span, false)
	result := b.result("latency", fmt.Sprintf("What one entry adds: %d streams a second of %d tokens, through the entry and straight to the engines.", latencyRate, latencyTokens))
	addLatency(result, through, straight)
	result.Add("bare exchange with the entry (/healthz)", quantiles(bareExchange(ctx, fleet)), fmt.Sprintf("%d exchanges", bareCount), "")
	for _, workload := range workloads {
		workload.OutputTokens = longTokens
	}
	long, longUsed, err := b.processor(ctx, fleet, workloads, span)
	if err != nil {
		return nil, err
	}
	addProcessor(result, through, long, used, longUsed)
	perStream, err := b.memory(ctx, fleet)
	if err != nil {
		return nil, err
	}
	result.Add("resident memory an open stream", fmt.Sprintf("%.1f KB", perStream/1000), fmt.Sprintf("%d streams", openStreams), "at most 64 KB")
	return result, nil
}

func addLatency(result *Result, through, straight *loader.Report) {
	entry := through.FirstTokens()
	engine := straight.FirstTokens()
	result.Add("first token through the entry", quantiles(entry), fmt.Sprintf("%d streams", entry.TotalCount()), "")
	result.Add("first token straight", quantiles(engine), fmt.Sprintf("%d streams", engine.TotalCount()), "")
	result.Add("added at p50", short(at(entry, 50)-at(engine, 50)), "", "at most 0.5ms")
	result.Add("added at p99", short(at(entry, 99)-at(engine, 99)), "", "at most 3ms")
	result.Add("lost or failed", fmt.Sprint(through.Count("", loader.Lost)+through.Count("", loader.Failed)), "", "0")
}

// processor makes calls through the entry and returns the processor time that it used.
func (b *Bench) processor(ctx context.Context, fleet *deployer.Fleet, workloads []*loader.Workload, span time.Duration) (*loader.Report, time.Duration, error) {
	pid := fleet.Stage.Entries[0].PID()
	before, err := read(pid)
	if err != nil {
		return nil, 0, err
	}
	report := b.load(ctx, "through", fleet.EntryURLs(), workloads, span, false)
	after, err := read(pid)
	return report, after.processor - before.processor, err
}

// addProcessor tells a token's cost from a call's by two loads of as many calls
// with other lengths.
func addProcessor(result *Result, brief, long *loader.Report, briefUsed, longUsed time.Duration) {
	more := max(1, long.Tokens()-brief.Tokens())
	perToken := (longUsed - briefUsed) / time.Duration(more)
	calls := time.Duration(max(1, len(brief.Outcomes)))
	perCall := briefUsed/calls - latencyTokens*perToken
	result.Add("processor time of one more forwarded token", short(perToken), fmt.Sprintf("%d and %d tokens", brief.Tokens(), long.Tokens()), "at most 20µs")
	result.Add("processor time of a call beside its tokens", short(perCall), fmt.Sprintf("%d calls", len(brief.Outcomes)), "")
	result.Add("all processor time over all tokens", short(longUsed/time.Duration(max(1, long.Tokens()))), fmt.Sprintf("calls of %d tokens", longTokens), "")
}

// bareExchange returns how long the smallest exchange with an entry takes here.
func bareExchange(ctx context.Context, fleet *deployer.Fleet) *hdrhistogram.Histogram {
	histogram := hdrhistogram.New(1, histogramMost, histogramDigits)
	for range bareCount {
		began := time.Now()
		ask(ctx, http.MethodGet, fleet.EntryURLs()[0]+"/healthz", "")
		_ = histogram.RecordValue(int64(time.Since(began)))
		time.Sleep(barePause)
	}
	return histogram
}

// memory returns the resident bytes that an open stream costs the entry.
func (b *Bench) memory(ctx context.Context, fleet *deployer.Fleet) (float64, error) {
	pid := fleet.Stage.Entries[0].PID()
	idle, err := read(pid)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, openHold)
	defer cancel()
	workloads := fleet.Mixed(deployer.Rates{Stream: openStreams})
	for _, workload := range workloads {
		workload.OutputTokens = openTokens
		workload.PrefixBytes = 0
	}
	done := make(chan struct{})
	go func() {
		b.load(ctx, "open", fleet.EntryURLs(), workloads, time.Second, false)
		close(done)
	}()
	time.Sleep(openHold * 3 / 4)
	busy, err := read(pid)
	if err != nil {
		return 0, err
	}
	<-done
	return float64(busy.resident-idle.resident) / openStreams, nil
}
