package scaler

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/units"
)

// poll is how often entries tell what they have seen.
const poll = 50 * time.Millisecond

// Calls come one at a time at several entries, and each poll sees none or one. The
// load must be what callers have asked for since the last plan: by single polls it
// comes to nothing or to several times that, and the plan with it.
func TestSurveyCountsEveryCall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		totals := make([]Totals, rapid.IntRange(1, 20).Draw(t, "entries"))
		calls := rapid.SliceOfN(rapid.IntRange(0, len(totals)-1), 1, 60).Draw(t, "callers' entries")
		var s Survey
		now := start
		hear := func() {
			for i := range totals {
				s.Hear(now, units.Instance(fmt.Sprint(i)), 1, map[units.Service]Totals{"s": totals[i]})
			}
		}
		hear()
		s.Measure(now)
		for len(calls) > 0 {
			sent := 0.0
			for range int(step / poll) {
				now = now.Add(poll)
				if len(calls) > 0 {
					totals[calls[0]].Tokens += 10_000
					calls = calls[1:]
					sent += 10_000
				}
				hear()
			}
			if got := s.Measure(now)["s"].Asked * step.Seconds(); math.Abs(got-sent) > 1 {
				t.Fatalf("tokens since the last plan: got %.0f, want %.0f", got, sent)
			}
		}
	})
}

// Polls are lost, some plans hear none. What was asked for meanwhile must count once
// the next poll comes, over the time that it took.
func TestSurveyLosesNothingWithAPoll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Survey
		total, heardTotal, counted := 0.0, 0.0, 0.0
		now, heardAt, measuredTo := start, start, start
		s.Hear(now, "e", 1, map[units.Service]Totals{"s": {Tokens: 0}})
		for n := range rapid.IntRange(1, 60).Draw(t, "polls") {
			now = now.Add(poll)
			total += float64(rapid.IntRange(0, 20_000).Draw(t, "tokens"))
			if rapid.Bool().Draw(t, "arrives") {
				s.Hear(now, "e", 1, map[units.Service]Totals{"s": {Tokens: total}})
				heardTotal, heardAt = total, now
			}
			if n%5 != 4 {
				continue
			}
			load := s.Measure(now)["s"]
			counted += load.Asked * heardAt.Sub(measuredTo).Seconds()
			measuredTo = heardAt
			if now.Sub(heardAt) <= totalsExpiry && math.Abs(counted-heardTotal) > 1 {
				t.Fatalf("tokens counted: got %.0f, want %.0f", counted, heardTotal)
			}
		}
	})
}

func TestSurveyForgets(t *testing.T) {
	hear := func(s *Survey, at time.Duration, incarnation units.Incarnation, tokens float64) {
		s.Hear(start.Add(at), "e", incarnation, map[units.Service]Totals{"s": {Tokens: tokens}})
	}
	cases := map[string]struct {
		play func(s *Survey)
		at   time.Duration
		want float64
	}{
		"nothing while it is heard": {
			play: func(s *Survey) {
				hear(s, 0, 1, 100)
				hear(s, time.Second, 1, 300)
			},
			at:   time.Second,
			want: 200,
		},
		"nothing while one poll is late": {
			play: func(s *Survey) {
				hear(s, 0, 1, 100)
				hear(s, time.Second, 1, 300)
				s.Measure(start.Add(time.Second))
			},
			at:   time.Second + totalsExpiry,
			want: 200,
		},
		"an entry that is gone": {
			play: func(s *Survey) {
				hear(s, 0, 1, 100)
				hear(s, time.Second, 1, 300)
			},
			at:   time.Second + 2*totalsExpiry,
			want: 0,
		},
		"what it had said before it started again": {
			play: func(s *Survey) {
				hear(s, 0, 1, 1_000_000)
				hear(s, time.Second, 2, 100)
				hear(s, 2*time.Second, 2, 150)
			},
			at:   2 * time.Second,
			want: 50,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var s Survey
			c.play(&s)
			if got := s.Measure(start.Add(c.at))["s"].Asked; got != c.want {
				t.Errorf("asked for: got %v, want %v", got, c.want)
			}
		})
	}
}
