package scaler

import (
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// heavy is the work of twenty upstreams, with no more calls than that needs.
func heavy(int) Load { return Load{Asked: 2_000_000, Each: 1e-5, Running: 200} }

// ample is a platform that may have as many upstreams as the load needs.
func ample() *platform {
	svc := service()
	svc.Scaling.Most = 60
	return newPlatform(svc)
}

// Guards against a new leader that knows the load only after seconds, and does not make up for
// upstreams that are taken back meanwhile.
func TestNewLeaderMakesUpForAReclaim(t *testing.T) {
	p := ample()
	s := &Scaler{}
	now, _ := p.run(s, start, time.Minute, heavy)
	needed := s.measured(p.service)
	next := &Scaler{}
	now, _ = p.run(next, now, takenOver+step, heavy)
	p.dry = true
	p.coming = nil
	for centre := range p.service.Scaling.Prices {
		if centre != "d" {
			p.stock[Kind{DataCentre: centre, Reclaimable: true}] = 0
		}
	}
	missing := needed - p.total()
	last := make(Stock)
	for range 4 {
		for _, order := range next.Step(now, p.service, heavy(0), p.stock) {
			if order.Reclaimable {
				next.Refused(now, order.Kind)
				continue
			}
			last[order.Kind] = order.Count
		}
		now = now.Add(step)
	}
	ordered := 0
	for _, count := range last {
		ordered += count
	}
	if least := missing * 9 / 10; ordered < least {
		t.Errorf("ordered at the full price within a second: got %d, want at least %d of the %d that are missing", ordered, least, missing)
	}
}

// Guards against giving back in other data centres while one after the other is taken back.
func TestNothingIsGivenBackRightAfterALoss(t *testing.T) {
	p := ample()
	s := &Scaler{}
	now, _ := p.run(s, start, time.Minute, heavy)
	light := func(int) Load { return Load{Asked: 500_000, Each: 1e-5, Running: 50} }
	lost := Kind{DataCentre: "a", Reclaimable: true}
	p.none = map[units.DataCentre]bool{"a": true}
	p.coming = nil
	p.stock[lost] = 0
	before := p.total()
	now, fewest := p.run(s, now, calm, light)
	if fewest < before {
		t.Errorf("upstreams right after a loss: got as few as %d, want the %d that were left", fewest, before)
	}
	_, fewest = p.run(s, now, time.Minute, light)
	if fewest >= before {
		t.Errorf("upstreams a minute later: got %d, want fewer", fewest)
	}
}
