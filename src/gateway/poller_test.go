package gateway

import (
	"testing"
	"time"
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
		"leader heard":          {took: 10 * time.Millisecond, want: 190 * time.Millisecond},
		"leader slow":           {took: 300 * time.Millisecond, want: 0},
		"leader just lost":      {took: 10 * time.Millisecond, lost: true, want: seekInterval},
		"election under way":    {took: 450 * time.Millisecond, silence: time.Second, lost: true, want: seekInterval},
		"control away for long": {took: 10 * time.Millisecond, silence: seekFor, lost: true, want: 190 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := pause(c.took, c.silence, c.lost); got != c.want {
				t.Errorf("pause: got %v, want %v", got, c.want)
			}
		})
	}
}
