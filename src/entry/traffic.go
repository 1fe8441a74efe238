package entry

import (
	"time"

	"github.com/rosecroft/rosecroft/src/capper"
	"github.com/rosecroft/rosecroft/src/forwarder"
	"github.com/rosecroft/rosecroft/src/locator"
	"github.com/rosecroft/rosecroft/src/router"
	"github.com/rosecroft/rosecroft/src/tracker"
)

// indexBits sizes the cache index: 16,384 buckets of 64 bytes, 1 MiB.
const indexBits = 14

// maxBufferedBytes bounds what all buffered answers hold together, and each message of another process: a quarter of
// the memory that an entry has at full load.
const maxBufferedBytes = 256 << 20

// traffic is the part of an entry that forwards calls to upstreams.
type traffic struct {
	pools     *forwarder.Pools
	router    *router.Router
	forwarder *forwarder.Forwarder
	migrator  *forwarder.StreamMigrator
	capper    *capper.Capper
}

func newTraffic(e *Entry) *traffic {
	pools := &forwarder.Pools{
		TLS: e.Certificates.UpstreamClientConfig(),
	}
	callRouter := &router.Router{
		Snapshot: &e.snapshot,
		Entry:    e.Settings.Name,
		Index:    locator.New(indexBits),
	}
	answers := &capper.Capper{
		MaxTotal: maxBufferedBytes,
		Log:      e.Log,
	}
	if e.Meter != nil {
		answers.Scope = e.Meter.Scope
	}
	migrator := forwarder.NewStreamMigrator(callRouter, pools, e.Log)
	return &traffic{
		pools:    pools,
		router:   callRouter,
		migrator: migrator,
		capper:   answers,
		forwarder: &forwarder.Forwarder{
			Pools:    pools,
			Migrator: migrator,
			Capper:   answers,
		},
	}
}

// handleDeparture handles an upstream that leaves or is gone. An upstream whose time to leave has
// passed was reported before.
func (t *traffic) handleDeparture(upstream *tracker.Upstream) {
	if upstream.Leaving && !time.Now().Before(upstream.LeavesAt) {
		return
	}
	t.router.OnDeparture(upstream)
	if upstream.Leaving {
		t.migrator.OnLeaving(upstream)
	}
}
