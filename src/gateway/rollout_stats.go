package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/exchanger"
	"github.com/rosecroft/rosecroft/src/governor"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/placer"
	"github.com/rosecroft/rosecroft/src/releaser"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// rolloutStats collects samples of the answers of services that are being rolled out; it is
// safe for concurrent use.
type rolloutStats struct {
	mu       sync.Mutex
	services map[units.Service]*rolloutSamples
}

// rolloutSamples holds the samples since a roll-out began.
type rolloutSamples struct {
	number  uint64
	samples map[sampleKey]*releaser.Sample
}

type sampleKey struct {
	targetUpstream releaser.UpstreamHash
	route          releaser.Route
}

// update applies a change to a sample of a running roll-out.
func (rs *rolloutStats) update(service units.Service, number uint64, key sampleKey, apply func(*releaser.Sample)) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.services == nil {
		rs.services = make(map[units.Service]*rolloutSamples)
	}
	c := rs.services[service]
	if c == nil || c.number < number {
		c = &rolloutSamples{
			number:  number,
			samples: make(map[sampleKey]*releaser.Sample),
		}
		rs.services[service] = c
	}
	if c.number != number {
		return
	}
	sample := c.samples[key]
	if sample == nil {
		sample = &releaser.Sample{}
		c.samples[key] = sample
	}
	apply(sample)
}

// report returns the samples of the running roll-outs, for a poll.
func (rs *rolloutStats) report(known rollouts) []*messages.VersionFigures {
	var reports []*messages.VersionFigures
	for service, r := range known {
		if r.state != messages.RolloutState_ROLLOUT_STATE_RUNNING {
			continue
		}
		rs.mu.Lock()
		c := rs.services[service]
		if c != nil && c.number == r.number {
			for key, sample := range c.samples {
				reports = append(reports, governor.EncodeFigures(service, r.number, releaser.Figures{
					UpstreamHash: key.targetUpstream,
					Route:        key.route,
					Sample:       *sample,
				}))
			}
		}
		rs.mu.Unlock()
	}
	return reports
}

// measuredExchanger measures the first attempts of calls to services that are being rolled out, apart from
// those that resume a stream: these are bound to a version.
type measuredExchanger struct {
	dispatcher.Exchanger
	gateway *Gateway
}

// Exchange runs one attempt and samples its answer.
func (m *measuredExchanger) Exchange(ctx context.Context, call *dispatcher.Call, attempt units.Attempt, upstream *tracker.Upstream,
	stream *dispatcher.Stream,
) dispatcher.Result {
	r := m.gateway.snapshot.Load().rollouts[call.Service]
	t, known := call.Trace.(*callTrace)
	if r.state != messages.RolloutState_ROLLOUT_STATE_RUNNING || attempt > 1 || !known || call.Origin != nil {
		return m.Exchanger.Exchange(ctx, call, attempt, upstream, stream)
	}
	key := sampleKey{route: releaser.Route(t.route)}
	if upstream.Release == r.target {
		key.targetUpstream = releaser.UpstreamHash(placer.HashOf(upstream.Name))
	}
	rolloutStats := &m.gateway.rolloutStats
	startedAt := timekeeper.Now()
	rolloutStats.update(call.Service, r.number, key, func(s *releaser.Sample) { s.Running++ })
	result := m.Exchanger.Exchange(ctx, call, attempt, upstream, stream)
	took := timekeeper.Now().Sub(startedAt)
	rolloutStats.update(call.Service, r.number, key, func(s *releaser.Sample) {
		s.Running--
		answered, failed := classifyAnswer(result)
		if !answered {
			return
		}
		if t.sink.events == 0 {
			s.RecordAnswer(failed, took, 0)
			return
		}
		s.RecordAnswer(failed, t.sink.firstByte, t.sink.eventInterval())
	})
	return result
}

// classifyAnswer reports whether an upstream answered, and whether the answer is a failure. A
// lost connection says nothing about a version.
func classifyAnswer(result dispatcher.Result) (answered, failed bool) {
	var foreign *exchanger.InvalidAnswerError
	switch {
	case result.Kind == dispatcher.Failed, errors.As(result.Err, &foreign):
		return true, true
	case result.Kind != dispatcher.Answered:
		return false, false
	}
	return true, result.Answer != nil && result.Answer.Status >= http.StatusInternalServerError
}
