package measurer

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rosecroft/rosecroft/src/deployer"
	"github.com/rosecroft/rosecroft/src/loader"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/stager"
)

// Bench runs the experiments; its fields are set before use.
type Bench struct {
	// Root is the repository's folder, Program and Standin are the paths of the built programs.
	Root    string
	Program string
	Standin string
	Seed    uint64
	// Quick shortens each experiment; figures from such a run are trials only.
	Quick bool
}

// Commit returns the short hash of the repository's HEAD, whose programs are
// measured, or "unknown".
func (b *Bench) Commit() string {
	output, err := exec.Command("git", "-C", b.Root, "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(output))
}

// newResult returns a result without figures for an experiment.
func (b *Bench) newResult(experiment, what string) *Result {
	return &Result{
		Experiment: experiment,
		What:       what,
		Command:    fmt.Sprintf("bin/measure %s --seed %d", experiment, b.Seed),
		Seed:       b.Seed,
		Commit:     b.Commit(),
	}
}

// newCluster returns a cluster in a new temporary folder, and a function that stops the
// cluster and removes the folder.
func (b *Bench) newCluster() (*stager.Cluster, func(), error) {
	folder, err := os.MkdirTemp("", "rosecroft-measure-")
	if err != nil {
		return nil, nil, fmt.Errorf("create a temporary folder for the experiment: %w", err)
	}
	cluster := &stager.Cluster{
		Folder:  folder,
		Program: b.Program,
		Standin: b.Standin,
	}
	return cluster, func() {
		cluster.Stop()
		_ = os.RemoveAll(folder)
	}, nil
}

// loadDuration returns the duration of a load: full, or a quarter of it for a quick run.
func (b *Bench) loadDuration(full time.Duration) time.Duration {
	if b.Quick {
		return full / 4
	}
	return full
}

// deployment returns an example deployment by name.
func (b *Bench) deployment(name string) *deployer.Deployment {
	if name == "cooperativa" {
		return deployer.Cooperativa(b.Root)
	}
	return deployer.Hearthline(b.Root)
}

// setPolicy makes the deployment use a copy of its configuration, in folder, with
// another policy for its model service and without the client accounts' limits,
// which would hide the differences between policies.
func setPolicy(d *deployer.Deployment, policy parser.Policy, folder string) error {
	content, err := os.ReadFile(d.Configuration)
	if err != nil {
		return fmt.Errorf("read the configuration: %w", err)
	}
	document := strings.Replace(string(content), "policy: prefix-cost", "policy: "+string(policy), 1)
	document = removeLimits(document)
	d.Configuration = filepath.Join(folder, "configuration.yaml")
	return os.WriteFile(d.Configuration, []byte(document), fileMode)
}

func removeLimits(document string) string {
	var lines []string
	for _, line := range strings.Split(document, "\n") {
		key, _, _ := strings.Cut(line, ":")
		switch strings.TrimSpace(key) {
		case "requests-per-second", "tokens-per-second", "concurrency":
			line = key + ": 0"
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "\n")
}

// runLoad sends the workloads to the servers at the base URLs.
func (b *Bench) runLoad(ctx context.Context, name string, urls []string, workloads []*loader.Workload, duration time.Duration, resend bool) *loader.Report {
	generator := &loader.Loader{
		Balancer: &loader.Balancer{
			Entries: urls,
		},
		Workloads:    workloads,
		Duration:     duration,
		Seed:         b.Seed,
		Name:         name,
		RetryRefused: resend,
	}
	return generator.Run(ctx)
}

// durationAt returns the p-th percentile of a histogram of durations.
func durationAt(histogram *hdrhistogram.Histogram, p float64) time.Duration {
	return time.Duration(histogram.ValueAtQuantile(p))
}

func formatPercentiles(histogram *hdrhistogram.Histogram) string {
	return fmt.Sprintf("p50 %s, p99 %s", formatDuration(durationAt(histogram, 50)), formatDuration(durationAt(histogram, 99)))
}

// formatDuration rounds a duration to about three significant digits.
func formatDuration(d time.Duration) string {
	switch {
	case d >= time.Second:
		return d.Round(10 * time.Millisecond).String()
	case d >= time.Millisecond:
		return d.Round(10 * time.Microsecond).String()
	}
	return d.Round(100 * time.Nanosecond).String()
}

func formatCallCount(calls int64) string {
	return fmt.Sprintf("%d calls", calls)
}
