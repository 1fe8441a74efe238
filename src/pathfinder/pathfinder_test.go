package pathfinder

import (
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const llm units.Service = "ember-llm"

// step is one attempt to connect, ms milliseconds after the start of a test.
type step struct {
	ms       int
	upstream units.IncarnationID
	failed   bool
}

// Guards against an entry that takes failing upstreams for a partition, or a partition for
// failing upstreams.
func TestPartitionIsToldFromFailingUpstreams(t *testing.T) {
	cases := map[string]struct {
		present       int
		steps         []step
		want          bool
		wantUnreached int
	}{
		"none tried":        {present: 5},
		"two of five fail":  {present: 5, steps: []step{{1, 1, true}, {2, 2, true}}, wantUnreached: 2},
		"three of five":     {present: 5, steps: []step{{1, 1, true}, {2, 2, true}, {3, 3, true}}, want: true, wantUnreached: 3},
		"one, three times":  {present: 5, steps: []step{{1, 1, true}, {2, 1, true}, {3, 1, true}}, wantUnreached: 1},
		"all of two":        {present: 2, steps: []step{{1, 1, true}, {2, 2, true}}, want: true, wantUnreached: 2},
		"the only one":      {present: 1, steps: []step{{1, 1, true}}, want: true, wantUnreached: 1},
		"one is reached":    {present: 5, steps: []step{{1, 1, true}, {2, 2, true}, {3, 4, false}, {4, 3, true}}, want: true, wantUnreached: 3},
		"half are reached":  {present: 6, steps: []step{{1, 1, true}, {2, 2, true}, {3, 3, true}, {9, 4, false}, {10, 5, false}, {11, 6, false}}, wantUnreached: 3},
		"one is back":       {present: 5, steps: []step{{1, 1, true}, {2, 2, true}, {3, 3, true}, {9, 1, false}}, wantUnreached: 2},
		"again after that":  {present: 5, steps: []step{{1, 1, true}, {2, 2, true}, {3, 3, true}, {9, 1, false}, {10, 1, true}, {11, 2, true}, {12, 3, true}}, want: true, wantUnreached: 3},
		"reached before it": {present: 6, steps: []step{{1, 4, false}, {1, 5, false}, {1, 6, false}, {2, 1, true}, {3, 2, true}, {4, 3, true}}, want: true, wantUnreached: 3},
		"late failure":      {present: 5, steps: []step{{5, 1, false}, {4, 1, true}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := &Pathfinder{}
			present := make([]units.IncarnationID, c.present)
			for i := range present {
				present[i] = units.IncarnationID(i + 1)
			}
			p.SetPresent(time.UnixMilli(0), map[units.Service][]units.IncarnationID{llm: present})
			var got Reach
			for _, s := range c.steps {
				got, _ = p.RecordDial(Dial{
					Service:   llm,
					Upstream:  s.upstream,
					StartedAt: time.UnixMilli(int64(s.ms)),
					Failed:    s.failed,
				})
			}
			if got.Partitioned != c.want || got.Unreached != c.wantUnreached {
				t.Errorf("reach: got partitioned %t and %d unreached, want %t and %d", got.Partitioned, got.Unreached, c.want, c.wantUnreached)
			}
			if got.Partitioned && got.Since.IsZero() {
				t.Error("start of the partition: got none, want that of the first failed attempt")
			}
		})
	}
}

// Guards against a partition that outlives the upstreams by which it was seen.
func TestPartitionEndsWithItsUpstreams(t *testing.T) {
	p := &Pathfinder{}
	p.SetPresent(time.UnixMilli(0), map[units.Service][]units.IncarnationID{llm: {1, 2}})
	for id := units.IncarnationID(1); id <= 2; id++ {
		p.RecordDial(Dial{Service: llm, Upstream: id, StartedAt: time.UnixMilli(int64(id)), Failed: true})
	}
	if got := p.Unreached(); len(got) != 1 || !got[0].Partitioned {
		t.Fatalf("reach: got %+v, want one partitioned service", got)
	}
	ended := p.SetPresent(time.UnixMilli(3), map[units.Service][]units.IncarnationID{llm: {3, 4}})
	if len(ended) != 1 || ended[0].Partitioned {
		t.Errorf("ended partitions: got %+v, want one", ended)
	}
	if got := p.Unreached(); len(got) != 0 {
		t.Errorf("reach: got %+v, want nothing unreached", got)
	}
}

// newPartition returns a pathfinder of a service with count upstreams, of which the first failed
// were found unreached at the given time.
func newPartition(at time.Time, count, failed int) *Pathfinder {
	p := &Pathfinder{Random: func() float64 { return 0 }}
	present := make([]units.IncarnationID, count)
	for i := range present {
		present[i] = units.IncarnationID(i + 1)
	}
	p.SetPresent(time.UnixMilli(0), map[units.Service][]units.IncarnationID{llm: present})
	for _, id := range present[:failed] {
		p.RecordDial(Dial{Service: llm, Upstream: id, StartedAt: at, Failed: true})
	}
	return p
}

// Guards against calls that wait for a connection that cannot be made, and against upstreams that are
// reached but not used.
func TestDoubtIsLimitedToUnreachedUpstreams(t *testing.T) {
	at := time.Unix(1000, 0)
	cases := map[string]struct {
		failed   int
		then     []Dial
		upstream units.IncarnationID
		want     bool
	}{
		"nothing failed":             {upstream: 1},
		"unreached upstream":         {failed: 1, upstream: 1, want: true},
		"another one":                {failed: 1, upstream: 2},
		"another one in a partition": {failed: 3, upstream: 5, want: true},
		"reached in a partition":     {failed: 3, then: []Dial{{Service: llm, Upstream: 5, StartedAt: at.Add(time.Second)}}, upstream: 5},
		"reached again":              {failed: 3, then: []Dial{{Service: llm, Upstream: 1, StartedAt: at.Add(time.Second)}}, upstream: 1},
		"unknown service":            {failed: 3, then: nil, upstream: 9, want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPartition(at, 8, c.failed)
			for _, d := range c.then {
				p.RecordDial(d)
			}
			if got := !p.DoubtfulSince(llm, c.upstream).IsZero(); got != c.want {
				t.Errorf("doubtful: got %t, want %t", got, c.want)
			}
			if !p.DoubtfulSince("other", c.upstream).IsZero() {
				t.Error("upstream of another service: got a doubt, want none")
			}
		})
	}
}

// Guards against upstreams that stay unreached after a partition has healed, and against probes
// without a pause while it lasts.
func TestProbesFindTheEndOfAPartition(t *testing.T) {
	const count = 20
	now := time.Unix(1000, 0)
	p := newPartition(now, count, 3)
	heals := now.Add(5 * time.Second)
	probes := 0
	for now.Before(heals.Add(time.Second)) {
		for {
			id, due := p.DueProbe(now, llm)
			if !due {
				break
			}
			probes++
			failed := now.Before(heals)
			p.RecordDial(Dial{Service: llm, Upstream: id, StartedAt: now, Failed: failed})
			now = now.Add(2 * time.Millisecond)
		}
		if now.Before(heals) && !p.IsPartitioned(llm) {
			t.Fatalf("%v before its end: got no partition", heals.Sub(now))
		}
		now = now.Add(100 * time.Millisecond)
	}
	if most := int(5*time.Second/minProbeDelay) + count; probes > most {
		t.Errorf("probes: got %d, want at most %d", probes, most)
	}
	if got := p.Unreached(); len(got) > 0 {
		t.Errorf("a second after its end: got %+v, want nothing unreached", got)
	}
}

// Guards against entries that were partitioned together and connect again at the same instants.
func TestProbesOfEntriesAreSpread(t *testing.T) {
	now := time.Unix(1000, 0)
	nextProbe := func(random float64) time.Duration {
		p := newPartition(now, 5, 3)
		p.Random = func() float64 { return random }
		p.DueProbe(now, llm)
		for at := now; ; at = at.Add(time.Millisecond) {
			if _, due := p.DueProbe(at, llm); due {
				return at.Sub(now)
			}
		}
	}
	first, last := nextProbe(0), nextProbe(0.99)
	if first < minProbeDelay || last < first*5/4 || last > 2*first {
		t.Errorf("second probes of two entries: got %v and %v, want them from %v on, a quarter to once that apart", first, last, minProbeDelay)
	}
}

// Guards against a partition that is seen where some upstreams have crashed: the first probes of
// others end it.
func TestCrashedUpstreamsAreNoPartition(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newPartition(now, 20, 4)
	for step := 0; p.IsPartitioned(llm); step++ {
		id, due := p.DueProbe(now, llm)
		// Four others must be reached, with an unreached one tried after each.
		if !due || step > 8 {
			t.Fatalf("after %d probes: got a partition that is not probed at once", step)
		}
		now = now.Add(time.Millisecond)
		p.RecordDial(Dial{Service: llm, Upstream: id, StartedAt: now, Failed: id <= 4})
	}
	if got := p.Unreached(); len(got) != 1 || got[0].Unreached != 4 {
		t.Errorf("unreached: got %+v, want the four that crashed", got)
	}
}
