package scaler

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/units"
)

// plan spreads what is needed over kinds.
func (s *Scaler) plan(now time.Time, service *matcher.Service, needed need, stock Stock) Stock {
	plan := make(Stock)
	centres := byPrice(service)
	dry := s.dryCentres(centres, stock)
	each := needed.each(len(centres)-dry, dry)
	standing := make(map[units.DataCentre]int)
	total := 0
	for _, centre := range centres {
		kind := Kind{
			DataCentre:  centre,
			Reclaimable: true,
		}
		plan[kind] = min(each, s.room(now, service, kind, stock))
		standing[centre] = s.standing(now, service, kind, plan[kind], stock)
		total += standing[centre]
	}
	// What reclaimable ones cannot carry now is ordered at the full price.
	s.firm(plan, centres, standing, max(0, needed.least()-total), service.Scaling)
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

// dryCentres returns how many data centres have no reclaimable upstreams and had none to
// give when asked last. They count until some have come: each try would else spread the
// plan over data centres that give none, and take it back at the refusal.
func (s *Scaler) dryCentres(centres []units.DataCentre, stock Stock) int {
	dry := 0
	for _, centre := range centres {
		kind := Kind{
			DataCentre:  centre,
			Reclaimable: true,
		}
		if stock[kind] > 0 {
			continue
		}
		if !s.dryAt[kind].IsZero() {
			dry++
		}
	}
	return dry
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
//
// The least that a data centre must have counts what stands there, and not what is
// wanted: while none are to be had, each new try for reclaimable ones would give the one
// at the full price back, and order it again when the try is refused.
func (s *Scaler) firm(plan Stock, centres []units.DataCentre, standing map[units.DataCentre]int, count int, scaling *matcher.Scaling) {
	half := (count + 1) / 2
	for _, centre := range centres {
		reclaimable := plan[Kind{
			DataCentre:  centre,
			Reclaimable: true,
		}]
		part := min(count, half, max(0, scaling.Most-reclaimable))
		part = max(part, min(scaling.Least-standing[centre], scaling.Most-reclaimable))
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
