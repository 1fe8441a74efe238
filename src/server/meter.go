package server

import (
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/rosecroft/rosecroft/src/meter"
	"github.com/rosecroft/rosecroft/src/units"
)

// meters holds each service's histograms, so that a token is recorded without
// a search by tags, which allocates.
type meters struct {
	services sync.Map
}

// serviceMeters are one service's latencies as its callers see them.
type serviceMeters struct {
	firstToken    tally.Histogram
	betweenTokens tally.Histogram
	whole         tally.Histogram
}

func (m *meters) of(scope tally.Scope, service units.Service) *serviceMeters {
	if known, ok := m.services.Load(service); ok {
		return known.(*serviceMeters)
	}
	tagged := scope.Tagged(map[string]string{
		"service": string(service),
	})
	made, _ := m.services.LoadOrStore(service, &serviceMeters{
		firstToken:    tagged.Histogram("first_token_seconds", meter.LatencyBuckets),
		betweenTokens: tagged.Histogram("between_tokens_seconds", meter.LatencyBuckets),
		whole:         tagged.Histogram("whole_answer_seconds", meter.LatencyBuckets),
	})
	return made.(*serviceMeters)
}
