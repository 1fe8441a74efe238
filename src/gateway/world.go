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

// leavingFor is how long an upstream that leaves is taken to go on where it does not
// say: those that drain finish what they have for about that time.
const leavingFor = 2 * time.Second

// world is what an entry goes by; it is not changed once published.
type world struct {
	table *matcher.Table
	// fleet takes new calls, leaving does not and still holds what it has read.
	fleet   placer.Fleet
	leaving placer.Fleet
	entries int
	// lease is until when calls with keys may be served, on the clock that goes
	// on while the instance is suspended.
	lease time.Time
	// rollouts holds the last roll-out of each service that had one.
	rollouts rollouts
	// trueOffset is the time of day that all agree on, less that clock.
	trueOffset time.Duration
}

// upstreams turns the table of upstreams into the candidates of each service and
// keeps what is under way at those that stay.
type upstreams struct {
	live map[liveKey]*tracker.LocalState
}

type liveKey struct {
	name units.Upstream
	born units.Incarnation
}

// fleet returns the upstreams that take new calls, and those that leave.
func (u *upstreams) fleet(now time.Time, table *enroller.Table, p *placer.Placer) (fleet, leaving placer.Fleet) {
	fleet = make(placer.Fleet)
	leaving = make(placer.Fleet)
	kept := make(map[liveKey]*tracker.LocalState)
	for _, e := range table.Entries() {
		key := liveKey{
			name: e.ID,
			born: e.Born,
		}
		live := u.live[key]
		if live == nil {
			live = &tracker.LocalState{FirstSeenAt: now}
		}
		kept[key] = live
		if e.State == enroller.Gone {
			continue
		}
		candidate := p.NewCandidate(&tracker.Upstream{
			Name:        e.ID,
			Service:     e.Service,
			Address:     e.Address,
			DataCentre:  e.DataCentre,
			Reclaimable: e.Reclaimable,
			Incarnation: e.Born,
			Sequence:    e.Sequence,
			Slots:       e.Slots,
			Release:     e.Release,
			AnnouncedAt: e.HeardAt,
			Local:       live,
		}, e.ColdFor > 0, e.Silent)
		if e.State == enroller.Ready {
			fleet[e.Service] = append(fleet[e.Service], candidate)
			continue
		}
		candidate.TerminatesAt = e.HeardAt.Add(cmp.Or(e.LeavesIn, leavingFor))
		leaving[e.Service] = append(leaving[e.Service], candidate)
	}
	u.live = kept
	return fleet, leaving
}
