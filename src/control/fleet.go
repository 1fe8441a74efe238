package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/certifier"
	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// MethodReport reports the upstreams that an entry knows to the leader.
const MethodReport = "control/report"

// reportExpiry is how long after the entry's last heartbeat its report is used.
const reportExpiry = 5 * time.Second

// reportReceived carries an entry's report of its upstreams.
type reportReceived struct {
	report *messages.FleetReport
	reply  chan<- *messages.FleetReportResponse
}

func (reportReceived) event() {}

// fleet is the leader's state of the upstreams, from the entries' reports.
//
// It is dropped when the leadership ends: a new leader gets full reports from all
// entries within a heartbeat interval, and must not act on reports of an earlier term.
type fleet struct {
	reports     map[units.Instance]*entryReport
	leaderSince time.Time
}

// entryReport is the upstreams that one entry has reported.
type entryReport struct {
	incarnation uint64
	number      uint64
	refreshedAt time.Time
	upstreams   map[string]*messages.Rumour
}

// applyReport applies a full report, or a change that follows the last report. For any
// other change the response requests a full report.
func (f *fleet) applyReport(now time.Time, report *messages.FleetReport) *messages.FleetReportResponse {
	response := &messages.FleetReportResponse{IsLeader: true}
	name := units.Instance(report.GetEntry())
	known := f.reports[name]
	follows := known != nil && known.incarnation == report.GetIncarnation() && known.number+1 == report.GetNumber()
	if !report.GetWhole() && !follows {
		response.WantWhole = true
		return response
	}
	if report.GetWhole() {
		known = &entryReport{
			incarnation: report.GetIncarnation(),
			upstreams:   make(map[string]*messages.Rumour),
		}
		if f.reports == nil {
			f.reports = make(map[units.Instance]*entryReport)
		}
		f.reports[name] = known
	}
	known.number = report.GetNumber()
	known.refreshedAt = now
	for _, rumour := range report.GetChanged() {
		known.upstreams[rumour.GetAnnouncement().GetUpstream()] = rumour
	}
	for _, removed := range report.GetRemoved() {
		delete(known.upstreams, removed)
	}
	return response
}

// HandleHeartbeat extends the expiry of an entry's report, since an entry without
// changes sends no report.
func (f *fleet) HandleHeartbeat(now time.Time, heartbeat *messages.EntryHeartbeat, _ *messages.EntryHeartbeatResponse) {
	known := f.reports[units.Instance(heartbeat.GetEntry())]
	if known != nil && known.incarnation == heartbeat.GetIncarnation() {
		known.refreshedAt = now
	}
}

// upstreams returns the newest report of each upstream from any entry.
func (f *fleet) upstreams(now time.Time) map[units.Upstream]*messages.Rumour {
	newest := make(map[units.Upstream]*messages.Rumour)
	for entry, report := range f.reports {
		if now.Sub(report.refreshedAt) >= reportExpiry {
			delete(f.reports, entry)
			continue
		}
		for name, rumour := range report.upstreams {
			known := newest[units.Upstream(name)]
			if known == nil || isNewer(known, rumour) {
				newest[units.Upstream(name)] = rumour
			}
		}
	}
	return newest
}

// isNewer reports whether next describes a later state of an upstream than known.
func isNewer(known, next *messages.Rumour) bool {
	a, b := known.GetAnnouncement(), next.GetAnnouncement()
	if a.GetIncarnation() != b.GetIncarnation() {
		return b.GetIncarnation() > a.GetIncarnation()
	}
	if a.GetLeaving() != b.GetLeaving() {
		return b.GetLeaving()
	}
	if a.GetSequence() != b.GetSequence() {
		return b.GetSequence() > a.GetSequence()
	}
	return next.GetState() < known.GetState()
}

// FleetDump counts a service's upstreams by state, as known to the leader.
type FleetDump struct {
	Service   units.Service `yaml:"service"`
	Announced int           `yaml:"announced"`
	Suspected int           `yaml:"suspected"`
	Leaving   int           `yaml:"leaving"`
}

func (f *fleet) dump(now time.Time) []FleetDump {
	counts := make(map[units.Service]*FleetDump)
	for _, rumour := range f.upstreams(now) {
		service := units.Service(rumour.GetAnnouncement().GetService())
		if counts[service] == nil {
			counts[service] = &FleetDump{Service: service}
		}
		switch rumour.GetState() {
		case messages.UpstreamState_UPSTREAM_STATE_LEAVING:
			counts[service].Leaving++
		case messages.UpstreamState_UPSTREAM_STATE_SUSPECTED:
			counts[service].Suspected++
		default:
			counts[service].Announced++
		}
	}
	var dump []FleetDump
	for _, service := range slices.Sorted(maps.Keys(counts)) {
		dump = append(dump, *counts[service])
	}
	return dump
}

// Lead records when the leadership started.
func (f *fleet) Lead(now time.Time, _ units.Term) []*messages.Command {
	if f.leaderSince.IsZero() {
		f.leaderSince = now
	}
	return nil
}

// StopLeading drops all reports.
func (f *fleet) StopLeading() {
	f.reports = nil
	f.leaderSince = time.Time{}
}

func (c *Control) onReport(ctx context.Context, peer connector.Peer, report *messages.FleetReport) (*messages.FleetReportResponse, error) {
	if err := peer.RequireName(certifier.Entry, report.GetEntry()); err != nil {
		return nil, err
	}
	reply := make(chan *messages.FleetReportResponse, 1)
	if err := c.postEvent(ctx, reportReceived{report: report, reply: reply}); err != nil {
		return nil, err
	}
	return await(ctx, reply)
}

func (c *coordinator) report(e reportReceived) {
	now := time.Now()
	if !c.node.IsConfirmedLeader(now) {
		e.reply <- &messages.FleetReportResponse{}
		return
	}
	e.reply <- c.fleet.applyReport(now, e.report)
}
