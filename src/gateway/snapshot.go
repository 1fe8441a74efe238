package gateway

import (
	"cmp"
	"time"

	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/placer"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// defaultLeavingTime is how long a leaving upstream is assumed to stay up if it does not say:
// upstreams that drain finish their calls in about that time.
const defaultLeavingTime = 2 * time.Second

// snapshot is the state that the poller publishes to request goroutines; it is immutable once
// published.
type snapshot struct {
	// table is the configuration in force, nil before the first one arrives.
	table *matcher.Table
	// fleet holds the upstreams that take new calls, leaving those that do not, and whose KV
	// caches still hold prompts.
	fleet   placer.Fleet
	leaving placer.Fleet
	// departed holds the incarnations that take no new calls.
	departed map[units.IncarnationID]bool
	entries  int
	// lease is when the entry must stop serving calls with keys, on the clock that
	// continues while the instance is suspended.
	lease time.Time
	// releases holds the software versions that the upstreams of each service run or have lately run.
	releases map[units.Service][]units.Release
	// leader is the address of the control instance that leads, "" if unknown, and leaderAt when the poll
	// was sent that it answered last. wantsStreams is set while it wants reports of streams.
	leader       string
	leaderAt     time.Time
	wantsStreams bool
	// rollouts holds the last roll-out of each service that had one.
	rollouts rollouts
	// trueTimeOffset is the time of day agreed on by the fleet, minus that clock.
	trueTimeOffset time.Duration
}

// candidateBuilder builds each service's candidates from the table of upstreams, and keeps the
// counters of calls in flight of upstreams that stay.
type candidateBuilder struct {
	localStates map[upstreamKey]*tracker.LocalState
}

type upstreamKey struct {
	name        units.Upstream
	incarnation units.Incarnation
}

// departedUpstreams returns the incarnations that are leaving or gone.
func departedUpstreams(table *enroller.Table) map[units.IncarnationID]bool {
	departed := make(map[units.IncarnationID]bool)
	for _, e := range table.Upstreams() {
		if e.State != enroller.Ready {
			departed[units.NewIncarnationID(e.ID, e.Incarnation)] = true
		}
	}
	return departed
}

// fleet returns the upstreams that take new calls, and those that are leaving.
func (c *candidateBuilder) fleet(now time.Time, table *enroller.Table, p *placer.Placer) (fleet, leaving placer.Fleet) {
	fleet = make(placer.Fleet)
	leaving = make(placer.Fleet)
	kept := make(map[upstreamKey]*tracker.LocalState)
	for _, e := range table.Upstreams() {
		key := upstreamKey{
			name:        e.ID,
			incarnation: e.Incarnation,
		}
		local := c.localStates[key]
		if local == nil {
			local = &tracker.LocalState{FirstSeenAt: now}
		}
		kept[key] = local
		if e.State == enroller.Gone {
			continue
		}
		candidate := p.NewCandidate(&tracker.Upstream{
			Name:        e.ID,
			Service:     e.Service,
			Address:     e.Address,
			DataCentre:  e.DataCentre,
			Reclaimable: e.Reclaimable,
			Incarnation: e.Incarnation,
			Sequence:    e.Sequence,
			Slots:       e.Slots,
			Release:     e.Release,
			AnnouncedAt: e.HeartbeatAt,
			Local:       local,
		}, e.ColdFor > 0, e.Silent)
		if e.State == enroller.Ready {
			fleet[e.Service] = append(fleet[e.Service], candidate)
			continue
		}
		candidate.TerminatesAt = e.HeartbeatAt.Add(cmp.Or(e.LeavesIn, defaultLeavingTime))
		leaving[e.Service] = append(leaving[e.Service], candidate)
	}
	c.localStates = kept
	return fleet, leaving
}
