package injector

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rosecroft/rosecroft/src/deployer"
	"github.com/rosecroft/rosecroft/src/stager"
)

// Injector executes a schedule of faults; its fields are set before Run.
type Injector struct {
	Fleet    *deployer.Fleet
	Schedule []ScheduledFault
	// Log receives a line for each step when it is executed.
	Log io.Writer

	mu sync.Mutex
	// affected holds the nodes that a step keeps down or frozen.
	affected    map[*stager.Node]bool
	lastVersion int
	pending     sync.WaitGroup
	failure     error
}

// Run executes the schedule and returns once every affected process runs again.
func (inj *Injector) Run(ctx context.Context) error {
	inj.affected = make(map[*stager.Node]bool)
	inj.lastVersion = 1
	startedAt := time.Now()
	for _, step := range inj.Schedule {
		select {
		case <-ctx.Done():
			inj.pending.Wait()
			return ctx.Err()
		case <-time.After(time.Until(startedAt.Add(step.At))):
		}
		_, _ = fmt.Fprintln(inj.Log, step)
		inj.execute(ctx, step)
	}
	inj.pending.Wait()
	inj.mu.Lock()
	defer inj.mu.Unlock()
	return inj.failure
}

func (inj *Injector) execute(ctx context.Context, step ScheduledFault) {
	entries := inj.Fleet.Cluster.Entries
	controls := inj.Fleet.Cluster.Controls
	switch step.Kind {
	case KillEntry:
		inj.disruptNode(entries, step, inj.killAndRestart)
	case StopEntry:
		inj.disruptNode(entries, step, inj.stopAndRestart)
	case FreezeEntry:
		inj.disruptNode(entries, step, freezeNode)
	case KillControl:
		inj.disruptNode(controls, step, inj.killAndRestart)
	case FreezeControl:
		inj.disruptNode(controls, step, freezeNode)
	case LoseDisk:
		inj.disruptNode(controls, step, inj.deleteDisk)
	case NoticeUpstream, KillUpstream, FreezeUpstream:
		inj.disruptUpstream(step)
	case ReclaimDataCentre:
		inj.reclaimDataCentre(step)
	case SubmitConcurrently:
		inj.pending.Go(func() { inj.submitConcurrently(ctx, step) })
	}
}

// disruptNode runs act on one node of a group, unless a node of the group is
// already affected: at most one node of a group is down at a time, and a later
// step may disrupt another one once the first runs again.
func (inj *Injector) disruptNode(group []*stager.Node, step ScheduledFault, act func(*stager.Node, ScheduledFault) error) {
	inj.mu.Lock()
	for _, node := range group {
		if inj.affected[node] {
			inj.mu.Unlock()
			return
		}
	}
	node := group[step.Target%len(group)]
	inj.affected[node] = true
	inj.mu.Unlock()
	inj.pending.Go(func() {
		err := act(node, step)
		inj.mu.Lock()
		defer inj.mu.Unlock()
		delete(inj.affected, node)
		if err != nil && inj.failure == nil {
			inj.failure = err
		}
	})
}

func (inj *Injector) killAndRestart(node *stager.Node, step ScheduledFault) error {
	node.Kill()
	time.Sleep(step.Duration)
	return inj.Fleet.Cluster.Start(node)
}

func (inj *Injector) stopAndRestart(node *stager.Node, step ScheduledFault) error {
	node.Stop()
	time.Sleep(step.Duration)
	return inj.Fleet.Cluster.Start(node)
}

func (inj *Injector) deleteDisk(node *stager.Node, step ScheduledFault) error {
	node.Kill()
	if err := os.RemoveAll(node.Settings.DataFolder); err != nil {
		return fmt.Errorf("delete the disk of %s: %w", node.Settings.Name, err)
	}
	time.Sleep(step.Duration)
	return inj.Fleet.Cluster.Start(node)
}

func freezeNode(node *stager.Node, step ScheduledFault) error {
	node.Signal(syscall.SIGSTOP)
	time.Sleep(step.Duration)
	node.Signal(syscall.SIGCONT)
	return nil
}

func (inj *Injector) disruptUpstream(step ScheduledFault) {
	running := inj.runningUpstreams("engine")
	if len(running) == 0 {
		return
	}
	member := running[step.Target%len(running)]
	inj.pending.Go(func() {
		switch step.Kind {
		case NoticeUpstream:
			inj.reclaim(member)
		case KillUpstream:
			member.Kill()
			inj.replace(member)
		default:
			member.Signal(syscall.SIGSTOP)
			time.Sleep(step.Duration)
			member.Signal(syscall.SIGCONT)
		}
	})
}

// reclaim gives an upstream its notice and launches a replacement.
func (inj *Injector) reclaim(member *deployer.Member) {
	member.Signal(syscall.SIGTERM)
	inj.replace(member)
}

func (inj *Injector) replace(member *deployer.Member) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	member.Stopped = time.Now()
	if _, err := inj.Fleet.Launch(member.Pool, member.DataCentre, member.Offer); err != nil && inj.failure == nil {
		inj.failure = err
	}
}

// reclaimDataCentre reclaims all model engines of one data centre at once.
func (inj *Injector) reclaimDataCentre(step ScheduledFault) {
	dataCentre := inj.Fleet.DataCentres[step.Target%len(inj.Fleet.DataCentres)]
	for _, member := range inj.runningUpstreams("engine") {
		if member.DataCentre == dataCentre {
			inj.pending.Go(func() { inj.reclaim(member) })
		}
	}
}

func (inj *Injector) runningUpstreams(kind string) []*deployer.Member {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	var running []*deployer.Member
	for _, member := range inj.Fleet.Upstreams {
		if member.Pool.UpstreamKind == kind && member.Stopped.IsZero() {
			running = append(running, member)
		}
	}
	return running
}

// submitConcurrently lets two operators submit different contents under the same
// version; at most one may be accepted.
func (inj *Injector) submitConcurrently(ctx context.Context, step ScheduledFault) {
	inj.mu.Lock()
	inj.lastVersion++
	version := inj.lastVersion
	inj.mu.Unlock()
	var operators sync.WaitGroup
	accepted := make([]bool, 2)
	for i := range accepted {
		operators.Go(func() {
			accepted[i] = inj.submit(ctx, version, fmt.Sprintf("operator-%d-%d", step.Target, i))
		})
	}
	operators.Wait()
	if accepted[0] && accepted[1] {
		inj.mu.Lock()
		defer inj.mu.Unlock()
		inj.failure = fmt.Errorf("version %d was accepted from two operators with different contents", version)
	}
}

// submit applies the configuration under a version, with the operator's name in a
// comment so that contents differ, and reports whether it was accepted.
func (inj *Injector) submit(ctx context.Context, version int, operator string) bool {
	content, err := os.ReadFile(inj.Fleet.Configuration)
	if err != nil {
		return false
	}
	document := strings.Replace(string(content), "version: 1", fmt.Sprintf("version: %d # %s", version, operator), 1)
	file := filepath.Join(inj.Fleet.Cluster.Folder, operator+".yaml")
	if err := os.WriteFile(file, []byte(document), 0o600); err != nil {
		return false
	}
	apply := exec.CommandContext(ctx, inj.Fleet.Cluster.Program, "apply", file, "--operator", operator,
		"--control", inj.Fleet.Cluster.ControlURLs(), "--wait", "1ms")
	output, _ := apply.CombinedOutput()
	return strings.Contains(string(output), fmt.Sprintf("version %d accepted", version))
}
