// Command load sends an open-loop load of bounded rate and duration to entries on
// loopback and prints the callers' outcomes and latencies.
package main

import (
	"context"
	"fmt"
	"net"
	"net/url"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alecthomas/kong"

	"github.com/rosecroft/rosecroft/src/loader"
)

const (
	maxSpan = 10 * time.Minute
	maxRate = 20000
)

type options struct {
	Entries  []string      `help:"Base URLs of the entries, on loopback." required:""`
	Host     string        `help:"Host header, which names the brand." default:"hearthline.example"`
	Key      string        `help:"API key." default:"strath-sweeps.example-secret"`
	Kind     string        `help:"Kind of call." enum:"stream,whole,read,once" default:"stream"`
	Path     string        `help:"Path to call." default:"/v1/completions"`
	Model    string        `help:"Model to request." default:"ember-1"`
	Rate     float64       `help:"Calls per second." default:"20"`
	Span     time.Duration `help:"Duration for which new calls are started, at most 10m." default:"10s"`
	Prefixes int           `help:"Number of different shared prompt prefixes." default:"8"`
	Prefix   int           `help:"Size of a shared prompt prefix in bytes." default:"2048"`
	Prompt   int           `help:"Size of the rest of each prompt, which is not shared, in bytes." default:"256"`
	Tokens   int           `help:"Output tokens to generate per call." default:"64"`
	Seed     uint64        `help:"Random seed of arrivals and prompts." default:"1"`
}

func main() {
	opts := &options{}
	cli := kong.Parse(opts, kong.Description("Sends an open-loop load to entries on loopback."))
	cli.FatalIfErrorf(validate(opts))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	printReport(run(ctx, opts))
}

// validate rejects a load that exceeds the bounds or would leave this machine.
func validate(opts *options) error {
	if opts.Span > maxSpan || opts.Rate > maxRate {
		return fmt.Errorf("--span or --rate exceeds the maximum of %s and %d calls per second", maxSpan, maxRate)
	}
	for _, entry := range opts.Entries {
		address, err := url.Parse(entry)
		if err != nil {
			return fmt.Errorf("parse the entry's base URL: %w", err)
		}
		if ip := net.ParseIP(address.Hostname()); ip == nil || !ip.IsLoopback() {
			return fmt.Errorf("entry %s is not on loopback; load is only sent to this machine", entry)
		}
	}
	return nil
}

func run(ctx context.Context, opts *options) *loader.Report {
	generator := &loader.Loader{
		Balancer: &loader.Balancer{
			Entries: opts.Entries,
		},
		Duration: opts.Span,
		Seed:     opts.Seed,
		Name:     "load",
		Workloads: []*loader.Workload{{
			Name:         opts.Kind,
			Kind:         loader.Kind(opts.Kind),
			Host:         opts.Host,
			Key:          opts.Key,
			Rate:         opts.Rate,
			Path:         opts.Path,
			Model:        opts.Model,
			Prefixes:     opts.Prefixes,
			PrefixBytes:  opts.Prefix,
			PromptBytes:  opts.Prompt,
			OutputTokens: opts.Tokens,
			Deadline:     time.Minute,
		}},
	}
	return generator.Run(ctx)
}

func printReport(report *loader.Report) {
	for _, result := range []loader.Result{loader.Answered, loader.NotRun, loader.Unknown, loader.Failed, loader.Lost} {
		fmt.Printf("%s %d\n", result, report.Count("", result))
	}
	printHistogram("first-token", report.FirstTokenLatencies())
	printHistogram("gap-p95", report.TokenGaps())
	for _, kind := range []loader.Kind{loader.Stream, loader.NonStreaming, loader.Read, loader.NonRepeatable} {
		printHistogram("took-"+string(kind), report.Latencies(kind))
	}
}

func printHistogram(name string, histogram *hdrhistogram.Histogram) {
	if histogram.TotalCount() == 0 {
		return
	}
	fmt.Printf("%s p50 %s p95 %s p99 %s max %s\n", name,
		time.Duration(histogram.ValueAtQuantile(50)), time.Duration(histogram.ValueAtQuantile(95)),
		time.Duration(histogram.ValueAtQuantile(99)), time.Duration(histogram.Max()))
}
