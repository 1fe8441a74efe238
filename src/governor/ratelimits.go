package governor

import (
	"time"

	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/pacer"
	"github.com/rosecroft/rosecroft/src/units"
)

// pruneInterval is how often the limits of upstreams that are gone are removed.
const pruneInterval = time.Second

// rateLimits divides the calls that upstreams with rate limits accept among entries. Only the
// coordinator's goroutine uses it.
type rateLimits struct {
	coordinator *coordinator
	allocator   *pacer.Allocator
	prunedAt    time.Time
}

// startLeadership starts with no limits reported by entries.
func (l *rateLimits) startLeadership() { l.allocator = &pacer.Allocator{} }

// record stores the limits that upstreams have stated to an entry.
func (l *rateLimits) record(now time.Time, poll *messages.EntryPoll) {
	if poll.GetLeadership() != l.coordinator.quarantines.leadership {
		return
	}
	for _, m := range poll.GetLimits() {
		before := l.allocator.Version()
		l.allocator.RecordObservation(now, pacer.Observation{
			IncarnationID: units.IncarnationID(m.GetLife()),
			HasLimit:      m.GetStated(),
			Rate:          units.CallRate(m.GetRate()),
			AnsweredAt:    now.Add(-time.Duration(m.GetAgeNs())),
			SentAt:        now.Add(-time.Duration(m.GetSentAgeNs())),
		})
		if l.allocator.Version() != before {
			l.coordinator.log.Info().
				Str("upstream", string(l.upstreamName(units.IncarnationID(m.GetLife())))).
				Str("entry", poll.GetEntry()).
				Bool("limited", m.GetStated()).
				Float64("limit", m.GetRate()).
				Int64("age-ms", time.Duration(m.GetAgeNs()).Milliseconds()).
				Msg("upstream-limit-changed")
		}
	}
}

// report adds the limits that an entry does not have yet, and the permits granted to it, to a
// response.
func (l *rateLimits) report(now time.Time, poll *messages.EntryPoll, response *messages.EntryPollResponse) {
	known := poll.GetLeadership() == l.coordinator.quarantines.leadership
	if !known || poll.GetLimitsVersion() != l.allocator.Version() {
		response.Limits = encodeLimits(now, l.allocator)
	}
	for _, want := range poll.GetWants() {
		id := units.IncarnationID(want.GetLife())
		if calls := l.allocator.Grant(now, units.Instance(poll.GetEntry()), id, int(want.GetCalls())); calls > 0 {
			response.Permits = append(response.Permits, &messages.UpstreamCalls{
				Life:  uint64(id),
				Calls: uint32(calls),
			})
		}
	}
}

func encodeLimits(now time.Time, allocator *pacer.Allocator) *messages.UpstreamLimits {
	limits, version := allocator.Limits()
	m := &messages.UpstreamLimits{Version: version}
	for _, limit := range limits {
		m.Limits = append(m.Limits, &messages.UpstreamLimit{
			Life:   uint64(limit.IncarnationID),
			Stated: true,
			Rate:   float64(limit.Rate),
			AgeNs:  int64(now.Sub(limit.StatedAt)),
		})
	}
	return m
}

// tick removes the limits of upstreams that are gone.
func (l *rateLimits) tick(now time.Time) {
	if now.Sub(l.prunedAt) < pruneInterval {
		return
	}
	l.prunedAt = now
	names := l.coordinator.presentUpstreams()
	l.allocator.RetainLimits(now, func(id units.IncarnationID) bool {
		_, present := names[id]
		return present
	})
}

// upstreamName returns the name of the upstream with an incarnation, "" where it is unknown.
func (l *rateLimits) upstreamName(id units.IncarnationID) units.Upstream {
	for _, e := range l.coordinator.table.Upstreams() {
		if units.NewIncarnationID(e.ID, e.Incarnation) == id {
			return e.ID
		}
	}
	return ""
}

// limits returns the limits of upstreams by their incarnations; an instance that has never led has
// none.
func (l *rateLimits) limits() map[units.IncarnationID]*float64 {
	known := make(map[units.IncarnationID]*float64)
	if l.allocator == nil {
		return known
	}
	limits, _ := l.allocator.Limits()
	for _, limit := range limits {
		rate := float64(limit.Rate)
		known[limit.IncarnationID] = &rate
	}
	return known
}

// limitedUpstreams returns how many upstreams of a service accept fewer calls than are
// available for them.
func (l *rateLimits) limitedUpstreams(now time.Time, service units.Service) int {
	if limits, _ := l.allocator.Limits(); len(limits) == 0 {
		return 0
	}
	count := 0
	for _, e := range l.coordinator.table.Upstreams() {
		if e.Service == service && e.State == enroller.Ready && l.allocator.HasShortage(now, units.NewIncarnationID(e.ID, e.Incarnation)) {
			count++
		}
	}
	return count
}
