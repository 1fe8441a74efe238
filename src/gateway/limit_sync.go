package gateway

import (
	"time"

	"github.com/rosecroft/rosecroft/src/exchanger"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/pacer"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// recordLimit records the rate limit that an upstream stated in an answer.
func (g *Gateway) recordLimit(upstream *tracker.Upstream, limit exchanger.Limit, sentAt time.Time) {
	now := timekeeper.Now()
	changed := g.gate.RecordObservation(pacer.Observation{
		IncarnationID: units.NewIncarnationID(upstream.Name, upstream.Incarnation),
		HasLimit:      limit.HasRate,
		Rate:          limit.Rate,
		AnsweredAt:    now,
		SentAt:        sentAt,
	})
	if !changed {
		return
	}
	g.Log.Info().
		Str("upstream", string(upstream.Name)).
		Uint64("born", uint64(upstream.Incarnation)).
		Bool("limited", limit.HasRate).
		Float64("limit", float64(limit.Rate)).
		Int64("sent-ms", now.Sub(sentAt).Milliseconds()).
		Msg("upstream-limit")
}

// limitSync is the state of a poller's exchange of upstream rate limits with the leader.
type limitSync struct {
	version uint64
	limits  []pacer.Limit
	// reported is the last observation that the leader has acknowledged, sent the last one in
	// the poll in flight.
	reported pacer.ObservationNumber
	sent     pacer.ObservationNumber
}

// report adds this entry's observations of limits, and the calls that it wants to send, to a
// poll.
func (l *limitSync) report(now time.Time, gate *pacer.Gate, poll *messages.EntryPoll) {
	poll.LimitsVersion = l.version
	for id, calls := range gate.TakeDemand(now) {
		poll.Wants = append(poll.Wants, &messages.UpstreamCalls{
			Life:  uint64(id),
			Calls: uint32(calls),
		})
	}
	l.sent = l.reported
	if poll.GetLeadership() == 0 {
		return
	}
	var reported []pacer.Observation
	reported, l.sent = gate.ObservationsAfter(l.reported)
	for _, o := range reported {
		poll.Limits = append(poll.Limits, &messages.UpstreamLimit{
			Life:      uint64(o.IncarnationID),
			Stated:    o.HasLimit,
			Rate:      float64(o.Rate),
			AgeNs:     int64(now.Sub(o.AnsweredAt)),
			SentAgeNs: int64(now.Sub(o.SentAt)),
		})
	}
}

// handleResponse applies the leader's response to a poll that was sent at sentAt.
func (l *limitSync) handleResponse(now, sentAt time.Time, gate *pacer.Gate, r *messages.EntryPollResponse, entries int) {
	l.reported = l.sent
	if m := r.GetLimits(); m != nil {
		l.version = m.GetVersion()
		l.limits = nil
		for _, limit := range m.GetLimits() {
			l.limits = append(l.limits, pacer.Limit{
				IncarnationID: units.IncarnationID(limit.GetLife()),
				Rate:          units.CallRate(limit.GetRate()),
				StatedAt:      now.Add(-time.Duration(limit.GetAgeNs())),
			})
		}
	}
	gate.RecordLeaderContact(now, entries)
	gate.ApplyLimits(sentAt, l.reported, l.limits, r.GetSettled())
	for _, permit := range r.GetPermits() {
		gate.AddPermits(sentAt, units.IncarnationID(permit.GetLife()), int(permit.GetCalls()))
	}
}
