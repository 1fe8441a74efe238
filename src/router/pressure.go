package router

import "time"

// The pressure of an engine says how much its prefix cache gives up what is still
// in use. Without it, calls that gather on few instances would bring more prefixes
// there than the caches hold, and each call would be computed whole.
const (
	// hotFor is how lately a block was used that is given up too early.
	hotFor = 20 * time.Second
	// fullPressure is how many hot blocks given up make the whole pressure.
	fullPressure     = 128
	pressureHalfLife = 10 * time.Second
	maxPressures     = 4096
)

// heat returns how hot a block was that was last used so long ago.
func heat(unused time.Duration) float64 {
	return max(0, 1-unused.Seconds()/hotFor.Seconds())
}

// pressureOf returns the pressure of an engine by its number.
func (r *Router) pressureOf(number uint32) *fading {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pressures == nil || len(r.pressures) >= maxPressures {
		r.pressures = make(map[uint32]*fading)
	}
	known := r.pressures[number]
	if known == nil {
		known = &fading{
			halfLife: pressureHalfLife,
		}
		r.pressures[number] = known
	}
	return known
}
