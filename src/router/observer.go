package router

import (
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/ejector"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// Observe records the result of an exchange and ejects upstreams at which calls fail.
func (r *Router) Observe(upstream *tracker.Upstream, result dispatcher.Result) {
	key := keyOf(upstream)
	if result.NoPath || result.NoRoom {
		return
	}
	switch result.Kind {
	case dispatcher.Answered:
		r.stepEjector(upstream, ejector.ExchangeSucceeded{Key: key})
	case dispatcher.OutcomeUnknown, dispatcher.NotRun, dispatcher.Unresumable:
		r.stepEjector(upstream, ejector.ExchangeFailed{
			Key:       key,
			Unreached: result.ConnectFailed,
			Total:     r.usableCount(upstream),
		})
	case dispatcher.CallerGone, dispatcher.Moved:
	}
}

// usableCount returns the number of usable upstreams of the upstream's service.
func (r *Router) usableCount(upstream *tracker.Upstream) int {
	snapshot := r.Snapshot.Load()
	if snapshot == nil {
		return 0
	}
	service, known := snapshot.Service(upstream.Service)
	if !known {
		return 0
	}
	return len(service.UsableUpstreams)
}

func (r *Router) stepEjector(upstream *tracker.Upstream, event ejector.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, action := range r.ejector.Step(r.now(), event) {
		if eject, ok := action.(ejector.Eject); ok {
			upstream.Local.EjectedUntil.Store(eject.Until.UnixNano())
		}
	}
}

// OnReached records that a connection to an upstream was made, which ends its ejection for want of one.
func (r *Router) OnReached(upstream *tracker.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	event := ejector.UpstreamReached{Key: keyOf(upstream)}
	if len(r.ejector.Step(r.now(), event)) > 0 {
		upstream.Local.EjectedUntil.Store(0)
	}
}

// OnPartition records that this entry is partitioned from a service, so that connections that could not
// be made say nothing about its upstreams.
func (r *Router) OnPartition(name units.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	readmitted := make(map[ejector.Key]bool)
	for _, action := range r.ejector.Step(r.now(), ejector.EntryPartitioned{Service: name}) {
		if a, ok := action.(ejector.Readmit); ok {
			readmitted[a.Key] = true
		}
	}
	snapshot := r.Snapshot.Load()
	if snapshot == nil {
		return
	}
	service, known := snapshot.Service(name)
	if !known {
		return
	}
	for _, upstream := range service.UsableUpstreams {
		if readmitted[keyOf(upstream)] {
			upstream.Local.EjectedUntil.Store(0)
		}
	}
}

func keyOf(upstream *tracker.Upstream) ejector.Key {
	return ejector.Key{
		Service:     upstream.Service,
		Upstream:    upstream.Name,
		Incarnation: upstream.Incarnation,
	}
}

// OnDeparture records that an upstream is leaving or gone. For a reclaimable one it
// counts as a reclaim notice in its data centre.
func (r *Router) OnDeparture(upstream *tracker.Upstream) {
	if upstream.Reclaimable {
		r.recentNotices(upstream.DataCentre).add(r.now(), 1, maxNotices)
	}
}

// OnCacheEvents applies an engine's prefix cache events to the index, and raises the engine's
// eviction pressure by the recently used blocks that it removed.
func (r *Router) OnCacheEvents(upstream *tracker.Upstream, events *messages.CacheEvents) {
	if r.Index == nil {
		return
	}
	now := r.now()
	for _, block := range events.GetAdded() {
		r.Index.Put(now, upstream.Local.ID, block)
	}
	hotBlocks := 0.0
	for _, block := range events.GetRemoved() {
		if unusedFor, known := r.Index.Remove(now, upstream.Local.ID, block); known {
			hotBlocks += hotness(unusedFor)
		}
	}
	if hotBlocks > 0 {
		r.evictionPressure(upstream.Local.ID).add(now, hotBlocks/hotBlocksAtMaxPressure, 1)
	}
}
