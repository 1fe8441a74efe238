package auditor

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// Write prints an audit, of the entries and of each service's upstreams the first few alone
// where most is not 0.
func (a *Audit) Write(out io.Writer, most int) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printf := func(format string, values ...any) { _, _ = fmt.Fprintf(table, format, values...) }
	printf("from %s to %s\n\n", a.From.Format(time.RFC3339Nano), a.Until.Format(time.RFC3339Nano))
	printf("INSTANCES\tNUMBER\tCALLS\tMOST TO MEAN\n")
	for _, s := range a.Shares {
		of := "entries"
		if s.Of != "" {
			of = "upstreams of " + string(s.Of)
		}
		printf("%s\t%d\t%d\t%.1f\n", of, s.Instances, s.Calls, s.Uneven)
	}
	printf("\nROUTE\tSERVICE\tCALLS\tIN TIME\tLOST BY\n")
	for _, l := range firstRoutes(a.Routes, most) {
		printf("%s\t%s\t%d\t%d\t%s\n", l.Route, l.Service, l.Calls, l.InTime, l.causes())
	}
	printf("\nENTRY\tCALLS\tUNDER WAY\tANSWERED\tUPSTREAMS\tFIRST BYTE\t95%%\tPAUSE 95%%\n")
	for _, c := range first(a.Entries, most) {
		printf("%s\t%d\t%.1f\t%d\t%d\t%v\t%v\t%v\n", c.Name, c.Calls, c.UnderWay, c.Answered, c.Others, c.First, c.Late, c.Pause)
	}
	printf("\nUPSTREAM\tSERVICE\tCALLS\tUNDER WAY\tANSWERED\tENTRIES\tFIRST BYTE\t95%%\tPAUSE 95%%\n")
	for _, c := range first(a.Upstreams, most) {
		printf("%s\t%s\t%d\t%.1f\t%d\t%d\t%v\t%v\t%v\n",
			c.Name, c.Service, c.Calls, c.UnderWay, c.Answered, c.Others, c.First, c.Late, c.Pause)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print the audit: %w", err)
	}
	return nil
}

// firstRoutes returns the first few ledgers.
func firstRoutes(list []Ledger, most int) []Ledger {
	if most <= 0 {
		return list
	}
	return list[:min(most, len(list))]
}

// first returns the first few of each service.
func first(list []Carried, most int) []Carried {
	if most <= 0 {
		return list
	}
	shown := make(map[units.Service]int)
	var kept []Carried
	for _, c := range list {
		if shown[c.Service]++; shown[c.Service] <= most {
			kept = append(kept, c)
		}
	}
	return kept
}
