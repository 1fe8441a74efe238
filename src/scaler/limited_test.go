package scaler

import (
	"testing"
	"time"
)

// Guards against a plan that counts on upstreams which say that they take less than there is.
func TestLimitedUpstreamsAreStoodInFor(t *testing.T) {
	p := newPlatform(service())
	s := &Scaler{}
	now, _ := p.run(s, start, time.Minute, evenLoad)
	before := s.measured(p.service)
	limited := func(upstreams int) Load {
		load := evenLoad(upstreams)
		load.Limited = 2
		return load
	}
	now, _ = p.run(s, now, 20*time.Second, limited)
	if got, want := s.measured(p.service), before+2; got < want {
		t.Errorf("needed while two are limited: got %d, want at least %d", got, want)
	}
	p.run(s, now, time.Minute, evenLoad)
	if got := s.measured(p.service); got > before+1 {
		t.Errorf("needed after that: got %d, want about the %d of before", got, before)
	}
}
