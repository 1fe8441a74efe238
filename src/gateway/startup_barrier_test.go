package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// All processes were killed and restart, and callers come before control has a leader. An early
// call waits the tenths of a second that this takes and is served; if it were refused, it would
// come back a second later and miss its deadline.
func TestFirstCallsWaitForControl(t *testing.T) {
	const never = time.Hour
	cases := map[string]struct {
		// age is the age of the process at the call, releasedAfter the time from then until
		// control responds.
		age, releasedAfter, remaining, goneAfter time.Duration
		want                                     time.Duration
	}{
		"control responded before":     {age: 100 * time.Millisecond, releasedAfter: 0, remaining: 10 * time.Second, goneAfter: never, want: 0},
		"control responds soon":        {age: 100 * time.Millisecond, releasedAfter: 400 * time.Millisecond, remaining: 10 * time.Second, goneAfter: never, want: 400 * time.Millisecond},
		"control does not respond":     {age: 100 * time.Millisecond, releasedAfter: never, remaining: 10 * time.Second, goneAfter: never, want: startupTimeout - 100*time.Millisecond},
		"little time left":             {age: 100 * time.Millisecond, releasedAfter: never, remaining: 800 * time.Millisecond, goneAfter: never, want: 200 * time.Millisecond},
		"no time stated":               {age: 0, releasedAfter: never, goneAfter: never, want: startupTimeout},
		"control lost by an old entry": {age: time.Minute, releasedAfter: never, remaining: 10 * time.Second, goneAfter: never, want: 0},
		"caller leaves":                {age: 0, releasedAfter: never, remaining: 10 * time.Second, goneAfter: 50 * time.Millisecond, want: 50 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), c.goneAfter)
				defer cancel()
				startedAt := time.Now()
				o := newStartupBarrier(startedAt.Add(-c.age))
				if c.releasedAfter == 0 {
					o.release()
				} else {
					time.AfterFunc(c.releasedAfter, o.release)
				}
				o.await(ctx, startedAt, c.remaining)
				if got := time.Since(startedAt); got != c.want {
					t.Errorf("wait: got %v, want %v", got, c.want)
				}
				cancel()
			})
		})
	}
}

// All calls of a data centre arrive at one entry that has just started. Those beyond what its
// memory holds are refused at once, and must not stay counted as waiting.
func TestWaitingCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		o := newStartupBarrier(startedAt)
		for range maxWaiting {
			go o.await(t.Context(), startedAt, 0)
		}
		synctest.Wait()
		o.await(t.Context(), startedAt, 0)
		if got, want := time.Since(startedAt), time.Duration(0); got != want {
			t.Errorf("wait of a call beyond the limit: got %v, want %v", got, want)
		}
		o.release()
		synctest.Wait()
		if got, want := o.waiting.Load(), int64(0); got != want {
			t.Errorf("calls waiting at the end: got %d, want %d", got, want)
		}
	})
}
