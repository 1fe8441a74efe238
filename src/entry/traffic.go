package entry

import (
	"github.com/rosecroft/rosecroft/src/forwarder"
	"github.com/rosecroft/rosecroft/src/router"
	"github.com/rosecroft/rosecroft/src/tracker"
)

// traffic is the part of an entry that brings calls to upstreams.
type traffic struct {
	router    *router.Router
	forwarder *forwarder.Forwarder
	reclaimer *forwarder.Reclaimer
}

func newTraffic(e *Entry) *traffic {
	pools := &forwarder.Pools{
		TLS: e.Certificates.ToUpstreams(),
	}
	chooser := &router.Router{
		Snapshot: &e.snapshot,
	}
	reclaimer := &forwarder.Reclaimer{
		Router: chooser,
		Pools:  pools,
		Log:    e.Log,
	}
	return &traffic{
		router:    chooser,
		reclaimer: reclaimer,
		forwarder: &forwarder.Forwarder{
			Pools:     pools,
			Reclaimer: reclaimer,
		},
	}
}

// departed takes up that an upstream leaves or is gone.
func (t *traffic) departed(upstream *tracker.Upstream) {
	if upstream.Leaving {
		t.reclaimer.Notice(upstream)
	}
}
