package measurer

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"time"

	"github.com/rosecroft/rosecroft/src/stager"
)

const (
	observationDuration = 20 * time.Second
	settleTime          = 6 * time.Second
	// busyChangeInterval is the interval between changes at 9,200 changes per day.
	busyChangeInterval = 9 * time.Second
	kilobyte           = 1000
	megabyte           = 1000 * kilobyte
)

var (
	entryCounts  = []int{8, 16, 32, 64}
	engineCounts = []int{1, 15, 47}
)

// controlCost is what the control traffic costs each process at one fleet size.
type controlCost struct {
	entries int
	// The CPU values are fractions of one core. The entry values are the mean of all
	// entries; maxFollowerCPU is the highest of all followers. Memory is in bytes.
	entryCPU, leaderCPU, maxFollowerCPU             float64
	entryMemory, leaderMemory                       int64
	entryBytesPerSecond, leaderBytesPerSecond       float64
	entryMessagesPerSecond, leaderMessagesPerSecond float64
}

// ControlCostByEntries measures what control costs an entry and the control leader as
// the number of entries grows, without any calls: first without configuration changes,
// then with one every nine seconds.
func (b *Bench) ControlCostByEntries(ctx context.Context) (*Result, error) {
	result := b.newResult("slopes", "What control costs while no calls are made: share of a core, resident memory and bytes a second, for the mean entry and for the control leader, at growing sizes of fleet. A change every 9 s is the pace of 9,200 a day.")
	counts := entryCounts
	if b.Quick {
		counts = counts[:2]
	}
	var calm, busy []controlCost
	for _, count := range counts {
		calmCost, busyCost, err := b.measureCalmAndBusy(ctx, count)
		if err != nil {
			return nil, err
		}
		calm = append(calm, calmCost)
		busy = append(busy, busyCost)
		addControlCost(result, "calm", calmCost)
		addControlCost(result, "a change every 9 s", busyCost)
	}
	result.Plots = []string{"slopes-processor.svg", "slopes-bytes.svg"}
	return result, b.plotControlCosts(calm, busy)
}

// ControlCostByUpstreams measures what control costs as the number of upstreams grows,
// with a fixed number of entries.
func (b *Bench) ControlCostByUpstreams(ctx context.Context) (*Result, error) {
	result := b.newResult("upstreams", fmt.Sprintf("What control costs %d entries while no calls are made, by the count of upstreams that announce themselves to every entry.", changeEntries))
	for _, engines := range engineCounts {
		calm, err := b.measureCalm(ctx, changeEntries, engines)
		if err != nil {
			return nil, err
		}
		addControlCost(result, fmt.Sprintf("%d upstreams, calm", engines+1), calm)
	}
	return result, nil
}

func (b *Bench) measureCalm(ctx context.Context, entries, engines int) (controlCost, error) {
	o, cleanup, err := b.startIdleFleet(ctx, entries, engines)
	if err != nil {
		return controlCost{}, err
	}
	defer cleanup()
	cost, err := b.observe(ctx, o, func() error { return nil })
	cost.entries = entries
	return cost, err
}

func addControlCost(result *Result, name string, cost controlCost) {
	prefix := fmt.Sprintf("%d nodes, %s: ", cost.entries, name)
	result.Add(prefix+"entry", fmt.Sprintf("%.2f%% of a core, %.1f MB resident, %.2f KB/s, %.1f messages/s",
		100*cost.entryCPU, float64(cost.entryMemory)/megabyte, cost.entryBytesPerSecond/kilobyte, cost.entryMessagesPerSecond), "mean of the entries", "4.2%, 32 MB, 12 KB/s")
	result.Add(prefix+"leader", fmt.Sprintf("%.2f%% of a core, %.1f MB resident, %.2f KB/s, %.1f messages/s",
		100*cost.leaderCPU, float64(cost.leaderMemory)/megabyte, cost.leaderBytesPerSecond/kilobyte, cost.leaderMessagesPerSecond), fmt.Sprintf("followers %.2f%% of a core", 100*cost.maxFollowerCPU), "")
}

// startIdleFleet starts a fleet that gets no calls and waits settleTime for its start-up
// traffic to end.
func (b *Bench) startIdleFleet(ctx context.Context, entries, engines int) (*operatorClient, func(), error) {
	cluster, cleanup, err := b.newCluster()
	if err != nil {
		return nil, nil, err
	}
	d := b.deployment("hearthline")
	d.Entries = entries
	d.Pools[0].Count = engines
	d.Pools[1].Count = 1
	if _, err := d.Start(ctx, cluster); err != nil {
		cleanup()
		return nil, nil, err
	}
	o, err := newOperatorClient(d, cluster)
	if err != nil {
		cleanup()
		return nil, nil, err
	}
	time.Sleep(settleTime)
	return o, cleanup, nil
}

func (b *Bench) measureCalmAndBusy(ctx context.Context, entries int) (calm, busy controlCost, err error) {
	o, cleanup, err := b.startIdleFleet(ctx, entries, 1)
	if err != nil {
		return calm, busy, err
	}
	defer cleanup()
	calm, err = b.observe(ctx, o, func() error { return nil })
	if err != nil {
		return calm, busy, err
	}
	busy, err = b.observe(ctx, o, func() error {
		_, err := o.submitNextVersion(ctx)
		return err
	})
	calm.entries = entries
	busy.entries = entries
	return calm, busy, err
}

// observe measures every process's usage over observationDuration, with action called
// every nine seconds.
func (b *Bench) observe(ctx context.Context, o *operatorClient, action func() error) (controlCost, error) {
	leader, err := o.findLeader(ctx)
	if err != nil {
		return controlCost{}, err
	}
	before, err := sampleProcesses(ctx, o.cluster)
	if err != nil {
		return controlCost{}, err
	}
	start := time.Now()
	duration := b.loadDuration(observationDuration)
	for time.Since(start) < duration {
		if err := action(); err != nil {
			return controlCost{}, err
		}
		time.Sleep(min(busyChangeInterval, duration-time.Since(start)))
	}
	after, err := sampleProcesses(ctx, o.cluster)
	if err != nil {
		return controlCost{}, err
	}
	return costBetween(o.cluster, leader, before, after, time.Since(start)), nil
}

// processSample is a process's usage and its cumulative traffic with the system's other processes.
type processSample struct {
	usage
	peerBytes    float64
	peerMessages float64
}

func sampleProcesses(ctx context.Context, cluster *stager.Cluster) (map[*stager.Node]processSample, error) {
	samples := make(map[*stager.Node]processSample)
	for _, node := range append(append([]*stager.Node{}, cluster.Controls...), cluster.Entries...) {
		processUsage, err := readUsage(node.PID())
		if err != nil {
			return nil, err
		}
		content, _ := sendRequest(ctx, http.MethodGet, node.OperatorURL()+"/metrics", "")
		samples[node] = processSample{
			usage:        processUsage,
			peerBytes:    counterSum(content, "rosecroft_peer_bytes"),
			peerMessages: counterSum(content, "rosecroft_peer_messages"),
		}
	}
	return samples, nil
}

func costBetween(cluster *stager.Cluster, leader *stager.Node, before, after map[*stager.Node]processSample, duration time.Duration) controlCost {
	cost := controlCost{}
	for _, entry := range cluster.Entries {
		cost.entryCPU += cpuFraction(before[entry], after[entry], duration) / float64(len(cluster.Entries))
		cost.entryMemory += after[entry].residentBytes / int64(len(cluster.Entries))
		cost.entryBytesPerSecond += (after[entry].peerBytes - before[entry].peerBytes) / duration.Seconds() / float64(len(cluster.Entries))
		cost.entryMessagesPerSecond += (after[entry].peerMessages - before[entry].peerMessages) / duration.Seconds() / float64(len(cluster.Entries))
	}
	for _, control := range cluster.Controls {
		if control != leader {
			cost.maxFollowerCPU = max(cost.maxFollowerCPU, cpuFraction(before[control], after[control], duration))
		}
	}
	cost.leaderCPU = cpuFraction(before[leader], after[leader], duration)
	cost.leaderMemory = after[leader].residentBytes
	cost.leaderBytesPerSecond = (after[leader].peerBytes - before[leader].peerBytes) / duration.Seconds()
	cost.leaderMessagesPerSecond = (after[leader].peerMessages - before[leader].peerMessages) / duration.Seconds()
	return cost
}

func cpuFraction(before, after processSample, duration time.Duration) float64 {
	return (after.cpuTime - before.cpuTime).Seconds() / duration.Seconds()
}

// plotControlCosts draws processor usage and traffic against the number of entries.
func (b *Bench) plotControlCosts(calm, busy []controlCost) error {
	folder := filepath.Join(b.Root, resultsFolder)
	processor := []series{
		costSeries("entry, calm", calm, func(s controlCost) float64 { return percent * s.entryCPU }),
		costSeries("entry, changing", busy, func(s controlCost) float64 { return percent * s.entryCPU }),
		costSeries("leader, calm", calm, func(s controlCost) float64 { return percent * s.leaderCPU }),
		costSeries("leader, changing", busy, func(s controlCost) float64 { return percent * s.leaderCPU }),
	}
	if err := writeChart(filepath.Join(folder, "slopes-processor.svg"), "Control's share of a core", "entries", "% of a core", processor); err != nil {
		return err
	}
	traffic := []series{
		costSeries("entry, calm", calm, func(s controlCost) float64 { return s.entryBytesPerSecond / kilobyte }),
		costSeries("entry, changing", busy, func(s controlCost) float64 { return s.entryBytesPerSecond / kilobyte }),
		costSeries("leader, calm", calm, func(s controlCost) float64 { return s.leaderBytesPerSecond / kilobyte }),
		costSeries("leader, changing", busy, func(s controlCost) float64 { return s.leaderBytesPerSecond / kilobyte }),
	}
	return writeChart(filepath.Join(folder, "slopes-bytes.svg"), "Control's traffic", "entries", "KB/s", traffic)
}
