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
	repairControls = 5
	repairVoters   = 3
	repairs        = 3
	repairAfter    = time.Second
	repairPoll     = 5 * time.Millisecond
	behindChanges  = 500
	// metricsLag is longer than the processes' interval of reporting counters.
	metricsLag = 1500 * time.Millisecond
)

// Repair measures how soon the log can lose a voter again after one was lost
// for good, and how a process catches up that restarts 500 changes behind.
func (b *Bench) Repair(ctx context.Context) (*Result, error) {
	result := b.result("repair", fmt.Sprintf("A voter of %d is killed and its disk removed; a spare takes its place after timing.repair (%s here). Then processes that restart %d changes behind.", repairVoters, repairAfter, behindChanges))
	if err := b.withFleet(ctx, repairControls, func(o *operator) error {
		return b.repairs(ctx, result, o)
	}); err != nil {
		return nil, err
	}
	// Without spares nobody takes the place of the one that is behind.
	err := b.withFleet(ctx, repairVoters, func(o *operator) error {
		return b.behind(ctx, result, o)
	})
	return result, err
}

// withFleet runs a part of the experiment on a small fleet of its own.
func (b *Bench) withFleet(ctx context.Context, controls int, part func(*operator) error) error {
	stage, remove, err := b.stage()
	if err != nil {
		return err
	}
	defer remove()
	stage.Voters = repairVoters
	stage.Timing.Repair = repairAfter
	d := b.deployment("hearthline")
	d.Controls = controls
	d.Entries = 2
	d.Pools[0].Count = 1
	d.Pools[1].Count = 1
	if _, err := d.Start(ctx, stage); err != nil {
		return err
	}
	o, err := newOperator(d, stage)
	if err != nil {
		return err
	}
	return part(o)
}

func (b *Bench) repairs(ctx context.Context, result *Result, o *operator) error {
	whole := hdrhistogram.New(1, histogramMost, histogramDigits)
	joining := hdrhistogram.New(1, histogramMost, histogramDigits)
	for range repairs {
		leader, err := o.leader(ctx)
		if err != nil {
			return err
		}
		victim := o.follower(ctx, leader)
		if victim == nil {
			return fmt.Errorf("the leader %s names no other voter", leader.Settings.Name)
		}
		victim.Kill()
		killed := time.Now()
		if err := os.RemoveAll(victim.Settings.DataFolder); err != nil {
			return err
		}
		joined, repaired, err := o.awaitRepair(ctx, leader, victim.Settings.Name)
		if err != nil {
			return err
		}
		_ = whole.RecordValue(int64(repaired.Sub(killed)))
		_ = joining.RecordValue(int64(repaired.Sub(joined)))
		if err := o.stage.Start(victim); err != nil {
			return err
		}
		if err := o.stage.AwaitHealthy(ctx); err != nil {
			return err
		}
	}
	spread := fmt.Sprintf("%d losses", repairs)
	result.Add("voter lost to able to lose the next", fmt.Sprintf("p50 %s, max %s", short(at(whole, 50)), short(time.Duration(whole.Max()))), spread, "")
	result.Add("replacement joins to able to lose the next", fmt.Sprintf("p50 %s, max %s", short(at(joining, 50)), short(time.Duration(joining.Max()))), spread, "at most 5s")
	return nil
}

// follower returns a running voter that does not lead.
func (o *operator) follower(ctx context.Context, leader *stager.Node) *stager.Node {
	dump, ok := controlState(ctx, leader)
	if !ok {
		return nil
	}
	for _, member := range dump.Members {
		for _, node := range o.stage.Controls {
			if node != leader && member.ID.Instance() == node.Settings.Name && !member.Learner && node.Running() {
				return node
			}
		}
	}
	return nil
}

// awaitRepair returns when a replacement joined and when all voters wanted were there without the lost one.
func (o *operator) awaitRepair(ctx context.Context, leader *stager.Node, lost units.Instance) (joined, repaired time.Time, err error) {
	before, _ := controlState(ctx, leader)
	known := make(map[units.VoterID]bool)
	for _, member := range before.Members {
		known[member.ID] = true
	}
	began := time.Now()
	for time.Since(began) < inForceTimeout {
		time.Sleep(repairPoll)
		dump, ok := controlState(ctx, leader)
		if !ok {
			continue
		}
		voters := 0
		gone := true
		for _, member := range dump.Members {
			if !known[member.ID] && joined.IsZero() {
				joined = time.Now()
			}
			if member.ID.Instance() == lost {
				gone = false
			}
			if !member.Learner {
				voters++
			}
		}
		if gone && voters == repairVoters {
			return joined, time.Now(), nil
		}
	}
	return joined, repaired, fmt.Errorf("%s was not replaced within %s", lost, inForceTimeout)
}

func controlState(ctx context.Context, node *stager.Node) (*control.Dump, bool) {
	dump := &control.Dump{}
	content, ok := ask(ctx, http.MethodGet, node.OperatorURL()+"/dump", "")
	return dump, ok && yaml.Unmarshal(content, dump) == nil
}

// behind kills a control follower and an entry, makes changes and starts both again.
func (b *Bench) behind(ctx context.Context, result *Result, o *operator) error {
	leader, err := o.leader(ctx)
	if err != nil {
		return err
	}
	follower := o.follower(ctx, leader)
	entry := o.stage.Entries[0]
	follower.Kill()
	entry.Kill()
	count := behindChanges
	if b.Quick {
		count /= 10
	}
	for range count {
		if _, err := o.change(ctx); err != nil {
			return err
		}
	}
	for name, node := range map[string]*stager.Node{
		"control instance": follower,
		"entry":            entry,
	} {
		if err := o.stage.Start(node); err != nil {
			return err
		}
		began := time.Now()
		if err := o.awaitVersion(ctx, node); err != nil {
			return err
		}
		took := time.Since(began)
		time.Sleep(metricsLag)
		content, _ := ask(ctx, http.MethodGet, node.OperatorURL()+"/metrics", "")
		result.Add(fmt.Sprintf("%s restarted %d changes behind", name, count),
			fmt.Sprintf("%s, %.0f KB", short(took), counter(content, "rosecroft_peer_bytes")/kilobyte), "once", "")
	}
	return nil
}

// awaitVersion waits until a process knows the newest version.
func (o *operator) awaitVersion(ctx context.Context, node *stager.Node) error {
	began := time.Now()
	for time.Since(began) < inForceTimeout {
		content, ok := ask(ctx, http.MethodGet, node.OperatorURL()+"/dump", "")
		dump := struct {
			Accepted uint64 `yaml:"accepted-version"`
			InForce  uint64 `yaml:"version-in-force"`
		}{}
		if ok && yaml.Unmarshal(content, &dump) == nil && max(dump.Accepted, dump.InForce) >= o.version {
			return nil
		}
		time.Sleep(repairPoll)
	}
	return fmt.Errorf("%s did not catch up within %s", node.Settings.Name, inForceTimeout)
}
