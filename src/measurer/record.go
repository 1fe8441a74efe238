package measurer

import (
	"context"
	"time"

	"github.com/rosecroft/rosecroft/src/deployer"
	"github.com/rosecroft/rosecroft/src/loader"
	"github.com/rosecroft/rosecroft/src/parser"
)

const (
	recordSpan = 15 * time.Second
	recordRate = 100
)

// Record measures what the replicated record adds to a call that may not be repeated.
func (b *Bench) Record(ctx context.Context) (*Result, error) {
	stage, remove, err := b.stage()
	if err != nil {
		return nil, err
	}
	defer remove()
	d := b.deployment("hearthline")
	d.Pools[0].Count = 1
	if err := withPolicy(d, parser.PrefixCost, stage.Folder); err != nil {
		return nil, err
	}
	fleet, err := d.Start(ctx, stage)
	if err != nil {
		return nil, err
	}
	workloads := fleet.Mixed(deployer.Rates{
		Once: recordRate,
		Read: recordRate,
	})
	report := b.load(ctx, "record", fleet.EntryURLs(), workloads, b.span(recordSpan), false)
	once := report.Latencies(loader.Once)
	read := report.Latencies(loader.Read)
	result := b.result("record", "The cost of the record: calls that may not be repeated beside repeatable ones, 100 of each a second, 9 entries, 4 plain services that work 5 ms a call.")
	result.Add("not repeatable", quantiles(once), quantity(once.TotalCount()), "")
	result.Add("repeatable", quantiles(read), quantity(read.TotalCount()), "")
	result.Add("added at p50", short(at(once, 50)-at(read, 50)), "", "")
	result.Add("added at p99", short(at(once, 99)-at(read, 99)), "", "")
	return result, nil
}
