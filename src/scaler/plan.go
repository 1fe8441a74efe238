package scaler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/units"
)

// plan spreads what is needed over kinds.
func (s *Scaler) plan(now time.Time, service *matcher.Service, needed int, stock Stock) Stock {
	plan := make(Stock)
	centres := byPrice(service)
	// Reclaimable ones go evenly to all data centres: any one may be taken back.
	left := max(1, len(centres)-lostCentres)
	each := max(leastEach, int(math.Ceil(float64(needed)/float64(left))))
	standing := 0
	for _, centre := range centres {
		kind := Kind{
			DataCentre:  centre,
			Reclaimable: true,
		}
		plan[kind] = min(each, s.room(now, service, kind, stock))
		standing += s.standing(now, service, kind, plan[kind], stock)
	}
	// What reclaimable ones cannot carry now is ordered at the full price.
	s.firm(plan, centres, max(0, needed-standing), service.Scaling)
	return plan
}

// room returns how many reclaimable upstreams a data centre may have.
//
// Places of those at the full price are taken until they have left. A kind that is
// not to be had takes no more places than it has: kept free for it, they would lack
// those that stand in for it, and a fleet whose data centres are full would order
// nothing while half of it is taken back.
func (s *Scaler) room(now time.Time, service *matcher.Service, kind Kind, stock Stock) int {
	firm := Kind{DataCentre: kind.DataCentre}
	room := max(0, service.Scaling.Most-max(stock[firm], s.ordered[firm].count))
	if s.isDry(now, kind) {
		return min(room, stock[kind])
	}
	return room
}

// isDry reports whether a kind was not to be had a moment ago.
func (s *Scaler) isDry(now time.Time, kind Kind) bool {
	at := s.dryAt[kind]
	return !at.IsZero() && now.Sub(at) < dry
}

// standing returns how many of a kind take calls or are about to.
//
// Only what an order asked for beyond those that were there is about to come, and
// only for as long as it may take to start. Counted for more, upstreams that were
// taken back since would be missed by nobody.
func (s *Scaler) standing(now time.Time, service *matcher.Service, kind Kind, want int, stock Stock) int {
	last, known := s.ordered[kind]
	coming := 0
	if known && now.Sub(last.at) < repeat(service, true) {
		coming = max(0, last.count-last.had)
	}
	if s.isDry(now, kind) {
		coming = 0
	}
	return min(want, stock[kind]+coming)
}

// firm places the upstreams of the full price, the cheapest data centres first
// but no more than half of them in one, so that no fault of one takes them all.
func (s *Scaler) firm(plan Stock, centres []units.DataCentre, count int, scaling *matcher.Scaling) {
	half := (count + 1) / 2
	for _, centre := range centres {
		reclaimable := plan[Kind{
			DataCentre:  centre,
			Reclaimable: true,
		}]
		part := min(count, half, max(0, scaling.Most-reclaimable))
		part = max(part, scaling.Least-reclaimable)
		plan[Kind{DataCentre: centre}] = part
		count = max(0, count-part)
	}
}

// byPrice returns the data centres, the cheapest first.
func byPrice(service *matcher.Service) []units.DataCentre {
	centres := make([]units.DataCentre, 0, len(service.Scaling.Prices))
	for centre := range service.Scaling.Prices {
		centres = append(centres, centre)
	}
	slices.SortFunc(centres, func(a, b units.DataCentre) int {
		return cmp.Or(cmp.Compare(service.Scaling.Prices[a], service.Scaling.Prices[b]), cmp.Compare(a, b))
	})
	return centres
}

// kindsOf returns all kinds, the reclaimable first: they stand in for those at
// the full price that are given back.
func kindsOf(service *matcher.Service) []Kind {
	var kinds []Kind
	for _, reclaimable := range []bool{true, false} {
		for _, centre := range byPrice(service) {
			kinds = append(kinds, Kind{
				DataCentre:  centre,
				Reclaimable: reclaimable,
			})
		}
	}
	return kinds
}
