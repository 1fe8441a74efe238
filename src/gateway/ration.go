package gateway

import (
	"time"

	"github.com/rosecroft/rosecroft/src/exchanger"
	"github.com/rosecroft/rosecroft/src/governor"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/rationer"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// recordBrittleness records what the head of an answer states about falling over, and whether the
// upstream is full.
func (g *Gateway) recordBrittleness(now, sentAt time.Time, upstream *tracker.Upstream, verdict exchanger.Verdict) {
	if verdict.Brittle == nil {
		return
	}
	id := units.NewIncarnationID(upstream.Name, upstream.Incarnation)
	_, before := g.rationer.Brittle(now, upstream.Service)
	g.rationer.RecordAnswer(now, sentAt, upstream.Service, id, *verdict.Brittle)
	if verdict.Full {
		g.trafficStats.rejected(upstream)
		g.rationer.RecordRejected(now, upstream.Service, id)
	}
	if _, after := g.rationer.Brittle(now, upstream.Service); before == after {
		return
	}
	g.Log.Info().
		Str("service", string(upstream.Service)).
		Str("upstream", string(upstream.Name)).
		Uint64("born", uint64(upstream.Incarnation)).
		Bool("brittle", !before).
		Float64("max-rejections", verdict.Brittle.MaxRejections).
		Msg("service-brittle")
}

// reportBrittleness adds what this entry knows of brittle services to a poll.
func reportBrittleness(now time.Time, r *rationer.Rationer, poll *messages.EntryPoll) {
	services, full := r.Report(now)
	for _, s := range services {
		poll.Brittle = append(poll.Brittle, governor.EncodeBrittle(now, s))
	}
	poll.Full = governor.EncodeFull(now, full)
}

// applyBrittleness applies what a leader's response says of brittle services.
func applyBrittleness(now time.Time, r *rationer.Rationer, response *messages.EntryPollResponse) {
	services := make([]rationer.Service, 0, len(response.GetBrittle()))
	for _, m := range response.GetBrittle() {
		services = append(services, governor.DecodeBrittle(now, m))
	}
	r.ApplyFleet(now, services, governor.DecodeFull(now, response.GetFull()))
}
