package buyer

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// maxUnits bounds the planner's work; larger capacities are counted in coarser units.
const maxUnits = 64

// EffectivePrice returns an offer's price including the expected cost of its reclaims: each reclaim
// costs the time in which its replacement does not serve yet.
func (o Offer) EffectivePrice(load time.Duration) float64 {
	return float64(o.Price) * (1 + o.ReclaimsPerHour*load.Hours())
}

// Plan returns the cheapest offers to add to the existing capacity, given in slots per data
// centre, so that need slots remain after the loss of any one data centre.
//
// It is exact for capacities that are whole units: for each possible capacity of the largest
// data centre, it fills the data centres at minimum cost.
func Plan(need int, base map[units.DataCentre]int, offers []Offer, load time.Duration) []Offer {
	p := newProblem(need, base, offers, load)
	best := math.Inf(1)
	var chosen []Offer
	// A larger machine can be cheaper than a smaller one, so that the largest
	// data centre may have more than the need.
	for largest := p.largestBase(); largest <= max(p.need, p.largestBase())+p.largestOffer(); largest++ {
		cost, added := p.minCost(largest)
		if cost < best {
			best = cost
			chosen = added
		}
	}
	return chosen
}

// problem is the planning problem in units of capacity.
type problem struct {
	unit        int
	need        int
	dataCentres []units.DataCentre
	base        []int
	offers      [][]Offer
	load        time.Duration
}

func newProblem(need int, base map[units.DataCentre]int, offers []Offer, load time.Duration) *problem {
	p := &problem{
		unit: unitSize(need, offers),
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

// unitSize returns the greatest common divisor of the offers' capacities, doubled for large
// needs until the need is at most maxUnits.
func unitSize(need int, offers []Offer) int {
	unit := 0
	for _, offer := range offers {
		unit = gcd(unit, offer.Slots)
	}
	unit = max(unit, 1)
	for need/unit > maxUnits {
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

func (p *problem) largestBase() int {
	if len(p.base) == 0 {
		return 0
	}
	return slices.Max(p.base)
}

func (p *problem) largestOffer() int {
	largest := 0
	for _, offers := range p.offers {
		for _, offer := range offers {
			largest = max(largest, offer.Slots/p.unit)
		}
	}
	return largest
}

// minCost returns the minimum cost and its offers with no data centre above largest units; need
// units are left when the largest one is lost.
func (p *problem) minCost(largest int) (float64, []Offer) {
	target := p.need + largest
	costs := make([]float64, target+1)
	added := make([][]Offer, target+1)
	for i := 1; i <= target; i++ {
		costs[i] = math.Inf(1)
	}
	for i := range p.dataCentres {
		extraCosts, choices := p.costsWithin(i, largest)
		next := make([]float64, target+1)
		nextAdded := make([][]Offer, target+1)
		for t := range next {
			next[t] = math.Inf(1)
		}
		for t, cost := range costs {
			for x, extra := range extraCosts {
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

// costsWithin returns the minimum cost of each additional capacity of one data centre.
func (p *problem) costsWithin(i, largest int) ([]float64, [][]Offer) {
	maxExtra := largest - p.base[i]
	costs := make([]float64, maxExtra+1)
	choices := make([][]Offer, maxExtra+1)
	for x := 1; x <= maxExtra; x++ {
		costs[x] = math.Inf(1)
		for _, offer := range p.offers[i] {
			size := offer.Slots / p.unit
			if size == 0 || size > x {
				continue
			}
			cost := costs[x-size] + offer.EffectivePrice(p.load)
			if cost < costs[x] {
				costs[x] = cost
				choices[x] = append(slices.Clone(choices[x-size]), offer)
			}
		}
	}
	return costs, choices
}

// RemainingSlots returns the slots that are left after the loss of the largest data centre.
func RemainingSlots(capacity map[units.DataCentre]int) int {
	total, largest := 0, 0
	for _, slots := range capacity {
		total += slots
		largest = max(largest, slots)
	}
	return total - largest
}
