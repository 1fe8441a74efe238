package auditor

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// Write prints the audit as tables. Unless maxRows is 0, it prints at most that many routes,
// entries and upstreams of each service.
func (a *Audit) Write(out io.Writer, maxRows int) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printf := func(format string, values ...any) { _, _ = fmt.Fprintf(table, format, values...) }
	printf("from %s to %s\n\n", a.From.Format(time.RFC3339Nano), a.Until.Format(time.RFC3339Nano))
	printf("INSTANCES\tNUMBER\tCALLS\tMOST TO MEAN\n")
	for _, s := range a.Distributions {
		of := "entries"
		if s.Service != "" {
			of = "upstreams of " + string(s.Service)
		}
		printf("%s\t%d\t%d\t%.1f\n", of, s.Instances, s.Calls, s.Imbalance)
	}
	printf("\nROUTE\tSERVICE\tCALLS\tIN TIME\tLOST BY\n")
	for _, l := range limitRoutes(a.Routes, maxRows) {
		printf("%s\t%s\t%d\t%d\t%s\n", l.Route, l.Service, l.Calls, l.OnTime, l.missCauses())
	}
	printf("\nENTRY\tCALLS\tUNDER WAY\tANSWERED\tUPSTREAMS\tFIRST BYTE\t95%%\tPAUSE 95%%\n")
	for _, c := range limitPerService(a.Entries, maxRows) {
		printf("%s\t%d\t%.1f\t%d\t%d\t%v\t%v\t%v\n", c.Name, c.Calls, c.Concurrency, c.Answered, c.Counterparts, c.MedianFirstByte, c.P95FirstByte, c.P95LongestPause)
	}
	printf("\nUPSTREAM\tSERVICE\tCALLS\tUNDER WAY\tANSWERED\tENTRIES\tFIRST BYTE\t95%%\tPAUSE 95%%\n")
	for _, c := range limitPerService(a.Upstreams, maxRows) {
		printf("%s\t%s\t%d\t%.1f\t%d\t%d\t%v\t%v\t%v\n",
			c.Name, c.Service, c.Calls, c.Concurrency, c.Answered, c.Counterparts, c.MedianFirstByte, c.P95FirstByte, c.P95LongestPause)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print the audit: %w", err)
	}
	return nil
}

// limitRoutes returns at most the first maxRows summaries, all for 0.
func limitRoutes(list []RouteSummary, maxRows int) []RouteSummary {
	if maxRows <= 0 {
		return list
	}
	return list[:min(maxRows, len(list))]
}

// limitPerService returns at most the first maxRows instances of each service, all for 0.
func limitPerService(list []InstanceLoad, maxRows int) []InstanceLoad {
	if maxRows <= 0 {
		return list
	}
	shown := make(map[units.Service]int)
	var kept []InstanceLoad
	for _, c := range list {
		if shown[c.Service]++; shown[c.Service] <= maxRows {
			kept = append(kept, c)
		}
	}
	return kept
}
