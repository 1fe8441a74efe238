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

// LatencyBuckets are histogram buckets for latencies from 0.5 ms to about 33 s, each twice
// the one before.
var LatencyBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 17)

// Meter is the root of a process's metrics.
type Meter struct {
	Scope tally.Scope
	// Handler serves the metrics to Prometheus scrapes.
	Handler http.Handler
	closer  io.Closer
}

// New returns a Meter without metrics; Close stops its reporting.
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

// Close stops the reporting.
func (m *Meter) Close() error {
	return m.closer.Close()
}
