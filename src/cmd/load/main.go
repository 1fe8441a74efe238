// Command load sends a bounded load of calls to entries on loopback and prints what callers saw.
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
	Model    string        `help:"Model to ask." default:"ember-1"`
	Rate     float64       `help:"Calls per second." default:"20"`
	Span     time.Duration `help:"How long new calls are made, at most 10m." default:"10s"`
	Prefixes int           `help:"How many different beginnings the prompts share." default:"8"`
	Prefix   int           `help:"Bytes of a shared beginning." default:"2048"`
	Prompt   int           `help:"Bytes of a prompt's own part." default:"256"`
	Tokens   int           `help:"Tokens to generate." default:"64"`
	Seed     uint64        `help:"Seed of arrivals and prompts." default:"1"`
}

func main() {
	chosen := &options{}
	parsed := kong.Parse(chosen, kong.Description("Sends an open-loop load to entries on loopback."))
	parsed.FatalIfErrorf(check(chosen))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	printReport(run(ctx, chosen))
}

// check refuses a load that is unbounded or leaves this machine.
func check(chosen *options) error {
	if chosen.Span > maxSpan || chosen.Rate > maxRate {
		return fmt.Errorf("at most %s and %d calls per second; choose less", maxSpan, maxRate)
	}
	for _, entry := range chosen.Entries {
		address, err := url.Parse(entry)
		if err != nil {
			return fmt.Errorf("read the entry's address: %w", err)
		}
		if ip := net.ParseIP(address.Hostname()); ip == nil || !ip.IsLoopback() {
			return fmt.Errorf("%s is not on loopback; this program loads only this machine", entry)
		}
	}
	return nil
}

func run(ctx context.Context, chosen *options) *loader.Report {
	load := &loader.Loader{
		Balancer: &loader.Balancer{
			Entries: chosen.Entries,
		},
		Span: chosen.Span,
		Seed: chosen.Seed,
		Name: "load",
		Workloads: []*loader.Workload{{
			Name:         chosen.Kind,
			Kind:         loader.Kind(chosen.Kind),
			Host:         chosen.Host,
			Key:          chosen.Key,
			Rate:         chosen.Rate,
			Path:         chosen.Path,
			Model:        chosen.Model,
			Prefixes:     chosen.Prefixes,
			PrefixBytes:  chosen.Prefix,
			PromptBytes:  chosen.Prompt,
			OutputTokens: chosen.Tokens,
			Deadline:     time.Minute,
		}},
	}
	return load.Run(ctx)
}

func printReport(report *loader.Report) {
	for _, result := range []loader.Result{loader.Answered, loader.NotRun, loader.Unknown, loader.Failed, loader.Lost} {
		fmt.Printf("%s %d\n", result, report.Count("", result))
	}
	printHistogram("first-token", report.FirstTokens())
	printHistogram("gap-p95", report.Gaps())
	for _, kind := range []loader.Kind{loader.Stream, loader.Whole, loader.Read, loader.Once} {
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
