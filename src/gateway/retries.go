package gateway

import (
	"context"
	"time"
)

// retryReportInterval is how often the use of the retry budget is logged.
const retryReportInterval = time.Second

// recordContact records a response of the leader, and how many entries it counts, for the retry budget. The
// leader does not count an entry that is stopping, so that one gives up its part of the slack.
func (g *Gateway) recordContact(sentAt time.Time, entries int) {
	if !g.Stopping() {
		g.retryBudget.RecordContact(sentAt, entries)
	}
}

// reportRetries logs and counts the use of the retry budget until ctx ends. Services without further
// attempts since the last report have no line.
func (g *Gateway) reportRetries(ctx context.Context) {
	ticker := time.NewTicker(retryReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, report := range g.retryBudget.Reports() {
			g.trafficStats.retried(report.Allowed, report.Refused)
			g.Log.Info().
				Str("service", string(report.Service)).
				Int64("allowed", report.Allowed).
				Int64("refused", report.Refused).
				Float64("window-attempts", report.Attempts).
				Float64("window-calls", report.Calls).
				Float64("bound", report.Bound).
				Float64("slack-share", report.SlackShare).
				Int("entries", report.Entries).
				Msg("retry-budget")
		}
	}
}
