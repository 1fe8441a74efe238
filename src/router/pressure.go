package router

import "time"

// The eviction pressure of an engine, from 0 to 1, is the rate at which its prefix
// cache evicts blocks that are still in use. If it were not part of the score, calls
// that are concentrated on few instances would bring more prefixes there than the
// caches hold, and each call's whole prompt would be computed.
const (
	// hotWindow is how recently a block must have been used for its eviction to
	// count as too early.
	hotWindow = 20 * time.Second
	// hotBlocksAtMaxPressure is the number of evicted hot blocks at which the
	// pressure reaches 1.
	hotBlocksAtMaxPressure = 128
	pressureHalfLife       = 10 * time.Second
	maxPressureEntries     = 4096
)

// hotness weighs an evicted block by how long it was unused: from 1 for a block that
// was just used down to 0 at hotWindow.
func hotness(unusedFor time.Duration) float64 {
	return max(0, 1-unusedFor.Seconds()/hotWindow.Seconds())
}

// evictionPressure returns the eviction pressure of an engine by its number.
func (r *Router) evictionPressure(number uint32) *decayingValue {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pressures == nil || len(r.pressures) >= maxPressureEntries {
		r.pressures = make(map[uint32]*decayingValue)
	}
	pressure := r.pressures[number]
	if pressure == nil {
		pressure = &decayingValue{
			halfLife: pressureHalfLife,
		}
		r.pressures[number] = pressure
	}
	return pressure
}
