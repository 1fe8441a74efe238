package scaler

import (
	"testing"
	"time"
)

// Guards against a plan that takes upstreams for idle because they refuse calls and ask entries
// for back-offs: refused calls are in flight for no time, so that each call seems to need less.
func TestBackoffsAreNotIdleness(t *testing.T) {
	busy := func(int) Load {
		return Load{Demand: 300_000, SecondsPerUnit: 1e-6, Concurrency: 300}
	}
	cases := map[string]struct {
		upstreams   float64
		concurrency float64
		length      time.Duration
		// added is how many upstreams must be needed meanwhile beside those before.
		added int
	}{
		"all back off for some seconds":          {upstreams: 20, concurrency: 3, length: 6 * time.Second},
		"all back off for a moment":              {upstreams: 20, concurrency: 3, length: time.Second},
		"some back off, the others take it over": {upstreams: 2, concurrency: 300, length: 20 * time.Second, added: 2},
		"some back off, with refusals":           {upstreams: 4, concurrency: 200, length: 20 * time.Second, added: 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newFakePlatform(service())
			s := &Scaler{}
			now, _ := p.run(s, startTime, time.Minute, busy)
			before := s.requiredByLoad(p.service)
			lowest := before
			lowestOf := func(load Load) func(int) Load {
				return func(int) Load {
					lowest = min(lowest, s.requiredByLoad(p.service))
					return load
				}
			}
			backedOff := busy(0)
			backedOff.Concurrency = c.concurrency
			backedOff.BackedOffUpstreams = c.upstreams
			now, _ = p.run(s, now, c.length, lowestOf(backedOff))
			if got, want := s.requiredByLoad(p.service), before+c.added; got < want {
				t.Errorf("needed at the end of the back-offs: got %d, want at least %d", got, want)
			}
			p.run(s, now, time.Minute, lowestOf(busy(0)))
			if lowest < before {
				t.Errorf("needed during and after the back-offs: got %d, want at least the %d before", lowest, before)
			}
			if got := s.requiredByLoad(p.service); got > before+1 {
				t.Errorf("needed a minute after the back-offs: got %d, want about the %d before", got, before)
			}
		})
	}
}

// Guards against a plan without slots by a leader that is elected while upstreams back off: it has
// no earlier estimate to keep.
func TestLeaderElectedDuringBackoffsPlansSlots(t *testing.T) {
	load := Load{Demand: 300_000, SecondsPerUnit: 1e-6, Concurrency: 300, BackedOffUpstreams: 1}
	p := newFakePlatform(service())
	s := &Scaler{}
	p.run(s, startTime, warmUp+5*time.Second, func(int) Load { return load })
	slots := maxSlotUtilization * float64(p.service.Engine.Slots)
	if got, want := s.requiredByLoad(p.service), int(load.Concurrency/slots); got < want {
		t.Errorf("needed by the calls in flight: got %d, want at least %d", got, want)
	}
}
