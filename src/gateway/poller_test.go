package gateway

import (
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
)

// A leader is lost, and its entries look for the next: soon and often at first,
// since each of their callers waits for it, and no more than at other times once
// control stays away, so that it is not asked to death when it comes back.
func TestPauseBetweenPolls(t *testing.T) {
	cases := map[string]struct {
		took, silence time.Duration
		lost          bool
		want          time.Duration
	}{
		"leader heard":          {took: 10 * time.Millisecond, want: 90 * time.Millisecond},
		"leader slow":           {took: 300 * time.Millisecond, want: 0},
		"leader just lost":      {took: 10 * time.Millisecond, lost: true, want: seekInterval},
		"election under way":    {took: 450 * time.Millisecond, silence: time.Second, lost: true, want: seekInterval},
		"control away for long": {took: 10 * time.Millisecond, silence: seekFor, lost: true, want: mostInterval},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := pause(100*time.Millisecond, c.took, c.silence, c.lost); got != c.want {
				t.Errorf("pause: got %v, want %v", got, c.want)
			}
		})
	}
}

// A fleet grows. Its leader must not be asked to death, and what entries know of each
// other must not grow old.
func TestIntervalGrowsWithTheFleet(t *testing.T) {
	cases := map[string]struct {
		entries int
		want    time.Duration
	}{
		"not known yet": {entries: 0, want: leastInterval},
		"a few":         {entries: 9, want: leastInterval},
		"tens":          {entries: 60, want: 75 * time.Millisecond},
		"hundreds":      {entries: 990, want: mostInterval},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := interval(c.entries); got != c.want {
				t.Errorf("interval: got %v, want %v", got, c.want)
			}
		})
	}
}

// A leader is lost, and the next one has heard three of two hundred entries when it
// answers one of them. An entry that believed in a fleet of three would take a third of
// the retry budget, and all entries together many times what is allowed.
func TestCountOfEntriesSurvivesANewLeader(t *testing.T) {
	cases := map[string]struct {
		known    int
		response *messages.EntryPollResponse
		want     int
	}{
		"new leader":        {known: 200, response: &messages.EntryPollResponse{Entries: 3}, want: 200},
		"more than before":  {known: 2, response: &messages.EntryPollResponse{Entries: 3}, want: 3},
		"settled":           {known: 200, response: &messages.EntryPollResponse{Entries: 150, Settled: true}, want: 150},
		"nobody heard yet":  {response: &messages.EntryPollResponse{}, want: 1},
		"all gone but this": {known: 9, response: &messages.EntryPollResponse{Settled: true}, want: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := countOf(c.known, c.response); got != c.want {
				t.Errorf("entries: got %d, want %d", got, c.want)
			}
		})
	}
}
