package server

import (
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/rosecroft/rosecroft/src/meter"
	"github.com/rosecroft/rosecroft/src/units"
)

// metrics caches each service's histograms, so that recording a token needs no lookup by
// tags, which allocates.
type metrics struct {
	services sync.Map
}

// serviceMetrics holds one service's latency histograms as its callers see them.
type serviceMetrics struct {
	firstToken    tally.Histogram
	betweenTokens tally.Histogram
	wholeAnswer   tally.Histogram
}

func (m *metrics) forService(scope tally.Scope, service units.Service) *serviceMetrics {
	if existing, ok := m.services.Load(service); ok {
		return existing.(*serviceMetrics)
	}
	tagged := scope.Tagged(map[string]string{
		"service": string(service),
	})
	stored, _ := m.services.LoadOrStore(service, &serviceMetrics{
		firstToken:    tagged.Histogram("first_token_seconds", meter.LatencyBuckets),
		betweenTokens: tagged.Histogram("between_tokens_seconds", meter.LatencyBuckets),
		wholeAnswer:   tagged.Histogram("whole_answer_seconds", meter.LatencyBuckets),
	})
	return stored.(*serviceMetrics)
}
