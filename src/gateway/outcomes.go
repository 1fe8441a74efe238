package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/evaluator"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/placer"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// restrictionTTL is how long after a leader's response its restrictions of upstreams apply: elections are
// over by then, and without a leader each entry's own ejector decides.
const restrictionTTL = 3 * time.Second

// outcomeExchanger counts how attempts end at upstreams. The entry that has the connection counts them, also
// those that it carries for other entries.
type outcomeExchanger struct {
	dispatcher.Exchanger
	gateway *Gateway
}

// countedExchanger returns an exchanger that counts the outcomes of attempts for the leader if it wants them.
func (g *Gateway) countedExchanger(direct dispatcher.Exchanger) dispatcher.Exchanger {
	if !g.Settings.OutlierEjection.Enabled {
		return direct
	}
	return &outcomeExchanger{
		Exchanger: direct,
		gateway:   g,
	}
}

// Exchange runs one attempt.
func (o *outcomeExchanger) Exchange(ctx context.Context, call *dispatcher.Call, attempt units.Attempt, upstream *tracker.Upstream,
	stream *dispatcher.Stream,
) dispatcher.Result {
	result := o.Exchanger.Exchange(ctx, call, attempt, upstream, stream)
	if ctx.Err() != nil {
		return result
	}
	id := units.NewIncarnationID(upstream.Name, upstream.Incarnation)
	switch {
	case hasFailed(result):
		// An upstream that is leaving breaks calls off when it ends.
		if o.gateway.acceptsCalls(upstream) {
			o.gateway.outcomes.RecordFailure(timekeeper.Now(), id, call.Fingerprint, call.Repeatable)
		}
	case result.Kind == dispatcher.Answered, result.Kind == dispatcher.Moved:
		o.gateway.outcomes.RecordAnswer(id, call.Fingerprint)
	}
	return result
}

// hasFailed reports whether an attempt failed because of the upstream: it has run and got an error of the
// upstream's own, or an answer that was broken off, lost or invalid. Refusals and failures to connect do not
// count, since an upstream that is full or gone does not fail the calls that it takes, nor does an answer for which
// the entry has no room.
func hasFailed(result dispatcher.Result) bool {
	if answer := result.Answer; answer != nil && answer.Status == http.StatusServiceUnavailable && answer.Header.Get("Retry-After") != "" {
		return false
	}
	// The entry has chosen an upstream whose version cannot continue the stream.
	var versionErr *dispatcher.VersionError
	if errors.As(result.Err, &versionErr) {
		return false
	}
	switch result.Kind {
	case dispatcher.Failed, dispatcher.OutcomeUnknown, dispatcher.Unresumable:
		return !result.ConnectFailed && !result.Unsent && !result.NoRoom
	case dispatcher.Answered:
		// The error of a call that may not be repeated is its answer.
		return result.Answer != nil && result.Answer.Status >= http.StatusInternalServerError
	case dispatcher.NotRun, dispatcher.CallerGone, dispatcher.Moved:
	}
	return false
}

// outcomeSync is the state of a poller's exchange of outcomes and restrictions of upstreams with the leader.
type outcomeSync struct {
	// leadership is the one whose restrictions apply.
	leadership uint64
}

// report adds how calls have ended since the last poll. Outcomes in a poll that does not arrive are lost.
func (s *outcomeSync) report(now time.Time, collector *evaluator.Collector, poll *messages.EntryPoll) {
	outcomes := collector.Take(now)
	if len(outcomes) == 0 {
		return
	}
	poll.Outcomes = &messages.UpstreamOutcomes{}
	for id, o := range outcomes {
		poll.Outcomes.Lives = append(poll.Outcomes.Lives, uint64(id))
		poll.Outcomes.Answers = append(poll.Outcomes.Answers, uint32(o.Answers))
		poll.Outcomes.Failures = append(poll.Outcomes.Failures, uint32(o.Failures))
	}
}

// handleResponse applies the restrictions in a leader's response. A new leader knows of none yet: the
// previous one's remain until they expire, as without any leader.
func (s *outcomeSync) handleResponse(now time.Time, p *placer.Placer, response *messages.EntryPollResponse) {
	if len(response.GetEjections()) == 0 {
		if s.leadership != 0 && s.leadership == response.GetLeadership() {
			s.leadership = 0
			p.SetRestrictions(nil)
		}
		return
	}
	s.leadership = response.GetLeadership()
	weights := make(map[units.IncarnationID]evaluator.Weight, len(response.GetEjections()))
	for _, m := range response.GetEjections() {
		// A weight that is not a number restricts nothing.
		if weight := m.GetWeight(); weight >= 0 && weight < 1 {
			weights[units.IncarnationID(m.GetLife())] = evaluator.Weight(weight)
		}
	}
	p.SetRestrictions(&placer.Restrictions{
		Until:   now.Add(restrictionTTL),
		Weights: weights,
	})
}
