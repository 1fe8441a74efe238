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
	latencyLoadDuration = 20 * time.Second
	latencyRate         = 100
	latencyOutputTokens = 64
	latencyEngines      = 6
	longOutputTokens    = 256
	healthCheckCount    = 500
	healthCheckPause    = 5 * time.Millisecond
	openStreamCount     = 400
	openStreamTokens    = 4000
	openStreamTimeout   = 5 * time.Second
)

// startSingleEntry starts a deployment with one entry and latencyEngines engines.
func (b *Bench) startSingleEntry(ctx context.Context, cluster *stager.Cluster) (*deployer.Fleet, error) {
	d := b.deployment("hearthline")
	d.Entries = 1
	d.Pools[0].Count = latencyEngines
	d.Pools[1].Count = 1
	if err := setPolicy(d, parser.PrefixCost, cluster.Folder); err != nil {
		return nil, err
	}
	return d.Start(ctx, cluster)
}

// EntryLatency measures the latency, processor time and memory that an entry adds: it
// sends the same load first through the entry and then directly to the engines, in one run.
func (b *Bench) EntryLatency(ctx context.Context) (*Result, error) {
	cluster, cleanup, err := b.newCluster()
	if err != nil {
		return nil, err
	}
	defer cleanup()
	fleet, err := b.startSingleEntry(ctx, cluster)
	if err != nil {
		return nil, err
	}
	workloads := fleet.MixedWorkloads(deployer.Rates{Stream: latencyRate})
	for _, workload := range workloads {
		workload.PrefixBytes = 0
		workload.OutputTokens = latencyOutputTokens
	}
	engineURLs := make([]string, 0, latencyEngines)
	for _, member := range fleet.Upstreams[:latencyEngines] {
		engineURLs = append(engineURLs, member.URL)
	}
	duration := b.loadDuration(latencyLoadDuration)
	viaEntry, cpuTime, err := b.runLoadViaEntry(ctx, fleet, workloads, duration)
	if err != nil {
		return nil, err
	}
	direct := b.runLoad(ctx, "direct", engineURLs, workloads, duration, false)
	result := b.newResult("latency", fmt.Sprintf("What one entry adds: %d streams a second of %d tokens, through the entry and straight to the engines.", latencyRate, latencyOutputTokens))
	addLatency(result, viaEntry, direct)
	result.Add("bare exchange with the entry (/healthz)", formatPercentiles(healthCheckTimes(ctx, fleet)), fmt.Sprintf("%d exchanges", healthCheckCount), "")
	for _, workload := range workloads {
		workload.OutputTokens = longOutputTokens
	}
	long, longCPUTime, err := b.runLoadViaEntry(ctx, fleet, workloads, duration)
	if err != nil {
		return nil, err
	}
	addCPUTime(result, viaEntry, long, cpuTime, longCPUTime)
	bytesPerStream, err := b.memoryPerStream(ctx, fleet)
	if err != nil {
		return nil, err
	}
	result.Add("resident memory an open stream", fmt.Sprintf("%.1f KB", bytesPerStream/1000), fmt.Sprintf("%d streams", openStreamCount), "at most 64 KB")
	return result, nil
}

func addLatency(result *Result, viaEntry, direct *loader.Report) {
	viaEntryTimes := viaEntry.FirstTokenLatencies()
	directTimes := direct.FirstTokenLatencies()
	result.Add("first token through the entry", formatPercentiles(viaEntryTimes), fmt.Sprintf("%d streams", viaEntryTimes.TotalCount()), "")
	result.Add("first token straight", formatPercentiles(directTimes), fmt.Sprintf("%d streams", directTimes.TotalCount()), "")
	result.Add("added at p50", formatDuration(durationAt(viaEntryTimes, 50)-durationAt(directTimes, 50)), "", "at most 0.5ms")
	result.Add("added at p99", formatDuration(durationAt(viaEntryTimes, 99)-durationAt(directTimes, 99)), "", "at most 3ms")
	result.Add("lost or failed", fmt.Sprint(viaEntry.Count("", loader.Lost)+viaEntry.Count("", loader.Failed)), "", "0")
}

// runLoadViaEntry sends a load through the entry and also returns the processor time
// that the entry used.
func (b *Bench) runLoadViaEntry(ctx context.Context, fleet *deployer.Fleet, workloads []*loader.Workload, duration time.Duration) (*loader.Report, time.Duration, error) {
	pid := fleet.Cluster.Entries[0].PID()
	before, err := readUsage(pid)
	if err != nil {
		return nil, 0, err
	}
	report := b.runLoad(ctx, "through", fleet.EntryURLs(), workloads, duration, false)
	after, err := readUsage(pid)
	return report, after.cpuTime - before.cpuTime, err
}

// addCPUTime separates the cost of a token from that of a call, by two loads with the
// same number of calls but different output lengths.
func addCPUTime(result *Result, short, long *loader.Report, shortCPUTime, longCPUTime time.Duration) {
	extraTokens := max(1, long.Tokens()-short.Tokens())
	perToken := (longCPUTime - shortCPUTime) / time.Duration(extraTokens)
	calls := time.Duration(max(1, len(short.Outcomes)))
	perCall := shortCPUTime/calls - latencyOutputTokens*perToken
	result.Add("processor time of one more forwarded token", formatDuration(perToken), fmt.Sprintf("%d and %d tokens", short.Tokens(), long.Tokens()), "at most 20µs")
	result.Add("processor time of a call beside its tokens", formatDuration(perCall), fmt.Sprintf("%d calls", len(short.Outcomes)), "")
	result.Add("all processor time over all tokens", formatDuration(longCPUTime/time.Duration(max(1, long.Tokens()))), fmt.Sprintf("calls of %d tokens", longOutputTokens), "")
}

// healthCheckTimes measures the smallest exchange with the entry, as a baseline for
// the latency of HTTP on this machine.
func healthCheckTimes(ctx context.Context, fleet *deployer.Fleet) *hdrhistogram.Histogram {
	histogram := hdrhistogram.New(1, histogramMax, histogramDigits)
	for range healthCheckCount {
		start := time.Now()
		sendRequest(ctx, http.MethodGet, fleet.EntryURLs()[0]+"/healthz", "")
		_ = histogram.RecordValue(int64(time.Since(start)))
		time.Sleep(healthCheckPause)
	}
	return histogram
}

// memoryPerStream returns how many resident bytes each open stream adds to the entry.
func (b *Bench) memoryPerStream(ctx context.Context, fleet *deployer.Fleet) (float64, error) {
	pid := fleet.Cluster.Entries[0].PID()
	idle, err := readUsage(pid)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, openStreamTimeout)
	defer cancel()
	workloads := fleet.MixedWorkloads(deployer.Rates{Stream: openStreamCount})
	for _, workload := range workloads {
		workload.OutputTokens = openStreamTokens
		workload.PrefixBytes = 0
	}
	done := make(chan struct{})
	go func() {
		b.runLoad(ctx, "open", fleet.EntryURLs(), workloads, time.Second, false)
		close(done)
	}()
	time.Sleep(openStreamTimeout * 3 / 4)
	busy, err := readUsage(pid)
	if err != nil {
		return 0, err
	}
	<-done
	return float64(busy.residentBytes-idle.residentBytes) / openStreamCount, nil
}
