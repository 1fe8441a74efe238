package entry

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/control"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// loadEvery is how often control learns of the load; other changes go at once.
const loadEvery = time.Second

// reporter tells the control leader of the upstreams that announce themselves here.
type reporter struct {
	client      *connector.Client
	coordinator *coordinator
	entry       units.Instance
	incarnation uint64

	// told is what the leader at address has acknowledged.
	told     map[string]*messages.Rumour
	address  string
	number   uint64
	loadedAt time.Time
}

// report sends what is new; it sends everything to a leader that is new.
func (r *reporter) report(ctx context.Context, address string) {
	list, err := r.list(ctx)
	if err != nil {
		return
	}
	whole := r.told == nil || address != r.address
	if whole {
		r.told = make(map[string]*messages.Rumour)
	}
	report := r.difference(list)
	report.Whole = whole
	if !whole && len(report.GetChanged()) == 0 && len(report.GetRemoved()) == 0 {
		return
	}
	response := &messages.FleetReportResponse{}
	err = r.client.Call(ctx, address, control.MethodReport, report, response)
	if err != nil || !response.GetIsLeader() || response.GetWantWhole() {
		r.told = nil
		return
	}
	r.address = address
	r.number = report.GetNumber()
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
