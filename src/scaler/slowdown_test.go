package scaler

import (
	"testing"
	"time"
)

// Guards against a plan that takes slow upstreams for usual ones, and orders too few.
func TestSlowUpstreamsCountForLess(t *testing.T) {
	needed := func(slowdown float64) int {
		p := newFakePlatform(service())
		s := &Scaler{}
		p.run(s, startTime, time.Minute, func(upstreams int) Load {
			load := evenLoad(upstreams)
			load.Slowdown = slowdown
			return load
		})
		return s.requiredByLoad(p.service)
	}
	usual := needed(1)
	if got := needed(0); got != usual {
		t.Errorf("without a stated slowdown: got %d, want %d as at the usual speed", got, usual)
	}
	if got, want := needed(2), usual+usual/2; got < want {
		t.Errorf("at half the usual speed: got %d, want at least %d", got, want)
	}
	if got := needed(0.5); got >= usual {
		t.Errorf("at twice the usual speed: got %d, want fewer than %d", got, usual)
	}
}
