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

// Bench runs experiments; its fields are set before use.
type Bench struct {
	// Root is the repository's folder, Program and Standin the built programs.
	Root    string
	Program string
	Standin string
	Seed    uint64
	// Quick shortens each experiment; its figures are trials only.
	Quick bool
}

// Commit returns the commit whose programs are measured.
func (b *Bench) Commit() string {
	output, err := exec.Command("git", "-C", b.Root, "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(output))
}

// result returns an empty result of an experiment.
func (b *Bench) result(experiment, what string) *Result {
	return &Result{
		Experiment: experiment,
		What:       what,
		Command:    fmt.Sprintf("bin/measure %s --seed %d", experiment, b.Seed),
		Seed:       b.Seed,
		Commit:     b.Commit(),
	}
}

// stage returns a stage in a new folder and what removes it.
func (b *Bench) stage() (*stager.Stage, func(), error) {
	folder, err := os.MkdirTemp("", "rosecroft-measure-")
	if err != nil {
		return nil, nil, fmt.Errorf("make a folder for the experiment: %w", err)
	}
	stage := &stager.Stage{
		Folder:  folder,
		Program: b.Program,
		Standin: b.Standin,
	}
	return stage, func() {
		stage.Stop()
		_ = os.RemoveAll(folder)
	}, nil
}

// span returns how long a load lasts.
func (b *Bench) span(full time.Duration) time.Duration {
	if b.Quick {
		return full / 4
	}
	return full
}

// deployment returns a deployment by name.
func (b *Bench) deployment(name string) *deployer.Deployment {
	if name == "cooperativa" {
		return deployer.Cooperativa(b.Root)
	}
	return deployer.Hearthline(b.Root)
}

// withPolicy returns the deployment with another policy for its model service,
// and without the accounts' limits, which would hide what the policy can do.
func withPolicy(d *deployer.Deployment, policy parser.Policy, folder string) error {
	content, err := os.ReadFile(d.Configuration)
	if err != nil {
		return fmt.Errorf("read the configuration: %w", err)
	}
	document := strings.Replace(string(content), "policy: prefix-cost", "policy: "+string(policy), 1)
	document = withoutLimits(document)
	d.Configuration = filepath.Join(folder, "configuration.yaml")
	return os.WriteFile(d.Configuration, []byte(document), fileMode)
}

func withoutLimits(document string) string {
	var kept []string
	for _, line := range strings.Split(document, "\n") {
		key, _, _ := strings.Cut(line, ":")
		switch strings.TrimSpace(key) {
		case "requests-per-second", "tokens-per-second", "concurrency":
			line = key + ": 0"
		}
		kept = append(kept, line)
	}
	return strings.Join(kept, "\n")
}

// load runs workloads against base URLs.
func (b *Bench) load(ctx context.Context, name string, urls []string, workloads []*loader.Workload, span time.Duration, resend bool) *loader.Report {
	run := &loader.Loader{
		Balancer: &loader.Balancer{
			Entries: urls,
		},
		Workloads: workloads,
		Span:      span,
		Seed:      b.Seed,
		Name:      name,
		Resend:    resend,
	}
	return run.Run(ctx)
}

// at returns a quantile of a histogram of durations.
func at(histogram *hdrhistogram.Histogram, quantile float64) time.Duration {
	return time.Duration(histogram.ValueAtQuantile(quantile))
}

func quantiles(histogram *hdrhistogram.Histogram) string {
	return fmt.Sprintf("p50 %s, p99 %s", short(at(histogram, 50)), short(at(histogram, 99)))
}

// short returns a duration with three digits or so.
func short(d time.Duration) string {
	switch {
	case d >= time.Second:
		return d.Round(10 * time.Millisecond).String()
	case d >= time.Millisecond:
		return d.Round(10 * time.Microsecond).String()
	}
	return d.Round(100 * time.Nanosecond).String()
}

func quantity(calls int64) string {
	return fmt.Sprintf("%d calls", calls)
}
