package measurer

import (
	"context"
	"time"

	"github.com/rosecroft/rosecroft/src/deployer"
	"github.com/rosecroft/rosecroft/src/loader"
	"github.com/rosecroft/rosecroft/src/parser"
)

const (
	recordLoadDuration = 15 * time.Second
	recordRate         = 100
)

// RecordCost measures the latency that replicating the call's record adds to a call that must not run twice.
func (b *Bench) RecordCost(ctx context.Context) (*Result, error) {
	cluster, cleanup, err := b.newCluster()
	if err != nil {
		return nil, err
	}
	defer cleanup()
	d := b.deployment("hearthline")
	d.Pools[0].Count = 1
	if err := setPolicy(d, parser.PrefixCost, cluster.Folder); err != nil {
		return nil, err
	}
	fleet, err := d.Start(ctx, cluster)
	if err != nil {
		return nil, err
	}
	workloads := fleet.MixedWorkloads(deployer.Rates{
		NonRepeatable: recordRate,
		Read:          recordRate,
	})
	report := b.runLoad(ctx, "record", fleet.EntryURLs(), workloads, b.loadDuration(recordLoadDuration), false)
	once := report.Latencies(loader.NonRepeatable)
	read := report.Latencies(loader.Read)
	result := b.newResult("record", "The cost of the record: calls that may not be repeated beside repeatable ones, 100 of each a second, 9 entries, 4 plain services that work 5 ms a call.")
	result.Add("not repeatable", formatPercentiles(once), formatCallCount(once.TotalCount()), "")
	result.Add("repeatable", formatPercentiles(read), formatCallCount(read.TotalCount()), "")
	result.Add("added at p50", formatDuration(durationAt(once, 50)-durationAt(read, 50)), "", "")
	result.Add("added at p99", formatDuration(durationAt(once, 99)-durationAt(read, 99)), "", "")
	return result, nil
}
