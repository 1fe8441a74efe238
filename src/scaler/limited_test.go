package scaler

import (
	"testing"
	"time"
)

// Guards against a plan that counts limited upstreams in full: those that report that they
// accept fewer calls than there are for them.
func TestLimitedUpstreamsAreReplaced(t *testing.T) {
	p := newFakePlatform(service())
	s := &Scaler{}
	now, _ := p.run(s, startTime, time.Minute, evenLoad)
	before := s.requiredByLoad(p.service)
	limited := func(upstreams int) Load {
		load := evenLoad(upstreams)
		load.LimitedUpstreams = 2
		return load
	}
	now, _ = p.run(s, now, 20*time.Second, limited)
	if got, want := s.requiredByLoad(p.service), before+2; got < want {
		t.Errorf("needed while two are limited: got %d, want at least %d", got, want)
	}
	p.run(s, now, time.Minute, evenLoad)
	if got := s.requiredByLoad(p.service); got > before+1 {
		t.Errorf("needed after the limit has ended: got %d, want about the %d before it", got, before)
	}
}
