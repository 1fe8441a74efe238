package buyer

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// mostUnits bounds the planner's work; capacity beyond it is counted more coarsely.
const mostUnits = 64

// Effective returns an offer's price with the expected cost of its reclaims:
// each one pays for the time in which a replacement does not serve yet.
func (o Offer) Effective(load time.Duration) float64 {
	return float64(o.Price) * (1 + o.ReclaimsPerHour*load.Hours())
}

// Plan returns the cheapest offers to add to the capacity in place, in slots
// for each data centre, so that need slots remain without any one data centre.
//
// It is exact for capacities that are whole units: for each capacity that the
// largest data centre may have, it fills the data centres at the least cost.
func Plan(need int, base map[units.DataCentre]int, offers []Offer, load time.Duration) []Offer {
	p := newPlan(need, base, offers, load)
	best := math.Inf(1)
	var chosen []Offer
	// A larger machine can be cheaper than a smaller one, so that the largest
	// data centre may have more than the need.
	for largest := p.largestBase(); largest <= max(p.need, p.largestBase())+p.largestOffer(); largest++ {
		cost, added := p.fill(largest)
		if cost < best {
			best = cost
			chosen = added
		}
	}
	return chosen
}

// plan is the problem in units of capacity.
type plan struct {
	unit        int
	need        int
	dataCentres []units.DataCentre
	base        []int
	offers      [][]Offer
	load        time.Duration
}

func newPlan(need int, base map[units.DataCentre]int, offers []Offer, load time.Duration) *plan {
	p := &plan{
		unit: unitOf(need, offers),
		load: load,
	}
	p.need = (need + p.unit - 1) / p.unit
	names := make(map[units.DataCentre]bool)
	for name := range base {
		names[name] = true
	}
	for _, offer := range offers {
		names[offer.DataCentre] = true
	}
	for name := range names {
		p.dataCentres = append(p.dataCentres, name)
	}
	slices.SortFunc(p.dataCentres, func(a, b units.DataCentre) int { return strings.Compare(string(a), string(b)) })
	for _, name := range p.dataCentres {
		p.base = append(p.base, base[name]/p.unit)
		p.offers = append(p.offers, slices.DeleteFunc(slices.Clone(offers), func(o Offer) bool { return o.DataCentre != name }))
	}
	return p
}

// unitOf is the largest common part of the capacities, and more for large needs.
func unitOf(need int, offers []Offer) int {
	unit := 0
	for _, offer := range offers {
		unit = gcd(unit, offer.Slots)
	}
	unit = max(unit, 1)
	for need/unit > mostUnits {
		unit *= 2
	}
	return unit
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

func (p *plan) largestBase() int {
	if len(p.base) == 0 {
		return 0
	}
	return slices.Max(p.base)
}

func (p *plan) largestOffer() int {
	largest := 0
	for _, offers := range p.offers {
		for _, offer := range offers {
			largest = max(largest, offer.Slots/p.unit)
		}
	}
	return largest
}

// fill returns the least cost and its offers when no data centre has more than
// largest units; need units are left when the largest one is lost.
func (p *plan) fill(largest int) (float64, []Offer) {
	target := p.need + largest
	costs := make([]float64, target+1)
	added := make([][]Offer, target+1)
	for i := 1; i <= target; i++ {
		costs[i] = math.Inf(1)
	}
	for i := range p.dataCentres {
		own, choices := p.within(i, largest)
		next := make([]float64, target+1)
		nextAdded := make([][]Offer, target+1)
		for t := range next {
			next[t] = math.Inf(1)
		}
		for t, cost := range costs {
			for x, extra := range own {
				to := min(t+p.base[i]+x, target)
				if cost+extra < next[to] {
					next[to] = cost + extra
					nextAdded[to] = append(slices.Clone(added[t]), choices[x]...)
				}
			}
		}
		costs, added = next, nextAdded
	}
	return costs[target], added[target]
}

// within returns the least cost of each additional capacity of one data centre.
func (p *plan) within(i, largest int) ([]float64, [][]Offer) {
	room := largest - p.base[i]
	costs := make([]float64, room+1)
	choices := make([][]Offer, room+1)
	for x := 1; x <= room; x++ {
		costs[x] = math.Inf(1)
		for _, offer := range p.offers[i] {
			size := offer.Slots / p.unit
			if size == 0 || size > x {
				continue
			}
			cost := costs[x-size] + offer.Effective(p.load)
			if cost < costs[x] {
				costs[x] = cost
				choices[x] = append(slices.Clone(choices[x-size]), offer)
			}
		}
	}
	return costs, choices
}

// Remaining returns the slots that are left when the largest data centre is lost.
func Remaining(capacity map[units.DataCentre]int) int {
	total, largest := 0, 0
	for _, slots := range capacity {
		total += slots
		largest = max(largest, slots)
	}
	return total - largest
}
