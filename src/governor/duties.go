package governor

import (
	"context"
	"errors"
	"time"

	"github.com/rosecroft/rosecroft/src/aggregator"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/replicator"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// cloudTimeout bounds one call to the platform.
	cloudTimeout = 2 * time.Second
	// reportWaitFraction is the fraction of the time allowed for reporting a window's usage
	// during which the window waits for entries that are not in contact. The rest is for the
	// call to the platform, and for one retry where it gets no answer.
	reportWaitFraction = 0.75
)

// Cloud is the platform's API for actions that exactly one instance takes on behalf of all.
type Cloud interface {
	// ReportUsage reports one window. A *FencedError means that this instance no longer holds
	// the duty.
	ReportUsage(ctx context.Context, holder DutyHolder, report aggregator.Report) error
	// Scale orders upstreams. A *FencedError means that this instance no longer holds the
	// duty, a *NoCapacityError that none are available now.
	Scale(ctx context.Context, holder DutyHolder, order Order) error
}

// NoCapacityError is returned where the platform has no more upstreams of a kind now.
type NoCapacityError struct {
	Order Order
}

// Error states the cause and the remedy.
func (e *NoCapacityError) Error() string {
	return "the platform has no more upstreams of " + string(e.Order.Service) + " in " + string(e.Order.DataCentre) +
		"; order them elsewhere or later"
}

// duties are the actions that the leader alone takes on behalf of all instances. Only the
// coordinator's goroutine uses them.
type duties struct {
	coordinator *coordinator
	// cloud is nil where the platform offers no API.
	cloud Cloud

	// lastProposed is the last window whose usage this leader proposed to the log.
	lastProposed aggregator.Window
	delivered    map[aggregator.Window]bool
	reporting    bool
	retryAt      time.Time
	fenced       bool
	orders       orders
}

// startLeadership resets the duties, with no report delivered yet: a report that is sent
// twice with the same counts does no harm, one that is never sent does.
func (d *duties) startLeadership() {
	d.lastProposed = 0
	d.delivered = make(map[aggregator.Window]bool)
	d.fenced = false
	d.retryAt = time.Time{}
	d.orders.startLeadership()
}

// tick starts the duties that are due.
func (d *duties) tick(ctx context.Context, now time.Time) error {
	if d.cloud == nil || d.fenced {
		return nil
	}
	d.report(ctx, now)
	d.orders.tick(ctx, now, d)
	return d.proposeUsage(now)
}

// proposeUsage proposes the counts of the next window to the log before they are reported:
// the next leader, which has received other polls, must report the same counts.
func (d *duties) proposeUsage(now time.Time) error {
	c := d.coordinator
	report, due := c.state.ledger.Due(c.trueTime(now))
	if !due || report.Window <= d.lastProposed {
		return nil
	}
	d.lastProposed = report.Window
	return c.step(replicator.Proposed{
		Command: &messages.Command{
			Change: &messages.Command_UsageReport{
				UsageReport: reportMessage(report),
			},
		},
	})
}

// report sends the oldest undelivered report; at most one is in flight.
func (d *duties) report(ctx context.Context, now time.Time) {
	if d.reporting || now.Before(d.retryAt) {
		return
	}
	for _, report := range d.coordinator.state.ledger.Committed() {
		if d.delivered[report.Window] {
			continue
		}
		d.reporting = true
		go d.sendReport(ctx, d.coordinator.node.Term(), report)
		return
	}
}

// sendReport reports one window, unless the leadership has ended meanwhile: a process that
// was suspended at this point must not act when it resumes.
func (d *duties) sendReport(ctx context.Context, term units.Term, report aggregator.Report) {
	c := d.coordinator
	err := errLeadershipEnded
	if c.now().UnixNano() < c.leaderUntil.Load() {
		callContext, cancel := context.WithTimeout(ctx, cloudTimeout)
		err = d.cloud.ReportUsage(callContext, d.holder(term), report)
		cancel()
	}
	select {
	case c.events <- usageReportEnded{
		term:   term,
		window: report.Window,
		err:    err,
	}:
	case <-ctx.Done():
	}
}

var errLeadershipEnded = errors.New("this instance no longer leads")

func (d *duties) holder(term units.Term) DutyHolder {
	return DutyHolder{
		Name:         d.coordinator.settings.Name,
		FencingToken: term,
	}
}

// handleReportResult handles the result of a usage report.
func (d *duties) handleReportResult(e usageReportEnded) {
	c := d.coordinator
	d.reporting = false
	if e.term != c.node.Term() {
		return
	}
	var fenced *FencedError
	switch {
	case e.err == nil:
		d.delivered[e.window] = true
		c.log.Info().Int64("window", int64(e.window)).Uint64("fence", uint64(e.term)).Msg("usage-reported")
		return
	case errors.As(e.err, &fenced):
		d.fenced = true
	default:
		d.retryAt = c.now().Add(retryDelay)
	}
	c.log.Warn().Err(e.err).Int64("window", int64(e.window)).Uint64("fence", uint64(e.term)).Msg("usage-not-reported")
}
