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

// versions counts what answers of services that are rolled out are like; it may be used
// from several goroutines.
type versions struct {
	mu       sync.Mutex
	services map[units.Service]*versionCounts
}

// versionCounts is what was seen since a roll-out began.
type versionCounts struct {
	number  uint64
	samples map[sampleKey]*releaser.Sample
}

type sampleKey struct {
	place releaser.UpstreamHash
	route releaser.Route
}

// change applies a change to a sample of a running roll-out.
func (v *versions) change(service units.Service, number uint64, key sampleKey, apply func(*releaser.Sample)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.services == nil {
		v.services = make(map[units.Service]*versionCounts)
	}
	c := v.services[service]
	if c == nil || c.number < number {
		c = &versionCounts{
			number:  number,
			samples: make(map[sampleKey]*releaser.Sample),
		}
		v.services[service] = c
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

// tell returns what was seen of the running roll-outs, for a poll.
func (v *versions) tell(known rollouts) []*messages.VersionFigures {
	var told []*messages.VersionFigures
	for service, r := range known {
		if r.state != messages.RolloutState_ROLLOUT_STATE_RUNNING {
			continue
		}
		v.mu.Lock()
		c := v.services[service]
		if c != nil && c.number == r.number {
			for key, sample := range c.samples {
				told = append(told, governor.EncodeFigures(service, r.number, releaser.Figures{
					UpstreamHash: key.place,
					Route:        key.route,
					Sample:       *sample,
				}))
			}
		}
		v.mu.Unlock()
	}
	return told
}

// judged measures first attempts at services that are rolled out.
type judged struct {
	*exchanger.Exchanger
	gateway *Gateway
}

// Exchange runs one attempt and notes what its answer was like.
func (j *judged) Exchange(ctx context.Context, call *dispatcher.Call, attempt units.Attempt, upstream *tracker.Upstream,
	stream *dispatcher.Stream,
) dispatcher.Result {
	r := j.gateway.world.Load().rollouts[call.Service]
	t, known := call.Trail.(*trail)
	if r.state != messages.RolloutState_ROLLOUT_STATE_RUNNING || attempt > 1 || !known {
		return j.Exchanger.Exchange(ctx, call, attempt, upstream, stream)
	}
	key := sampleKey{route: releaser.Route(t.route)}
	if upstream.Release == r.target {
		key.place = releaser.UpstreamHash(placer.HashOf(upstream.Name))
	}
	versions := &j.gateway.versions
	began := timekeeper.Now()
	versions.change(call.Service, r.number, key, func(s *releaser.Sample) { s.Running++ })
	result := j.Exchanger.Exchange(ctx, call, attempt, upstream, stream)
	took := timekeeper.Now().Sub(began)
	versions.change(call.Service, r.number, key, func(s *releaser.Sample) {
		s.Running--
		answered, failed := answerOf(result)
		if !answered {
			return
		}
		if t.sink.events == 0 {
			s.RecordAnswer(failed, took, 0)
			return
		}
		s.RecordAnswer(failed, t.sink.first, t.sink.pace())
	})
	return result
}

// answerOf reports whether an upstream answered, and whether that was a failure. A connection
// that was lost says nothing of a version.
func answerOf(result dispatcher.Result) (answered, failed bool) {
	var foreign *exchanger.ForeignError
	switch {
	case result.Kind == dispatcher.Failed, errors.As(result.Err, &foreign):
		return true, true
	case result.Kind != dispatcher.Answered:
		return false, false
	}
	return true, result.Answer != nil && result.Answer.Status >= http.StatusInternalServerError
}
