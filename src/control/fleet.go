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

// MethodReport tells the leader of the upstreams that an entry hears.
const MethodReport = "control/report"

// reportExpiry is how long an entry's report counts after its last heartbeat.
const reportExpiry = 5 * time.Second

// reported is an entry's report of its upstreams.
type reported struct {
	report *messages.FleetReport
	reply  chan<- *messages.FleetReportResponse
}

func (reported) event() {}

// fleet is what the leader knows of the upstreams, from the entries' reports.
//
// Its memory ends with the leadership: a new leader has whole reports from all
// entries within a heartbeat, and must not act on what it heard in an earlier term.
type fleet struct {
	reports map[units.Instance]*entryReport
	ledAt   time.Time
}

// entryReport is what one entry hears.
type entryReport struct {
	incarnation uint64
	number      uint64
	at          time.Time
	upstreams   map[string]*messages.Rumour
}

func (f *fleet) take(now time.Time, report *messages.FleetReport) *messages.FleetReportResponse {
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
	known.at = now
	for _, rumour := range report.GetChanged() {
		known.upstreams[rumour.GetAnnouncement().GetUpstream()] = rumour
	}
	for _, removed := range report.GetRemoved() {
		delete(known.upstreams, removed)
	}
	return response
}

// Hear keeps an entry's report alive, since an entry without news sends none.
func (f *fleet) Hear(now time.Time, heartbeat *messages.EntryHeartbeat, _ *messages.EntryHeartbeatResponse) {
	known := f.reports[units.Instance(heartbeat.GetEntry())]
	if known != nil && known.incarnation == heartbeat.GetIncarnation() {
		known.at = now
	}
}

// upstreams returns the newest that any entry reports of each upstream.
func (f *fleet) upstreams(now time.Time) map[units.Upstream]*messages.Rumour {
	newest := make(map[units.Upstream]*messages.Rumour)
	for entry, report := range f.reports {
		if now.Sub(report.at) >= reportExpiry {
			delete(f.reports, entry)
			continue
		}
		for name, rumour := range report.upstreams {
			known := newest[units.Upstream(name)]
			if known == nil || reportsLater(known, rumour) {
				newest[units.Upstream(name)] = rumour
			}
		}
	}
	return newest
}

// reportsLater reports whether next tells of a later moment than known.
func reportsLater(known, next *messages.Rumour) bool {
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

// FleetDump counts what the leader knows of a service's upstreams.
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

// Lead notes when the leadership began.
func (f *fleet) Lead(now time.Time, _ units.Term) []*messages.Command {
	if f.ledAt.IsZero() {
		f.ledAt = now
	}
	return nil
}

// Rest forgets what was heard.
func (f *fleet) Rest() {
	f.reports = nil
	f.ledAt = time.Time{}
}

func (c *Control) onReport(ctx context.Context, peer connector.Peer, report *messages.FleetReport) (*messages.FleetReportResponse, error) {
	if err := peer.Speaks(certifier.Entry, report.GetEntry()); err != nil {
		return nil, err
	}
	reply := make(chan *messages.FleetReportResponse, 1)
	if err := c.post(ctx, reported{report: report, reply: reply}); err != nil {
		return nil, err
	}
	return await(ctx, reply)
}

func (c *coordinator) report(e reported) {
	now := time.Now()
	if !c.node.Lead(now) {
		e.reply <- &messages.FleetReportResponse{}
		return
	}
	e.reply <- c.fleet.take(now, e.report)
}
