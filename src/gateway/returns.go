package gateway

import (
	"sync"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/exchanger"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// announcedAfter is how many heartbeat intervals after it is reached again an upstream that has started again
// under its name is known as such.
const announcedAfter = 2.5

// returns holds the upstreams that do not accept connections, or do so again. Such an upstream may have started
// again, at another software version, before control has told so. It is safe for concurrent use.
type returns struct {
	mu sync.Mutex
	// unreached are the incarnations to which the last connection could not be made, and returnedAt is when
	// one could be made again.
	unreached  map[units.IncarnationID]bool
	returnedAt map[units.IncarnationID]time.Time
	// replaced are the incarnations whose place another one has taken, as that has stated.
	replaced map[units.IncarnationID]bool
}

// recordDial records the outcome of an attempt to connect to an upstream.
func (r *returns) recordDial(now time.Time, id units.IncarnationID, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if failed {
		if r.unreached == nil {
			r.unreached = make(map[units.IncarnationID]bool)
			r.returnedAt = make(map[units.IncarnationID]time.Time)
		}
		r.unreached[id] = true
		return
	}
	if r.unreached[id] {
		delete(r.unreached, id)
		r.returnedAt[id] = now
	}
}

// recordIdentity records whether an upstream that was asked is still the known incarnation.
func (r *returns) recordIdentity(id units.IncarnationID, identity exchanger.Identity) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch identity {
	case exchanger.Confirmed:
		delete(r.returnedAt, id)
	case exchanger.Replaced:
		if r.replaced == nil {
			r.replaced = make(map[units.IncarnationID]bool)
		}
		r.replaced[id] = true
	case exchanger.Untold:
	}
}

// isRecent reports whether an upstream is not reached, is again for less than a time, or was replaced.
func (r *returns) isRecent(now time.Time, id units.IncarnationID, within time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, found := r.returnedAt[id]
	return r.unreached[id] || r.replaced[id] || found && now.Sub(at) < within
}

// retain forgets the upstreams that are no longer known.
func (r *returns) retain(known map[units.IncarnationID]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.unreached {
		if !known[id] {
			delete(r.unreached, id)
		}
	}
	for id := range r.returnedAt {
		if !known[id] {
			delete(r.returnedAt, id)
		}
	}
	for id := range r.replaced {
		if !known[id] {
			delete(r.replaced, id)
		}
	}
}

// mayAsk reports whether an upstream takes requests now, also if they are no calls.
func (g *Gateway) mayAsk(upstream *tracker.Upstream) bool {
	return !g.withholder.StateOf(timekeeper.Now(), units.NewIncarnationID(upstream.Name, upstream.Incarnation)).Withheld()
}

// recordIdentity records what an upstream has answered that was asked for its incarnation before a part of a stream
// is sent to it. The error keeps that from being sent: the version at which the stream would begin or go on is not
// the recorded one.
func (g *Gateway) recordIdentity(call *dispatcher.Call, upstream *tracker.Upstream, stream *dispatcher.Stream, identity exchanger.Identity) error {
	g.trafficStats.identified(identity)
	g.returns.recordIdentity(units.NewIncarnationID(upstream.Name, upstream.Incarnation), identity)
	if identity != exchanger.Replaced {
		return nil
	}
	g.Log.Warn().
		Str("call", string(call.ID)).
		Str("upstream", string(upstream.Name)).
		Uint64("born", uint64(upstream.Incarnation)).
		Bool("doubted", stream.IsDoubted()).
		Msg("upstream-replaced")
	if stream.IsDoubted() {
		return nil
	}
	return &exchanger.ReplacedError{
		Upstream: upstream.Name,
		Known:    upstream.Incarnation,
	}
}

// mayHaveChanged reports whether an upstream may run another version of its software than control has told.
// One that states no incarnation has a new name at each start.
func (g *Gateway) mayHaveChanged(now time.Time, upstream *tracker.Upstream, id units.IncarnationID) bool {
	if upstream.Incarnation == 0 {
		return false
	}
	within := time.Duration(announcedAfter * float64(g.Settings.HeartbeatInterval))
	snap := g.snapshot.Load()
	// What control has heard since its last response has not arrived here.
	isOutdated := len(snap.releases[upstream.Service]) > 1 && now.Sub(snap.leaderAt) >= within
	return isOutdated || g.returns.isRecent(now, id, within)
}
