package buyer

import (
	"fmt"
	"maps"
	"math"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// stock is what a service has and will have.
type stock struct {
	capacity map[units.DataCentre]int
	onDemand int
	count    int
	starting int
	held     []*messages.Purchase
}

// plan buys what a service lacks, or gives back what it has too much.
func (b *Buyer) plan(now time.Time, e Ticked, demand Demand, ledger []*messages.Purchase) []Action {
	need := b.need(now, demand)
	s := b.stock(e, demand.Service, ledger)
	offers := b.available(now, e.Offers)
	wanted := floorOffers(s, demand, offers)
	base := maps.Clone(s.capacity)
	for _, offer := range wanted {
		base[offer.DataCentre] += offer.Slots
	}
	reason := "on-demand floor"
	if Remaining(base) < need {
		wanted = append(wanted, Plan(need, base, offers, demand.Load)...)
		reason = fmt.Sprintf("need %d slots without the largest data centre, have %d", need, Remaining(s.capacity))
	}
	h := b.demands[demand.Service]
	if len(wanted) > 0 || Remaining(s.capacity) < need {
		h.surplusSince = time.Time{}
	}
	var actions []Action
	for _, offer := range wanted {
		if s.count >= demand.Most || s.starting >= e.Starting {
			break
		}
		s.count++
		s.starting++
		actions = append(actions, b.buy(now, demand.Service, offer, reason)...)
	}
	if len(wanted) > 0 {
		return actions
	}
	return b.giveBack(now, e, demand, need, s)
}

// need is the demand in slots, which rises at once and falls late.
func (b *Buyer) need(now time.Time, demand Demand) int {
	h := b.demands[demand.Service]
	if h == nil {
		h = &held{}
		b.demands[demand.Service] = h
	}
	wanted := max(demand.Slots, int(math.Ceil(float64(demand.Used)/headroom)))
	switch {
	case float64(wanted) > riseBy*float64(h.need) || h.need < demand.Slots:
		h.need = wanted
		h.lowSince = time.Time{}
	case float64(wanted) >= fallBy*float64(h.need):
		h.lowSince = time.Time{}
	case h.lowSince.IsZero():
		h.lowSince = now
	case now.Sub(h.lowSince) >= b.Options.CoolDown:
		h.need = wanted
		h.lowSince = time.Time{}
	}
	return h.need
}

// stock counts what a service has; what got its notice counts no more, so that
// its replacement starts at the notice and not at the loss.
func (b *Buyer) stock(e Ticked, service units.Service, ledger []*messages.Purchase) *stock {
	s := &stock{
		capacity: make(map[units.DataCentre]int),
	}
	own := make(map[string]bool)
	for _, p := range ledger {
		if p.GetInstance() != "" {
			own[p.GetInstance()] = true
		}
		if p.GetService() != string(service) || !counts(p) {
			continue
		}
		s.count++
		u := announcedBy(p, e.Upstreams)
		if b.noticed(p) || u != nil && u.Leaving {
			continue
		}
		if u == nil || !u.Serving {
			s.starting++
		}
		s.add(units.DataCentre(p.GetDataCentre()), slotsOf(e.Offers, p), p.GetOnDemand())
		s.held = append(s.held, p)
	}
	for _, u := range e.Upstreams {
		if u.Service == service && u.Serving && !u.Leaving && !own[u.Instance] {
			s.add(u.DataCentre, u.Slots, u.OnDemand)
		}
	}
	return s
}

// counts reports whether a purchase is an instance that is to stay.
func counts(p *messages.Purchase) bool {
	switch p.GetState() {
	case messages.PurchaseState_PURCHASE_STATE_PLANNED, messages.PurchaseState_PURCHASE_STATE_LAUNCHED:
		return true
	}
	return false
}

func (s *stock) add(dataCentre units.DataCentre, slots int, onDemand bool) {
	s.capacity[dataCentre] += slots
	if onDemand {
		s.onDemand += slots
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

// available returns the offers that were not refused of late.
func (b *Buyer) available(now time.Time, offers []Offer) []Offer {
	var available []Offer
	for _, offer := range offers {
		if r := b.refusals[offer.key()]; r == nil || !now.Before(r.until) {
			available = append(available, offer)
		}
	}
	return available
}

// floorOffers returns the on-demand offers that are lacking, cheapest first and
// spread over the data centres.
func floorOffers(s *stock, demand Demand, offers []Offer) []Offer {
	var wanted []Offer
	placed := make(map[units.DataCentre]int)
	for have := s.onDemand; have < demand.OnDemand; {
		best := -1
		for i, offer := range offers {
			if !offer.OnDemand || offer.Slots == 0 {
				continue
			}
			if best < 0 || cheaper(offer, offers[best], placed) {
				best = i
			}
		}
		if best < 0 {
			return wanted
		}
		wanted = append(wanted, offers[best])
		placed[offers[best].DataCentre]++
		have += offers[best].Slots
	}
	return wanted
}

func cheaper(a, b Offer, placed map[units.DataCentre]int) bool {
	if placed[a.DataCentre] != placed[b.DataCentre] {
		return placed[a.DataCentre] < placed[b.DataCentre]
	}
	return float64(a.Price)/float64(a.Slots) < float64(b.Price)/float64(b.Slots)
}

// giveBack releases one instance once it has been too much for long enough.
func (b *Buyer) giveBack(now time.Time, e Ticked, demand Demand, need int, s *stock) []Action {
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
		fmt.Sprintf("too much: %d slots needed without the largest data centre, %d there", need, Remaining(s.capacity)))
}

// surplus returns the dearest instance without which enough is left.
func (b *Buyer) surplus(e Ticked, demand Demand, need int, s *stock) *messages.Purchase {
	var dearest *messages.Purchase
	price := 0.0
	for _, p := range s.held {
		slots := slotsOf(e.Offers, p)
		if p.GetState() != messages.PurchaseState_PURCHASE_STATE_LAUNCHED || p.GetOnDemand() && s.onDemand-slots < demand.OnDemand {
			continue
		}
		rest := maps.Clone(s.capacity)
		rest[units.DataCentre(p.GetDataCentre())] -= slots
		if Remaining(rest) < need {
			continue
		}
		for _, offer := range e.Offers {
			if offer.key() == keyOf(p) && offer.Effective(demand.Load) > price {
				price = offer.Effective(demand.Load)
				dearest = p
			}
		}
	}
	return dearest
}
