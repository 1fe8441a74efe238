package buyer

import (
	"fmt"
	"maps"
	"math"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// inventory is the capacity that a service has and will have.
type inventory struct {
	capacity  map[units.DataCentre]int
	onDemand  int
	instances int
	starting  int
	purchases []*messages.Purchase
}

// plan buys what a service lacks, or releases its surplus.
func (b *Buyer) plan(now time.Time, e Ticked, demand Demand, ledger []*messages.Purchase) []Action {
	need := b.need(now, demand)
	s := b.inventory(e, demand.Service, ledger)
	offers := b.availableOffers(now, e.Offers)
	wanted := floorOffers(s, demand, offers)
	base := maps.Clone(s.capacity)
	for _, offer := range wanted {
		base[offer.DataCentre] += offer.Slots
	}
	reason := "on-demand floor"
	if RemainingSlots(base) < need {
		wanted = append(wanted, Plan(need, base, offers, demand.LoadTime)...)
		reason = fmt.Sprintf("need %d slots without the largest data centre, have %d", need, RemainingSlots(s.capacity))
	}
	h := b.demands[demand.Service]
	if len(wanted) > 0 || RemainingSlots(s.capacity) < need {
		h.surplusSince = time.Time{}
	}
	var actions []Action
	for _, offer := range wanted {
		if s.instances >= demand.MaxInstances || s.starting >= e.MaxStarting {
			break
		}
		s.instances++
		s.starting++
		actions = append(actions, b.buy(now, demand.Service, offer, reason)...)
	}
	if len(wanted) > 0 {
		return actions
	}
	return b.releaseSurplus(now, e, demand, need, s)
}

// need returns the demand in slots; it rises at once and falls after a cool-down.
func (b *Buyer) need(now time.Time, demand Demand) int {
	h := b.demands[demand.Service]
	if h == nil {
		h = &demandState{}
		b.demands[demand.Service] = h
	}
	wanted := max(demand.MinSlots, int(math.Ceil(float64(demand.UsedSlots)/targetUtilization)))
	switch {
	case float64(wanted) > riseRatio*float64(h.need) || h.need < demand.MinSlots:
		h.need = wanted
		h.lowSince = time.Time{}
	case float64(wanted) >= fallRatio*float64(h.need):
		h.lowSince = time.Time{}
	case h.lowSince.IsZero():
		h.lowSince = now
	case now.Sub(h.lowSince) >= b.Options.CoolDown:
		h.need = wanted
		h.lowSince = time.Time{}
	}
	return h.need
}

// inventory counts a service's capacity; an instance with a reclaim notice does not count, so
// that its replacement starts at the notice and not at the loss.
func (b *Buyer) inventory(e Ticked, service units.Service, ledger []*messages.Purchase) *inventory {
	s := &inventory{
		capacity: make(map[units.DataCentre]int),
	}
	own := make(map[string]bool)
	for _, p := range ledger {
		if p.GetInstance() != "" {
			own[p.GetInstance()] = true
		}
		if p.GetService() != string(service) || !isActive(p) {
			continue
		}
		s.instances++
		u := upstreamOf(p, e.Upstreams)
		if b.hasNotice(p) || u != nil && u.Leaving {
			continue
		}
		if u == nil || !u.Serving {
			s.starting++
		}
		s.add(units.DataCentre(p.GetDataCentre()), slotsOf(e.Offers, p), p.GetOnDemand())
		s.purchases = append(s.purchases, p)
	}
	for _, u := range e.Upstreams {
		if u.Service == service && u.Serving && !u.Leaving && !own[u.Instance] {
			s.add(u.DataCentre, u.Slots, u.OnDemand)
		}
	}
	return s
}

// isActive reports whether a purchase stands for an instance that is to stay.
func isActive(p *messages.Purchase) bool {
	switch p.GetState() {
	case messages.PurchaseState_PURCHASE_STATE_PLANNED, messages.PurchaseState_PURCHASE_STATE_LAUNCHED:
		return true
	}
	return false
}

func (i *inventory) add(dataCentre units.DataCentre, slots int, onDemand bool) {
	i.capacity[dataCentre] += slots
	if onDemand {
		i.onDemand += slots
	}
}

func slotsOf(offers []Offer, p *messages.Purchase) int {
	for _, offer := range offers {
		if offer.key() == keyOf(p) {
			return offer.Slots
		}
	}
	return 0
}

func (o Offer) key() offerKey {
	return offerKey{
		dataCentre: o.DataCentre,
		class:      o.Class,
		onDemand:   o.OnDemand,
	}
}

// availableOffers returns the offers that are not excluded after a refusal.
func (b *Buyer) availableOffers(now time.Time, offers []Offer) []Offer {
	var availableOffers []Offer
	for _, offer := range offers {
		if r := b.refusals[offer.key()]; r == nil || !now.Before(r.until) {
			availableOffers = append(availableOffers, offer)
		}
	}
	return availableOffers
}

// floorOffers returns the on-demand offers to buy until the service's on-demand minimum is met,
// cheapest first and spread over the data centres.
func floorOffers(s *inventory, demand Demand, offers []Offer) []Offer {
	var wanted []Offer
	perDataCentre := make(map[units.DataCentre]int)
	for slots := s.onDemand; slots < demand.MinOnDemandSlots; {
		best := -1
		for i, offer := range offers {
			if !offer.OnDemand || offer.Slots == 0 {
				continue
			}
			if best < 0 || isPreferred(offer, offers[best], perDataCentre) {
				best = i
			}
		}
		if best < 0 {
			return wanted
		}
		wanted = append(wanted, offers[best])
		perDataCentre[offers[best].DataCentre]++
		slots += offers[best].Slots
	}
	return wanted
}

func isPreferred(a, b Offer, perDataCentre map[units.DataCentre]int) bool {
	if perDataCentre[a.DataCentre] != perDataCentre[b.DataCentre] {
		return perDataCentre[a.DataCentre] < perDataCentre[b.DataCentre]
	}
	return float64(a.Price)/float64(a.Slots) < float64(b.Price)/float64(b.Slots)
}

// releaseSurplus releases one instance once it has been surplus for the cool-down.
func (b *Buyer) releaseSurplus(now time.Time, e Ticked, demand Demand, need int, s *inventory) []Action {
	h := b.demands[demand.Service]
	surplus := b.surplus(e, demand, need, s)
	if surplus == nil {
		h.surplusSince = time.Time{}
		return nil
	}
	if h.surplusSince.IsZero() {
		h.surplusSince = now
	}
	if now.Sub(h.surplusSince) < b.Options.CoolDown {
		return nil
	}
	h.surplusSince = time.Time{}
	return b.propose(now, surplus, messages.PurchaseState_PURCHASE_STATE_RELEASING, surplus.GetInstance(),
		fmt.Sprintf("too much: %d slots needed without the largest data centre, %d there", need, RemainingSlots(s.capacity)))
}

// surplus returns the most expensive instance that can go with enough capacity left.
func (b *Buyer) surplus(e Ticked, demand Demand, need int, s *inventory) *messages.Purchase {
	var mostExpensive *messages.Purchase
	price := 0.0
	for _, p := range s.purchases {
		slots := slotsOf(e.Offers, p)
		if p.GetState() != messages.PurchaseState_PURCHASE_STATE_LAUNCHED || p.GetOnDemand() && s.onDemand-slots < demand.MinOnDemandSlots {
			continue
		}
		rest := maps.Clone(s.capacity)
		rest[units.DataCentre(p.GetDataCentre())] -= slots
		if RemainingSlots(rest) < need {
			continue
		}
		for _, offer := range e.Offers {
			if offer.key() == keyOf(p) && offer.EffectivePrice(demand.LoadTime) > price {
				price = offer.EffectivePrice(demand.LoadTime)
				mostExpensive = p
			}
		}
	}
	return mostExpensive
}
