package timekeeper

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a process without processor time that takes its peers for dead, and against timeouts that never end.
func TestRunningTimeoutCountsTimeInWhichTheProcessRan(t *testing.T) {
	const timeout = 80 * time.Millisecond
	cases := map[string]struct {
		// slices are the times between two checks, the last of which repeats.
		slices []time.Duration
		want   time.Duration
	}{
		"runs all the time":       {slices: []time.Duration{runningSlice}, want: timeout},
		"checks come a bit late":  {slices: []time.Duration{runningSlice + 5*time.Millisecond}, want: 100 * time.Millisecond},
		"paused once":             {slices: []time.Duration{runningSlice, 100 * time.Millisecond, runningSlice}, want: 160 * time.Millisecond},
		"paused most of the time": {slices: []time.Duration{100 * time.Millisecond}, want: 300 * time.Millisecond},
		"paused for seconds":      {slices: []time.Duration{5 * time.Second}, want: 5 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			timer := &runningTimer{
				left:   timeout,
				until:  start.Add(maxStretch * timeout),
				lastAt: start,
			}
			now := start
			for i := 0; ; i++ {
				now = now.Add(c.slices[min(i, len(c.slices)-1)])
				if timer.advance(now) {
					break
				}
			}
			if got := now.Sub(start); got != c.want {
				t.Errorf("expired after: got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against contexts that end too late, with the wrong cause, or not with their parents.
func TestWithRunningTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		ctx, cancel := WithRunningTimeout(t.Context(), 90*time.Millisecond)
		defer cancel()
		<-ctx.Done()
		if got, want := time.Since(startedAt), 90*time.Millisecond; got != want {
			t.Errorf("ended after: got %v, want %v", got, want)
		}
		if got := context.Cause(ctx); !errors.Is(got, context.DeadlineExceeded) {
			t.Errorf("cause: got %v, want %v", got, context.DeadlineExceeded)
		}
		parent, cancelParent := context.WithCancel(t.Context())
		child, cancelChild := WithRunningTimeout(parent, time.Hour)
		cancelParent()
		<-child.Done()
		if got := context.Cause(child); !errors.Is(got, context.Canceled) {
			t.Errorf("cause after the parent's end: got %v, want %v", got, context.Canceled)
		}
		cancelChild()
	})
}
