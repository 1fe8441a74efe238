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
	slopeSpan   = 20 * time.Second
	slopeSettle = 6 * time.Second
	// busyChange is the pace that 9,200 changes a day amount to.
	busyChange = 9 * time.Second
	kilobyte   = 1000
	megabyte   = 1000 * kilobyte
)

var (
	slopeNodes     = []int{8, 16, 32, 64}
	slopeUpstreams = []int{1, 15, 47}
)

// slope is what control costs at one size of fleet.
type slope struct {
	nodes int
	// The shares are of one core, entry for the mean of all entries.
	entry, leader, follower       float64
	entryMemory, leaderMemory     int64
	entryBytes, leaderBytes       float64
	entryMessages, leaderMessages float64
}

// Slopes measures what control costs a node and the leader as the fleet grows,
// calm and at one change each nine seconds, without any calls.
func (b *Bench) Slopes(ctx context.Context) (*Result, error) {
	result := b.result("slopes", "What control costs while no calls are made: share of a core, resident memory and bytes a second, for the mean entry and for the control leader, at growing sizes of fleet. A change every 9 s is the pace of 9,200 a day.")
	nodes := slopeNodes
	if b.Quick {
		nodes = nodes[:2]
	}
	var calm, busy []slope
	for _, count := range nodes {
		quiet, changing, err := b.slope(ctx, count)
		if err != nil {
			return nil, err
		}
		calm = append(calm, quiet)
		busy = append(busy, changing)
		addSlope(result, "calm", quiet)
		addSlope(result, "a change every 9 s", changing)
	}
	result.Plots = []string{"slopes-processor.svg", "slopes-bytes.svg"}
	return result, b.plotSlopes(calm, busy)
}

// Upstreams measures what control costs as the upstreams grow at one size of fleet.
func (b *Bench) Upstreams(ctx context.Context) (*Result, error) {
	result := b.result("upstreams", fmt.Sprintf("What control costs %d entries while no calls are made, by the count of upstreams that announce themselves to every entry.", changeEntries))
	for _, engines := range slopeUpstreams {
		calm, err := b.calm(ctx, changeEntries, engines)
		if err != nil {
			return nil, err
		}
		addSlope(result, fmt.Sprintf("%d upstreams, calm", engines+1), calm)
	}
	return result, nil
}

func (b *Bench) calm(ctx context.Context, nodes, engines int) (slope, error) {
	o, remove, err := b.idle(ctx, nodes, engines)
	if err != nil {
		return slope{}, err
	}
	defer remove()
	s, err := b.observe(ctx, o, func() error { return nil })
	s.nodes = nodes
	return s, err
}

func addSlope(result *Result, name string, s slope) {
	prefix := fmt.Sprintf("%d nodes, %s: ", s.nodes, name)
	result.Add(prefix+"entry", fmt.Sprintf("%.2f%% of a core, %.1f MB resident, %.2f KB/s, %.1f messages/s",
		100*s.entry, float64(s.entryMemory)/megabyte, s.entryBytes/kilobyte, s.entryMessages), "mean of the entries", "4.2%, 32 MB, 12 KB/s")
	result.Add(prefix+"leader", fmt.Sprintf("%.2f%% of a core, %.1f MB resident, %.2f KB/s, %.1f messages/s",
		100*s.leader, float64(s.leaderMemory)/megabyte, s.leaderBytes/kilobyte, s.leaderMessages), fmt.Sprintf("followers %.2f%% of a core", 100*s.follower), "")
}

// idle starts a fleet without calls and lets it settle.
func (b *Bench) idle(ctx context.Context, nodes, engines int) (*operator, func(), error) {
	stage, remove, err := b.stage()
	if err != nil {
		return nil, nil, err
	}
	d := b.deployment("hearthline")
	d.Entries = nodes
	d.Pools[0].Count = engines
	d.Pools[1].Count = 1
	if _, err := d.Start(ctx, stage); err != nil {
		remove()
		return nil, nil, err
	}
	o, err := newOperator(d, stage)
	if err != nil {
		remove()
		return nil, nil, err
	}
	time.Sleep(slopeSettle)
	return o, remove, nil
}

func (b *Bench) slope(ctx context.Context, nodes int) (calm, busy slope, err error) {
	o, remove, err := b.idle(ctx, nodes, 1)
	if err != nil {
		return calm, busy, err
	}
	defer remove()
	calm, err = b.observe(ctx, o, func() error { return nil })
	if err != nil {
		return calm, busy, err
	}
	busy, err = b.observe(ctx, o, func() error {
		_, err := o.change(ctx)
		return err
	})
	calm.nodes = nodes
	busy.nodes = nodes
	return calm, busy, err
}

// observe samples every process over a span, with act called each nine seconds.
func (b *Bench) observe(ctx context.Context, o *operator, act func() error) (slope, error) {
	leader, err := o.leader(ctx)
	if err != nil {
		return slope{}, err
	}
	before, err := sample(ctx, o.stage)
	if err != nil {
		return slope{}, err
	}
	began := time.Now()
	span := b.span(slopeSpan)
	for time.Since(began) < span {
		if err := act(); err != nil {
			return slope{}, err
		}
		time.Sleep(min(busyChange, span-time.Since(began)))
	}
	after, err := sample(ctx, o.stage)
	if err != nil {
		return slope{}, err
	}
	return compare(o.stage, leader, before, after, time.Since(began)), nil
}

// sampled is one process's usage and traffic with the system's own processes.
type sampled struct {
	usage
	bytes    float64
	messages float64
}

func sample(ctx context.Context, stage *stager.Stage) (map[*stager.Node]sampled, error) {
	samples := make(map[*stager.Node]sampled)
	for _, node := range append(append([]*stager.Node{}, stage.Controls...), stage.Entries...) {
		used, err := read(node.PID())
		if err != nil {
			return nil, err
		}
		content, _ := ask(ctx, http.MethodGet, node.OperatorURL()+"/metrics", "")
		samples[node] = sampled{
			usage:    used,
			bytes:    counter(content, "rosecroft_peer_bytes"),
			messages: counter(content, "rosecroft_peer_messages"),
		}
	}
	return samples, nil
}

func compare(stage *stager.Stage, leader *stager.Node, before, after map[*stager.Node]sampled, span time.Duration) slope {
	s := slope{}
	for _, entry := range stage.Entries {
		s.entry += share(before[entry], after[entry], span) / float64(len(stage.Entries))
		s.entryMemory += after[entry].resident / int64(len(stage.Entries))
		s.entryBytes += (after[entry].bytes - before[entry].bytes) / span.Seconds() / float64(len(stage.Entries))
		s.entryMessages += (after[entry].messages - before[entry].messages) / span.Seconds() / float64(len(stage.Entries))
	}
	for _, control := range stage.Controls {
		if control != leader {
			s.follower = max(s.follower, share(before[control], after[control], span))
		}
	}
	s.leader = share(before[leader], after[leader], span)
	s.leaderMemory = after[leader].resident
	s.leaderBytes = (after[leader].bytes - before[leader].bytes) / span.Seconds()
	s.leaderMessages = (after[leader].messages - before[leader].messages) / span.Seconds()
	return s
}

func share(before, after sampled, span time.Duration) float64 {
	return (after.processor - before.processor).Seconds() / span.Seconds()
}

// plotSlopes draws processor share and bytes against the fleet's size.
func (b *Bench) plotSlopes(calm, busy []slope) error {
	folder := filepath.Join(b.Root, resultsFolder)
	processor := []series{
		curve("entry, calm", calm, func(s slope) float64 { return percent * s.entry }),
		curve("entry, changing", busy, func(s slope) float64 { return percent * s.entry }),
		curve("leader, calm", calm, func(s slope) float64 { return percent * s.leader }),
		curve("leader, changing", busy, func(s slope) float64 { return percent * s.leader }),
	}
	if err := draw(filepath.Join(folder, "slopes-processor.svg"), "Control's share of a core", "entries", "% of a core", processor); err != nil {
		return err
	}
	traffic := []series{
		curve("entry, calm", calm, func(s slope) float64 { return s.entryBytes / kilobyte }),
		curve("entry, changing", busy, func(s slope) float64 { return s.entryBytes / kilobyte }),
		curve("leader, calm", calm, func(s slope) float64 { return s.leaderBytes / kilobyte }),
		curve("leader, changing", busy, func(s slope) float64 { return s.leaderBytes / kilobyte }),
	}
	return draw(filepath.Join(folder, "slopes-bytes.svg"), "Control's traffic", "entries", "KB/s", traffic)
}
