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
	// loadEvery is how often control learns of the load; other changes go at once.
	loadEvery = time.Second
	// reportEvery is the time between two reports without news.
	reportEvery = time.Second
)

// reporter tells the control leader of the upstreams that announce themselves here.
type reporter struct {
	client      *connector.Client
	coordinator *coordinator
	entry       units.Instance
	incarnation uint64

	controls []parser.ControlAddress

	// told is what the leader has acknowledged, nil where it has to be told all.
	told       map[string]*messages.Rumour
	next       int
	number     uint64
	loadedAt   time.Time
	reportedAt time.Time
}

// run reports until ctx ends.
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

// report sends what is new; it sends everything to a leader that is new.
func (r *reporter) report(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	list, err := r.list(ctx)
	if err != nil {
		return
	}
	whole := r.told == nil
	if whole {
		r.told = make(map[string]*messages.Rumour)
	}
	report := r.difference(list)
	report.Whole = whole
	// Without news a report goes now and then all the same: a new leader has
	// heard nothing and asks for everything in its answer.
	quiet := len(report.GetChanged()) == 0 && len(report.GetRemoved()) == 0
	if !whole && quiet && time.Since(r.reportedAt) < reportEvery {
		return
	}
	response := &messages.FleetReportResponse{}
	address := r.controls[r.next%len(r.controls)].Address
	err = r.client.Call(ctx, address, control.MethodReport, report, response)
	if err != nil || !response.GetIsLeader() {
		r.told = nil
		r.next++
		return
	}
	if response.GetWantWhole() {
		r.told = nil
		return
	}
	r.number = report.GetNumber()
	r.reportedAt = time.Now()
	r.acknowledge(report)
}

func (r *reporter) list(ctx context.Context) ([]*messages.Rumour, error) {
	reply := make(chan []*messages.Rumour, 1)
	select {
	case r.coordinator.box <- listed{reply: reply}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case list := <-reply:
		return list, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (r *reporter) difference(list []*messages.Rumour) *messages.FleetReport {
	report := &messages.FleetReport{
		Entry:       string(r.entry),
		Incarnation: r.incarnation,
		Number:      r.number + 1,
	}
	loads := time.Since(r.loadedAt) >= loadEvery
	if loads {
		r.loadedAt = time.Now()
	}
	present := make(map[string]bool)
	for _, rumour := range list {
		name := rumour.GetAnnouncement().GetUpstream()
		present[name] = true
		known := r.told[name]
		if known == nil || differs(known, rumour, loads) {
			report.Changed = append(report.Changed, rumour)
		}
	}
	for name := range r.told {
		if !present[name] {
			report.Removed = append(report.Removed, name)
		}
	}
	return report
}

func (r *reporter) acknowledge(report *messages.FleetReport) {
	for _, rumour := range report.GetChanged() {
		r.told[rumour.GetAnnouncement().GetUpstream()] = rumour
	}
	for _, name := range report.GetRemoved() {
		delete(r.told, name)
	}
}

// differs reports whether control should know; a sequence alone tells it nothing.
func differs(known, next *messages.Rumour, loads bool) bool {
	if known.GetState() != next.GetState() {
		return true
	}
	a, b := proto.CloneOf(known.GetAnnouncement()), proto.CloneOf(next.GetAnnouncement())
	if !loads {
		a.Load = b.GetLoad()
	}
	a.Sequence = b.GetSequence()
	a.LeavingWithinMs = b.GetLeavingWithinMs()
	return !proto.Equal(a, b)
}
