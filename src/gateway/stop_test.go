package gateway

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/timekeeper"
)

// Guards against calls that a process takes though they could run until it exits, and against calls that are refused though
// they are over by then.
func TestStoppingEntriesRefuseCallsThatCouldOutlastThem(t *testing.T) {
	const second = time.Second
	cases := map[string]struct {
		stopping bool
		// acceptLeft and cutLeft are the times until every call is no longer taken, and until those that run are cut.
		acceptLeft, cutLeft time.Duration
		limit               time.Duration
		refused             bool
	}{
		"not stopping":                     {limit: 12 * second},
		"just told to stop":                {stopping: true, acceptLeft: 2 * second, cutLeft: 7 * second, limit: 12 * second},
		"later, a long call":               {stopping: true, acceptLeft: -second, cutLeft: 4 * second, limit: 12 * second, refused: true},
		"later, a short call":              {stopping: true, acceptLeft: -second, cutLeft: 4 * second, limit: 3 * second},
		"at the end, a short call":         {stopping: true, acceptLeft: -4 * second, cutLeft: second, limit: 1500 * time.Millisecond, refused: true},
		"at the end, the shortest call":    {stopping: true, acceptLeft: -4 * second, cutLeft: second, limit: 300 * time.Millisecond},
		"after the cut, a call of a blink": {stopping: true, acceptLeft: -6 * second, cutLeft: -second, limit: time.Millisecond, refused: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := newLimitedGateway(t, time.Minute)
			now := timekeeper.Now()
			if c.stopping {
				g.Stop(now.Add(c.acceptLeft), now.Add(c.cutLeft))
			}
			err := g.checkStop(&dispatcher.Call{BootTimeDeadline: now.Add(c.limit)})
			var refusal *dispatcher.Refusal
			if got := errors.As(err, &refusal); got != c.refused {
				t.Fatalf("refused: got %t (%v), want %t", got, err, c.refused)
			}
			if c.refused && (refusal.Status != http.StatusServiceUnavailable || refusal.Executed != dispatcher.ExecutedNo || refusal.RetryAfter <= 0) {
				t.Errorf("refusal: got %+v, want one that says that the call has not run, and when to send it again", refusal)
			}
		})
	}
}
