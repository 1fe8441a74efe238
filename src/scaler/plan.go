package scaler

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/units"
)

// plan distributes the required upstreams over pools.
func (s *Scaler) plan(now time.Time, service *matcher.Service, required requirement, current PoolSizes) PoolSizes {
	plan := make(PoolSizes)
	centres := dataCentresByPrice(service)
	soldOut := s.soldOutDataCentres(centres, current)
	perDataCentre := required.perDataCentre(len(centres)-soldOut, soldOut)
	readyOrStarting := make(map[units.DataCentre]int)
	total := 0
	for _, centre := range centres {
		pool := Pool{
			DataCentre:  centre,
			Reclaimable: true,
		}
		plan[pool] = min(perDataCentre, s.maxReclaimable(now, service, pool, current))
		readyOrStarting[centre] = s.readyOrStarting(now, service, pool, plan[pool], current)
		total += readyOrStarting[centre]
	}
	// What reclaimable upstreams cannot carry now is ordered on demand.
	onDemand := max(required.reserve.OnDemand, required.minReady()-total)
	s.planOnDemand(plan, centres, readyOrStarting, onDemand, service.Scaling)
	return plan
}

// maxReclaimable returns how many reclaimable upstreams a data centre may have.
//
// On-demand upstreams count against the data centre's maximum until they have left. A pool that
// is sold out gets no more than it already has: capacity kept free for it would be missing for
// its on-demand replacements, and a fleet whose data centres are full would order nothing while
// half of it is reclaimed.
func (s *Scaler) maxReclaimable(now time.Time, service *matcher.Service, pool Pool, current PoolSizes) int {
	onDemand := Pool{DataCentre: pool.DataCentre}
	maxReclaimable := max(0, service.Scaling.Max-max(current[onDemand], s.ordered[onDemand].count))
	if s.isSoldOut(now, pool) {
		return min(maxReclaimable, current[pool])
	}
	return maxReclaimable
}

// isSoldOut reports whether an order of a pool was refused within refusalBackoff.
func (s *Scaler) isSoldOut(now time.Time, pool Pool) bool {
	at := s.refusedAt[pool]
	return !at.IsZero() && now.Sub(at) < refusalBackoff
}

// soldOutDataCentres returns how many data centres have no reclaimable upstreams and refused
// the last order for some. They count until some have come: otherwise each retry would spread
// the plan over data centres that have none available, and the refusal would revert it.
func (s *Scaler) soldOutDataCentres(centres []units.DataCentre, current PoolSizes) int {
	soldOut := 0
	for _, centre := range centres {
		pool := Pool{
			DataCentre:  centre,
			Reclaimable: true,
		}
		if current[pool] > 0 {
			continue
		}
		if !s.refusedAt[pool].IsZero() {
			soldOut++
		}
	}
	return soldOut
}

// readyOrStarting returns how many upstreams of a pool take calls or are about to.
//
// Only what an order asked for beyond those already there is about to come, and only for as
// long as a start may take. If more were counted, the loss of upstreams that were reclaimed
// since the order would go unnoticed.
func (s *Scaler) readyOrStarting(now time.Time, service *matcher.Service, pool Pool, want int, current PoolSizes) int {
	return min(want, current[pool]+s.startedBy(now, service, pool))
}

// startedBy returns how many upstreams the last order of a pool starts, 0 once they should have come.
func (s *Scaler) startedBy(now time.Time, service *matcher.Service, pool Pool) int {
	last, known := s.ordered[pool]
	if !known || now.Sub(last.placedAt) >= effectTimeout(service, true) || s.isSoldOut(now, pool) {
		return 0
	}
	return max(0, last.count-last.readyBefore)
}

// allStarting returns how many upstreams of each pool have been ordered and do not take calls yet.
func (s *Scaler) allStarting(now time.Time, service *matcher.Service, current PoolSizes) PoolSizes {
	starting := make(PoolSizes)
	for pool, last := range s.ordered {
		if count := min(s.startedBy(now, service, pool), last.count-current[pool]); count > 0 {
			starting[pool] = count
		}
	}
	return starting
}

// planOnDemand distributes the on-demand upstreams, cheapest data centres first but no more
// than half of them in one, so that no fault of one data centre takes them all.
//
// The minimum of a data centre counts the upstreams that are ready or starting there, not those
// that are wanted: while no reclaimable ones are available, each retry for them would release
// the on-demand one, and order it again when the retry is refused.
func (s *Scaler) planOnDemand(plan PoolSizes, centres []units.DataCentre, readyOrStarting map[units.DataCentre]int, count int, scaling *matcher.Scaling) {
	half := (count + 1) / 2
	for _, centre := range centres {
		reclaimable := plan[Pool{
			DataCentre:  centre,
			Reclaimable: true,
		}]
		assigned := min(count, half, max(0, scaling.Max-reclaimable))
		assigned = max(assigned, min(scaling.Min-readyOrStarting[centre], scaling.Max-reclaimable))
		plan[Pool{DataCentre: centre}] = assigned
		count = max(0, count-assigned)
	}
}

// dataCentresByPrice returns the data centres, cheapest first.
func dataCentresByPrice(service *matcher.Service) []units.DataCentre {
	centres := make([]units.DataCentre, 0, len(service.Scaling.Prices))
	for centre := range service.Scaling.Prices {
		centres = append(centres, centre)
	}
	slices.SortFunc(centres, func(a, b units.DataCentre) int {
		return cmp.Or(cmp.Compare(service.Scaling.Prices[a], service.Scaling.Prices[b]), cmp.Compare(a, b))
	})
	return centres
}

// poolsOf returns all pools, reclaimable ones first, since they replace the on-demand upstreams
// that are released.
func poolsOf(service *matcher.Service) []Pool {
	centres := dataCentresByPrice(service)
	pools := make([]Pool, 0, 2*len(centres))
	for _, reclaimable := range []bool{true, false} {
		for _, centre := range centres {
			pools = append(pools, Pool{
				DataCentre:  centre,
				Reclaimable: reclaimable,
			})
		}
	}
	return pools
}
