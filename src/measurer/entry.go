package measurer

import (
	"context"
	"fmt"
	"time"

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
	before, err := read(stage.Entries[0].PID())
	if err != nil {
		return nil, err
	}
	span := b.span(latencySpan)
	through := b.load(ctx, "through", fleet.EntryURLs(), workloads, span, false)
	after, err := read(stage.Entries[0].PID())
	if err != nil {
		return nil, err
	}
	straight := b.load(ctx, "direct", direct, workloads, span, false)
	result := b.result("latency", fmt.Sprintf("What one entry adds: %d streams a second of %d tokens, through the entry and straight to the engines.", latencyRate, latencyTokens))
	addLatency(result, through, straight)
	tokens := through.Tokens()
	perToken := (after.processor - before.processor) / time.Duration(max(1, tokens))
	result.Add("processor time a forwarded token", short(perToken), fmt.Sprintf("%d tokens", tokens), "at most 20µs")
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
