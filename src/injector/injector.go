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

// Injector carries out a schedule; its fields are set before Run.
type Injector struct {
	Fleet    *deployer.Fleet
	Schedule []Step
	// Log gets a line for each step as it is carried out.
	Log io.Writer

	mu sync.Mutex
	// held are the nodes that a step has down or frozen.
	held    map[*stager.Node]bool
	version int
	pending sync.WaitGroup
	failed  error
}

// Run carries out the schedule and returns once every held process is back.
func (w *Injector) Run(ctx context.Context) error {
	w.held = make(map[*stager.Node]bool)
	w.version = 1
	began := time.Now()
	for _, step := range w.Schedule {
		select {
		case <-ctx.Done():
			w.pending.Wait()
			return ctx.Err()
		case <-time.After(time.Until(began.Add(step.At))):
		}
		_, _ = fmt.Fprintln(w.Log, step)
		w.carryOut(ctx, step)
	}
	w.pending.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failed
}

func (w *Injector) carryOut(ctx context.Context, step Step) {
	entries := w.Fleet.Stage.Entries
	controls := w.Fleet.Stage.Controls
	switch step.Act {
	case KillEntry:
		w.hold(entries, step, w.killAndRestart)
	case StopEntry:
		w.hold(entries, step, w.stopAndRestart)
	case FreezeEntry:
		w.hold(entries, step, freezeNode)
	case KillControl:
		w.hold(controls, step, w.killAndRestart)
	case FreezeControl:
		w.hold(controls, step, freezeNode)
	case LoseDisk:
		w.hold(controls, step, w.loseDisk)
	case NoticeUpstream, KillUpstream, FreezeUpstream:
		w.hitUpstream(step)
	case Wave:
		w.wave(step)
	case RacingOperators:
		w.pending.Go(func() { w.race(ctx, step) })
	}
}

// hold lets act loose on a free node of a group, and on no more than one of a
// group at a time: what a second loss does is drawn as a step of its own once
// the first is back.
func (w *Injector) hold(group []*stager.Node, step Step, act func(*stager.Node, Step) error) {
	w.mu.Lock()
	for _, node := range group {
		if w.held[node] {
			w.mu.Unlock()
			return
		}
	}
	node := group[step.Target%len(group)]
	w.held[node] = true
	w.mu.Unlock()
	w.pending.Go(func() {
		err := act(node, step)
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.held, node)
		if err != nil && w.failed == nil {
			w.failed = err
		}
	})
}

func (w *Injector) killAndRestart(node *stager.Node, step Step) error {
	node.Kill()
	time.Sleep(step.Lasts)
	return w.Fleet.Stage.Start(node)
}

func (w *Injector) stopAndRestart(node *stager.Node, step Step) error {
	node.Stop()
	time.Sleep(step.Lasts)
	return w.Fleet.Stage.Start(node)
}

func (w *Injector) loseDisk(node *stager.Node, step Step) error {
	node.Kill()
	if err := os.RemoveAll(node.Settings.DataFolder); err != nil {
		return fmt.Errorf("lose the disk of %s: %w", node.Settings.Name, err)
	}
	time.Sleep(step.Lasts)
	return w.Fleet.Stage.Start(node)
}

func freezeNode(node *stager.Node, step Step) error {
	node.Signal(syscall.SIGSTOP)
	time.Sleep(step.Lasts)
	node.Signal(syscall.SIGCONT)
	return nil
}

func (w *Injector) hitUpstream(step Step) {
	running := w.running("engine")
	if len(running) == 0 {
		return
	}
	member := running[step.Target%len(running)]
	w.pending.Go(func() {
		switch step.Act {
		case NoticeUpstream:
			w.reclaim(member)
		case KillUpstream:
			member.Kill()
			w.replace(member)
		default:
			member.Signal(syscall.SIGSTOP)
			time.Sleep(step.Lasts)
			member.Signal(syscall.SIGCONT)
		}
	})
}

// reclaim gives an upstream its notice and starts another in its place.
func (w *Injector) reclaim(member *deployer.Member) {
	member.Signal(syscall.SIGTERM)
	w.replace(member)
}

func (w *Injector) replace(member *deployer.Member) {
	w.mu.Lock()
	defer w.mu.Unlock()
	member.Stopped = time.Now()
	if _, err := w.Fleet.Launch(member.Pool, member.DataCentre, member.Offer); err != nil && w.failed == nil {
		w.failed = err
	}
}

// wave reclaims every model engine of one data centre at once.
func (w *Injector) wave(step Step) {
	dataCentre := w.Fleet.DataCentres[step.Target%len(w.Fleet.DataCentres)]
	for _, member := range w.running("engine") {
		if member.DataCentre == dataCentre {
			w.pending.Go(func() { w.reclaim(member) })
		}
	}
}

func (w *Injector) running(kind string) []*deployer.Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	var running []*deployer.Member
	for _, member := range w.Fleet.Upstreams {
		if member.Pool.Kind == kind && member.Stopped.IsZero() {
			running = append(running, member)
		}
	}
	return running
}

// race lets two operators submit other contents under one version; exactly one may win.
func (w *Injector) race(ctx context.Context, step Step) {
	w.mu.Lock()
	w.version++
	version := w.version
	w.mu.Unlock()
	var operators sync.WaitGroup
	accepted := make([]bool, 2)
	for i := range accepted {
		operators.Go(func() {
			accepted[i] = w.submit(ctx, version, fmt.Sprintf("operator-%d-%d", step.Target, i))
		})
	}
	operators.Wait()
	if accepted[0] && accepted[1] {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.failed = fmt.Errorf("version %d was accepted from two operators with other contents", version)
	}
}

// submit sends a configuration that differs by a comment, and reports whether it was accepted.
func (w *Injector) submit(ctx context.Context, version int, operator string) bool {
	content, err := os.ReadFile(w.Fleet.Configuration)
	if err != nil {
		return false
	}
	document := strings.Replace(string(content), "version: 1", fmt.Sprintf("version: %d # %s", version, operator), 1)
	file := filepath.Join(w.Fleet.Stage.Folder, operator+".yaml")
	if err := os.WriteFile(file, []byte(document), 0o600); err != nil {
		return false
	}
	apply := exec.CommandContext(ctx, w.Fleet.Stage.Program, "apply", file, "--operator", operator,
		"--control", w.Fleet.Stage.ControlURLs(), "--wait", "1ms")
	output, _ := apply.CombinedOutput()
	return strings.Contains(string(output), fmt.Sprintf("version %d accepted", version))
}
