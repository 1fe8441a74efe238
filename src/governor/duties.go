package governor

import (
	"context"
	"errors"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/replicator"
	"github.com/rosecroft/rosecroft/src/tallier"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// cloudTimeout bounds one call to the platform.
	cloudTimeout = 2 * time.Second
	// reportUse is the part of the time within which a window's usage is wanted that
	// it waits for entries that are not heard; the rest is for the call, once again
	// where it gets no answer.
	reportUse = 0.75
)

// Cloud is the platform's interface for what one instance does for all.
type Cloud interface {
	// ReportUsage reports one window; a *FencedError as its error ends the duty.
	ReportUsage(ctx context.Context, holder Holder, report tallier.Report) error
	// Scale orders upstreams; a *FencedError as its error ends the duty, an
	// *UnavailableError says that none are to be had now.
	Scale(ctx context.Context, holder Holder, order Order) error
}

// UnavailableError says that the platform has no more upstreams of a kind now.
type UnavailableError struct {
	Order Order
}

// Error names the remedy.
func (e *UnavailableError) Error() string {
	return "the platform has no more upstreams of " + string(e.Order.Service) + " in " + string(e.Order.DataCentre) +
		"; order them elsewhere or later"
}

// duties are what the leader does for all; the coordinator alone uses them.
type duties struct {
	coordinator *coordinator
	// cloud is nil where the platform takes no calls.
	cloud Cloud

	// proposed is the last window whose usage was written to the log by this leader.
	proposed  tallier.Window
	delivered map[tallier.Window]bool
	reporting bool
	retryAt   time.Time
	fenced    bool
	orders    orders
}

// begin starts a leadership with nothing delivered: a report that arrives twice
// with the same counts does no harm, and one that never arrives does.
func (d *duties) begin() {
	d.proposed = 0
	d.delivered = make(map[tallier.Window]bool)
	d.fenced = false
	d.retryAt = time.Time{}
	d.orders.begin()
}

// work does what is due.
func (d *duties) work(ctx context.Context, now time.Time) error {
	if d.cloud == nil || d.fenced {
		return nil
	}
	d.report(ctx, now)
	d.orders.work(ctx, now, d)
	return d.fix(now)
}

// fix writes the counts of the next window to the log before anything is
// reported: the next leader, which has heard other polls, must report the same.
func (d *duties) fix(now time.Time) error {
	c := d.coordinator
	report, due := c.state.ledger.Due(c.trueTime(now))
	if !due || report.Window <= d.proposed {
		return nil
	}
	d.proposed = report.Window
	return c.step(replicator.Proposed{
		Command: &messages.Command{
			Change: &messages.Command_UsageReport{
				UsageReport: reportMessage(report),
			},
		},
	})
}

// report sends the oldest report that has not arrived, one at a time.
func (d *duties) report(ctx context.Context, now time.Time) {
	if d.reporting || now.Before(d.retryAt) {
		return
	}
	for _, report := range d.coordinator.state.ledger.Fixed() {
		if d.delivered[report.Window] {
			continue
		}
		d.reporting = true
		go d.send(ctx, d.coordinator.node.Term(), report)
		return
	}
}

// send reports one window, unless the leadership has ended meanwhile: a process
// that was suspended here must not act when it wakes.
func (d *duties) send(ctx context.Context, term units.Term, report tallier.Report) {
	c := d.coordinator
	err := errRested
	if timekeeper.Now().UnixNano() < c.leadUntil.Load() {
		callContext, cancel := context.WithTimeout(ctx, cloudTimeout)
		err = d.cloud.ReportUsage(callContext, d.holder(term), report)
		cancel()
	}
	select {
	case c.box <- reportEnded{
		term:   term,
		window: report.Window,
		err:    err,
	}:
	case <-ctx.Done():
	}
}

var errRested = errors.New("this instance does not lead any more")

func (d *duties) holder(term units.Term) Holder {
	return Holder{
		Name:  d.coordinator.settings.Name,
		Fence: term,
	}
}

// reported takes the end of a report.
func (d *duties) reported(e reportEnded) {
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
		d.retryAt = timekeeper.Now().Add(retryPause)
	}
	c.log.Warn().Err(e.err).Int64("window", int64(e.window)).Uint64("fence", uint64(e.term)).Msg("usage-not-reported")
}
