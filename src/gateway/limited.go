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

// limited takes what an upstream says of how many calls it takes.
func (g *Gateway) limited(upstream *tracker.Upstream, limit exchanger.Limit, sentAt time.Time) {
	now := timekeeper.Now()
	changed := g.gate.RecordObservation(pacer.Observation{
		Life:       units.LifeOf(upstream.Name, upstream.Incarnation),
		HasLimit:   limit.Stated,
		Rate:       limit.Rate,
		AnsweredAt: now,
		SentAt:     sentAt,
	})
	if !changed {
		return
	}
	g.Log.Info().
		Str("upstream", string(upstream.Name)).
		Uint64("born", uint64(upstream.Incarnation)).
		Bool("limited", limit.Stated).
		Float64("limit", float64(limit.Rate)).
		Int64("sent-ms", now.Sub(sentAt).Milliseconds()).
		Msg("upstream-limit")
}

// pace is what a poller knows of the leader's limits.
type pace struct {
	version uint64
	known   []pacer.Limit
	// heard is the last news that the leader was told, sent the last of the poll under way.
	heard pacer.ObservationNumber
	sent  pacer.ObservationNumber
}

// tell adds what this entry has heard and what it wants to a poll.
func (p *pace) tell(now time.Time, gate *pacer.Gate, poll *messages.EntryPoll) {
	poll.LimitsVersion = p.version
	for life, calls := range gate.TakeDemand(now) {
		poll.Wants = append(poll.Wants, &messages.UpstreamCalls{
			Life:  uint64(life),
			Calls: uint32(calls),
		})
	}
	p.sent = p.heard
	if poll.GetLeadership() == 0 {
		return
	}
	var heard []pacer.Observation
	heard, p.sent = gate.ObservationsAfter(p.heard)
	for _, o := range heard {
		poll.Limits = append(poll.Limits, &messages.UpstreamLimit{
			Life:      uint64(o.Life),
			Stated:    o.HasLimit,
			Rate:      float64(o.Rate),
			AgeNs:     int64(now.Sub(o.AnsweredAt)),
			SentAgeNs: int64(now.Sub(o.SentAt)),
		})
	}
}

// follow goes by a leader's answer to a poll that was sent then.
func (p *pace) follow(now, sentAt time.Time, gate *pacer.Gate, r *messages.EntryPollResponse, entries int) {
	p.heard = p.sent
	if m := r.GetLimits(); m != nil {
		p.version = m.GetVersion()
		p.known = nil
		for _, limit := range m.GetLimits() {
			p.known = append(p.known, pacer.Limit{
				Life:     units.Life(limit.GetLife()),
				Rate:     units.CallRate(limit.GetRate()),
				StatedAt: now.Add(-time.Duration(limit.GetAgeNs())),
			})
		}
	}
	gate.RecordLeaderContact(now, entries)
	gate.ApplyLimits(sentAt, p.heard, p.known, r.GetSettled())
	for _, permit := range r.GetPermits() {
		gate.AddPermits(sentAt, units.Life(permit.GetLife()), int(permit.GetCalls()))
	}
}
