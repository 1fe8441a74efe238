package measurer

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/goccy/go-yaml"

	"github.com/rosecroft/rosecroft/src/control"
	"github.com/rosecroft/rosecroft/src/stager"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	repairControls     = 5
	repairVoters       = 3
	repairCount        = 3
	repairDelay        = time.Second
	repairPollInterval = 5 * time.Millisecond
	missedChanges      = 500
	// metricsDelay is longer than the interval at which processes update their counters.
	metricsDelay = 1500 * time.Millisecond
)

// Repair measures how soon the replicated log can tolerate the loss of another voter
// after one was lost permanently, and how much time and traffic a process that restarts
// 500 changes behind takes to catch up.
func (b *Bench) Repair(ctx context.Context) (*Result, error) {
	result := b.newResult("repair", fmt.Sprintf("A voter of %d is killed and its disk removed; a spare takes its place after timing.repair (%s here). Then processes that restart %d changes behind.", repairVoters, repairDelay, missedChanges))
	if err := b.withRepairFleet(ctx, repairControls, func(o *operatorClient) error {
		return b.measureRepairs(ctx, result, o)
	}); err != nil {
		return nil, err
	}
	// Without spare control instances the voter that is behind is not replaced.
	err := b.withRepairFleet(ctx, repairVoters, func(o *operatorClient) error {
		return b.measureCatchUp(ctx, result, o)
	})
	return result, err
}

// withRepairFleet runs a part of the experiment on a new small fleet.
func (b *Bench) withRepairFleet(ctx context.Context, controls int, run func(*operatorClient) error) error {
	cluster, cleanup, err := b.newCluster()
	if err != nil {
		return err
	}
	defer cleanup()
	cluster.Voters = repairVoters
	cluster.Timing.ReplacementDelay = repairDelay
	d := b.deployment("hearthline")
	d.Controls = controls
	d.Entries = 2
	d.Pools[0].Count = 1
	d.Pools[1].Count = 1
	if _, err := d.Start(ctx, cluster); err != nil {
		return err
	}
	o, err := newOperatorClient(d, cluster)
	if err != nil {
		return err
	}
	return run(o)
}

func (b *Bench) measureRepairs(ctx context.Context, result *Result, o *operatorClient) error {
	lossToRepaired := hdrhistogram.New(1, histogramMax, histogramDigits)
	joinToRepaired := hdrhistogram.New(1, histogramMax, histogramDigits)
	for range repairCount {
		leader, err := o.findLeader(ctx)
		if err != nil {
			return err
		}
		lostVoter := o.findFollower(ctx, leader)
		if lostVoter == nil {
			return fmt.Errorf("the dump of leader %s lists no other running voter", leader.Settings.Name)
		}
		lostVoter.Kill()
		killedAt := time.Now()
		if err := os.RemoveAll(lostVoter.Settings.DataFolder); err != nil {
			return err
		}
		joinedAt, repairedAt, err := o.awaitRepair(ctx, leader, lostVoter.Settings.Name)
		if err != nil {
			return err
		}
		_ = lossToRepaired.RecordValue(int64(repairedAt.Sub(killedAt)))
		_ = joinToRepaired.RecordValue(int64(repairedAt.Sub(joinedAt)))
		if err := o.cluster.Start(lostVoter); err != nil {
			return err
		}
		if err := o.cluster.AwaitHealthy(ctx); err != nil {
			return err
		}
	}
	spread := fmt.Sprintf("%d losses", repairCount)
	result.Add("voter lost to able to lose the next", fmt.Sprintf("p50 %s, max %s", formatDuration(durationAt(lossToRepaired, 50)), formatDuration(time.Duration(lossToRepaired.Max()))), spread, "")
	result.Add("replacement joins to able to lose the next", fmt.Sprintf("p50 %s, max %s", formatDuration(durationAt(joinToRepaired, 50)), formatDuration(time.Duration(joinToRepaired.Max()))), spread, "at most 5s")
	return nil
}

// findFollower returns a running voter that is not the leader, or nil.
func (o *operatorClient) findFollower(ctx context.Context, leader *stager.Node) *stager.Node {
	dump, ok := readControlDump(ctx, leader)
	if !ok {
		return nil
	}
	for _, member := range dump.Members {
		for _, node := range o.cluster.Controls {
			if node != leader && member.ID.Instance() == node.Settings.Name && !member.Learner && node.Running() {
				return node
			}
		}
	}
	return nil
}

// awaitRepair waits until the lost voter is removed and there are repairVoters voters
// again; it returns when the replacement joined and when the repair was complete.
func (o *operatorClient) awaitRepair(ctx context.Context, leader *stager.Node, lost units.Instance) (joinedAt, repairedAt time.Time, err error) {
	before, _ := readControlDump(ctx, leader)
	knownVoters := make(map[units.VoterID]bool)
	for _, member := range before.Members {
		knownVoters[member.ID] = true
	}
	start := time.Now()
	for time.Since(start) < inForceTimeout {
		time.Sleep(repairPollInterval)
		dump, ok := readControlDump(ctx, leader)
		if !ok {
			continue
		}
		voters := 0
		lostRemoved := true
		for _, member := range dump.Members {
			if !knownVoters[member.ID] && joinedAt.IsZero() {
				joinedAt = time.Now()
			}
			if member.ID.Instance() == lost {
				lostRemoved = false
			}
			if !member.Learner {
				voters++
			}
		}
		if lostRemoved && voters == repairVoters {
			return joinedAt, time.Now(), nil
		}
	}
	return joinedAt, repairedAt, fmt.Errorf("%s was not replaced within %s", lost, inForceTimeout)
}

func readControlDump(ctx context.Context, node *stager.Node) (*control.Dump, bool) {
	dump := &control.Dump{}
	content, ok := sendRequest(ctx, http.MethodGet, node.OperatorURL()+"/dump", "")
	return dump, ok && yaml.Unmarshal(content, dump) == nil
}

// measureCatchUp kills a control follower and an entry, submits changes and measures how
// long each takes to catch up after its restart.
func (b *Bench) measureCatchUp(ctx context.Context, result *Result, o *operatorClient) error {
	leader, err := o.findLeader(ctx)
	if err != nil {
		return err
	}
	follower := o.findFollower(ctx, leader)
	entry := o.cluster.Entries[0]
	follower.Kill()
	entry.Kill()
	count := missedChanges
	if b.Quick {
		count /= 10
	}
	for range count {
		if _, err := o.submitNextVersion(ctx); err != nil {
			return err
		}
	}
	for name, node := range map[string]*stager.Node{
		"control instance": follower,
		"entry":            entry,
	} {
		if err := o.cluster.Start(node); err != nil {
			return err
		}
		start := time.Now()
		if err := o.awaitCatchUp(ctx, node); err != nil {
			return err
		}
		elapsed := time.Since(start)
		time.Sleep(metricsDelay)
		content, _ := sendRequest(ctx, http.MethodGet, node.OperatorURL()+"/metrics", "")
		result.Add(fmt.Sprintf("%s restarted %d changes behind", name, count),
			fmt.Sprintf("%s, %.0f KB", formatDuration(elapsed), counterSum(content, "rosecroft_peer_bytes")/kilobyte), "once", "")
	}
	return nil
}

// awaitCatchUp waits until a process has the newest version.
func (o *operatorClient) awaitCatchUp(ctx context.Context, node *stager.Node) error {
	start := time.Now()
	for time.Since(start) < inForceTimeout {
		content, ok := sendRequest(ctx, http.MethodGet, node.OperatorURL()+"/dump", "")
		dump := struct {
			Accepted uint64 `yaml:"accepted-version"`
			InForce  uint64 `yaml:"version-in-force"`
		}{}
		if ok && yaml.Unmarshal(content, &dump) == nil && max(dump.Accepted, dump.InForce) >= o.version {
			return nil
		}
		time.Sleep(repairPollInterval)
	}
	return fmt.Errorf("%s did not catch up within %s", node.Settings.Name, inForceTimeout)
}
