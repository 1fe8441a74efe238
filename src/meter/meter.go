package meter

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"
)

const reportInterval = time.Second

// LatencyBuckets covers latencies from half a millisecond to half a minute.
var LatencyBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 17)

// Meter is the root of a process's metrics.
type Meter struct {
	Scope tally.Scope
	// Handler serves the scrape.
	Handler http.Handler
	closer  io.Closer
}

// New returns an empty meter; Close ends its reporting.
func New() *Meter {
	registry := prometheus.NewRegistry()
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{
		Registerer: registry,
		Gatherer:   registry,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "rosecroft",
		CachedReporter:         reporter,
		Separator:              tallyprometheus.DefaultSeparator,
		SanitizeOptions:        &tallyprometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Meter{
		Scope:   scope,
		Handler: reporter.HTTPHandler(),
		closer:  closer,
	}
}

// Close ends the reporting.
func (m *Meter) Close() error {
	return m.closer.Close()
}
