package scaler

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/units"
)

// pollInterval is the time between two reports of an entry.
const pollInterval = 50 * time.Millisecond

// Calls arrive one at a time at several entries, and each poll sees none or one. The load must
// be the demand since the last plan: estimated from single polls it is zero or several times
// that, and the plan with it.
func TestLoadMeterCountsEveryCall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		totals := make([]Totals, rapid.IntRange(1, 20).Draw(t, "entries"))
		calls := rapid.SliceOfN(rapid.IntRange(0, len(totals)-1), 1, 60).Draw(t, "callers' entries")
		var s LoadMeter
		now := startTime
		record := func() {
			for i := range totals {
				s.Record(now, units.Instance(fmt.Sprint(i)), 1, map[units.Service]Totals{"s": totals[i]})
			}
		}
		record()
		s.Measure(now)
		for len(calls) > 0 {
			sent := 0.0
			for range int(stepInterval / pollInterval) {
				now = now.Add(pollInterval)
				if len(calls) > 0 {
					totals[calls[0]].Tokens += 10_000
					calls = calls[1:]
					sent += 10_000
				}
				record()
			}
			if got := s.Measure(now)["s"].Demand * stepInterval.Seconds(); math.Abs(got-sent) > 1 {
				t.Fatalf("tokens since the last plan: got %.0f, want %.0f", got, sent)
			}
		}
	})
}

// Polls are lost, and some plans get none. The demand of that time must count once the next
// poll arrives, over the time since the previous one.
func TestLoadMeterSurvivesLostPolls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s LoadMeter
		total, reportedTotal, counted := 0.0, 0.0, 0.0
		now, reportedAt, measuredTo := startTime, startTime, startTime
		s.Record(now, "e", 1, map[units.Service]Totals{"s": {Tokens: 0}})
		for n := range rapid.IntRange(1, 60).Draw(t, "polls") {
			now = now.Add(pollInterval)
			total += float64(rapid.IntRange(0, 20_000).Draw(t, "tokens"))
			if rapid.Bool().Draw(t, "arrives") {
				s.Record(now, "e", 1, map[units.Service]Totals{"s": {Tokens: total}})
				reportedTotal, reportedAt = total, now
			}
			if n%5 != 4 {
				continue
			}
			load := s.Measure(now)["s"]
			counted += load.Demand * reportedAt.Sub(measuredTo).Seconds()
			measuredTo = reportedAt
			if now.Sub(reportedAt) <= totalsExpiry && math.Abs(counted-reportedTotal) > 1 {
				t.Fatalf("tokens counted: got %.0f, want %.0f", counted, reportedTotal)
			}
		}
	})
}

func TestLoadMeterExpiresEntries(t *testing.T) {
	record := func(s *LoadMeter, at time.Duration, incarnation units.Incarnation, tokens float64) {
		s.Record(startTime.Add(at), "e", incarnation, map[units.Service]Totals{"s": {Tokens: tokens}})
	}
	cases := map[string]struct {
		play func(s *LoadMeter)
		at   time.Duration
		want float64
	}{
		"nothing while it reports": {
			play: func(s *LoadMeter) {
				record(s, 0, 1, 100)
				record(s, time.Second, 1, 300)
			},
			at:   time.Second,
			want: 200,
		},
		"nothing while one poll is late": {
			play: func(s *LoadMeter) {
				record(s, 0, 1, 100)
				record(s, time.Second, 1, 300)
				s.Measure(startTime.Add(time.Second))
			},
			at:   time.Second + totalsExpiry,
			want: 200,
		},
		"an entry that is gone": {
			play: func(s *LoadMeter) {
				record(s, 0, 1, 100)
				record(s, time.Second, 1, 300)
			},
			at:   time.Second + 2*totalsExpiry,
			want: 0,
		},
		"counters from before a restart": {
			play: func(s *LoadMeter) {
				record(s, 0, 1, 1_000_000)
				record(s, time.Second, 2, 100)
				record(s, 2*time.Second, 2, 150)
			},
			at:   2 * time.Second,
			want: 50,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var s LoadMeter
			c.play(&s)
			if got := s.Measure(startTime.Add(c.at))["s"].Demand; got != c.want {
				t.Errorf("demand: got %v, want %v", got, c.want)
			}
		})
	}
}
