package gateway

import (
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
)

// A leader is lost, and its entries search for the next one: soon and often at first, since
// each of their callers waits for it, and no more often than usual once control stays away, so
// that it is not overloaded with polls when it comes back.
func TestPollDelay(t *testing.T) {
	cases := map[string]struct {
		took, silence time.Duration
		lost          bool
		want          time.Duration
	}{
		"leader responds":        {took: 10 * time.Millisecond, want: 90 * time.Millisecond},
		"leader responds slowly": {took: 300 * time.Millisecond, want: 0},
		"leader just lost":       {took: 10 * time.Millisecond, lost: true, want: searchInterval},
		"election in progress":   {took: 450 * time.Millisecond, silence: time.Second, lost: true, want: searchInterval},
		"control away for long":  {took: 10 * time.Millisecond, silence: searchDuration, lost: true, want: maxInterval},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := pollDelay(100*time.Millisecond, c.took, c.silence, c.lost); got != c.want {
				t.Errorf("delay: got %v, want %v", got, c.want)
			}
		})
	}
}

// As a fleet grows, its leader must not be overloaded with polls, and the loads that entries
// have of each other must not become stale.
func TestPollIntervalGrowsWithTheFleet(t *testing.T) {
	cases := map[string]struct {
		entries int
		want    time.Duration
	}{
		"not known yet": {entries: 0, want: minInterval},
		"a few":         {entries: 9, want: minInterval},
		"tens":          {entries: 60, want: 75 * time.Millisecond},
		"hundreds":      {entries: 990, want: maxInterval},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := pollInterval(c.entries); got != c.want {
				t.Errorf("interval: got %v, want %v", got, c.want)
			}
		})
	}
}

// A leader is lost, and the next one has received polls of three of two hundred entries when it
// answers one of them. An entry that assumed a fleet of three would take a third of the retry
// budget, and all entries together many times what is allowed.
func TestEntryCountSurvivesANewLeader(t *testing.T) {
	cases := map[string]struct {
		known    int
		response *messages.EntryPollResponse
		want     int
	}{
		"new leader":           {known: 200, response: &messages.EntryPollResponse{Entries: 3}, want: 200},
		"new leader with more": {known: 2, response: &messages.EntryPollResponse{Entries: 3}, want: 3},
		"settled leader":       {known: 200, response: &messages.EntryPollResponse{Entries: 150, Settled: true}, want: 150},
		"no other entry yet":   {response: &messages.EntryPollResponse{}, want: 1},
		"only this entry left": {known: 9, response: &messages.EntryPollResponse{Settled: true}, want: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := entryCount(c.known, c.response); got != c.want {
				t.Errorf("entries: got %d, want %d", got, c.want)
			}
		})
	}
}
