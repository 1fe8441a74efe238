package entry

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/control"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// loadInterval is how often the load is reported to control. Other changes are reported at
	// once.
	loadInterval = time.Second
	// reportInterval is the time between two reports without changes.
	reportInterval = time.Second
)

// reporter reports the upstreams that announce themselves to this entry to the control leader.
type reporter struct {
	client      *connector.Client
	coordinator *coordinator
	entry       units.Instance
	incarnation uint64

	controls []parser.ControlAddress

	// acknowledged is what the leader has acknowledged, nil if it needs a full report.
	acknowledged   map[string]*messages.Rumour
	nextControl    int
	number         uint64
	loadReportedAt time.Time
	reportedAt     time.Time
}

// run sends reports until ctx ends.
func (r *reporter) run(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.report(ctx)
		}
	}
}

// report sends what has changed, and everything to a new leader.
func (r *reporter) report(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	upstreams, err := r.directUpstreams(ctx)
	if err != nil {
		return
	}
	full := r.acknowledged == nil
	if full {
		r.acknowledged = make(map[string]*messages.Rumour)
	}
	report := r.difference(upstreams)
	report.Whole = full
	// A report without changes is sent now and then all the same: a new leader has received
	// nothing and requests a full report in its response.
	isUnchanged := len(report.GetChanged()) == 0 && len(report.GetRemoved()) == 0
	if !full && isUnchanged && time.Since(r.reportedAt) < reportInterval {
		return
	}
	response := &messages.FleetReportResponse{}
	address := r.controls[r.nextControl%len(r.controls)].Address
	err = r.client.Call(ctx, address, control.MethodReport, report, response)
	if err != nil || !response.GetIsLeader() {
		r.acknowledged = nil
		r.nextControl++
		return
	}
	if response.GetWantWhole() {
		r.acknowledged = nil
		return
	}
	r.number = report.GetNumber()
	r.reportedAt = time.Now()
	r.acknowledge(report)
}

func (r *reporter) directUpstreams(ctx context.Context) ([]*messages.Rumour, error) {
	reply := make(chan []*messages.Rumour, 1)
	select {
	case r.coordinator.events <- directUpstreamsRequested{reply: reply}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case upstreams := <-reply:
		return upstreams, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (r *reporter) difference(upstreams []*messages.Rumour) *messages.FleetReport {
	report := &messages.FleetReport{
		Entry:       string(r.entry),
		Incarnation: r.incarnation,
		Number:      r.number + 1,
	}
	withLoads := time.Since(r.loadReportedAt) >= loadInterval
	if withLoads {
		r.loadReportedAt = time.Now()
	}
	present := make(map[string]bool)
	for _, rumour := range upstreams {
		name := rumour.GetAnnouncement().GetUpstream()
		present[name] = true
		known := r.acknowledged[name]
		if known == nil || needsReport(known, rumour, withLoads) {
			report.Changed = append(report.Changed, rumour)
		}
	}
	for name := range r.acknowledged {
		if !present[name] {
			report.Removed = append(report.Removed, name)
		}
	}
	return report
}

func (r *reporter) acknowledge(report *messages.FleetReport) {
	for _, rumour := range report.GetChanged() {
		r.acknowledged[rumour.GetAnnouncement().GetUpstream()] = rumour
	}
	for _, name := range report.GetRemoved() {
		delete(r.acknowledged, name)
	}
}

// needsReport reports whether control should receive the next state. A new sequence number alone
// is of no use to it.
func needsReport(known, next *messages.Rumour, withLoads bool) bool {
	if known.GetState() != next.GetState() {
		return true
	}
	a, b := proto.CloneOf(known.GetAnnouncement()), proto.CloneOf(next.GetAnnouncement())
	if !withLoads {
		a.Load = b.GetLoad()
	}
	a.Sequence = b.GetSequence()
	a.LeavingWithinMs = b.GetLeavingWithinMs()
	return !proto.Equal(a, b)
}
