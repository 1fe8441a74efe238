package router

import (
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/ejector"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/tracker"
)

// Observe learns how an exchange ended, and ejects upstreams where calls fail.
func (r *Router) Observe(upstream *tracker.Upstream, result dispatcher.Result) {
	key := ejector.Key{
		Service:     upstream.Service,
		Upstream:    upstream.Name,
		Incarnation: upstream.Incarnation,
	}
	switch result.Kind {
	case dispatcher.Answered:
		r.step(upstream, ejector.Succeeded{Key: key})
	case dispatcher.Lost, dispatcher.NotRun, dispatcher.Broken:
		r.step(upstream, ejector.Failed{
			Key:       key,
			Unreached: result.Unreached,
			Total:     r.total(upstream),
		})
	case dispatcher.CallerGone, dispatcher.Moved:
	}
}

// total returns how many usable upstreams the upstream's service has.
func (r *Router) total(upstream *tracker.Upstream) int {
	snapshot := r.Snapshot.Load()
	if snapshot == nil {
		return 0
	}
	service, known := snapshot.Service(upstream.Service)
	if !known {
		return 0
	}
	return len(service.Usable)
}

func (r *Router) step(upstream *tracker.Upstream, event ejector.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, action := range r.ejector.Step(r.now(), event) {
		if eject, ok := action.(ejector.Eject); ok {
			upstream.Local.EjectedUntil.Store(eject.Until.UnixNano())
		}
	}
}

// Departed learns that an upstream leaves or is gone.
func (r *Router) Departed(upstream *tracker.Upstream) {
	if upstream.Reclaimable {
		r.noticesOf(upstream.DataCentre).add(r.now(), 1, maxNotices)
	}
}

// Cached takes up what an engine tells of its prefix cache.
func (r *Router) Cached(upstream *tracker.Upstream, events *messages.CacheEvents) {
	if r.Index == nil {
		return
	}
	now := r.now()
	for _, block := range events.GetAdded() {
		r.Index.Put(now, upstream.Local.ID, block)
	}
	hot := 0.0
	for _, block := range events.GetRemoved() {
		if unused, known := r.Index.Remove(now, upstream.Local.ID, block); known {
			hot += heat(unused)
		}
	}
	if hot > 0 {
		r.pressureOf(upstream.Local.ID).add(now, hot/fullPressure, 1)
	}
}
