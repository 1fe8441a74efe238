package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// All processes were killed and start again; callers come before control has a
// leader. A call that comes early waits the tenths of a second that this takes and
// is served; refused, it would come back a second later and be late.
func TestFirstCallsWaitForControl(t *testing.T) {
	const never = time.Hour
	cases := map[string]struct {
		// age is the process's at the call, heardAfter when control is heard from then.
		age, heardAfter, left, goneAfter time.Duration
		want                             time.Duration
	}{
		"control heard before":         {age: 100 * time.Millisecond, heardAfter: 0, left: 10 * time.Second, goneAfter: never, want: 0},
		"control heard soon":           {age: 100 * time.Millisecond, heardAfter: 400 * time.Millisecond, left: 10 * time.Second, goneAfter: never, want: 400 * time.Millisecond},
		"control not heard":            {age: 100 * time.Millisecond, heardAfter: never, left: 10 * time.Second, goneAfter: never, want: startWait - 100*time.Millisecond},
		"little time left":             {age: 100 * time.Millisecond, heardAfter: never, left: 800 * time.Millisecond, goneAfter: never, want: 200 * time.Millisecond},
		"no time stated":               {age: 0, heardAfter: never, goneAfter: never, want: startWait},
		"control lost by an old entry": {age: time.Minute, heardAfter: never, left: 10 * time.Second, goneAfter: never, want: 0},
		"caller leaves":                {age: 0, heardAfter: never, left: 10 * time.Second, goneAfter: 50 * time.Millisecond, want: 50 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), c.goneAfter)
				defer cancel()
				began := time.Now()
				o := newOpening(began.Add(-c.age))
				if c.heardAfter == 0 {
					o.open()
				} else {
					time.AfterFunc(c.heardAfter, o.open)
				}
				o.await(ctx, began, c.left)
				if got := time.Since(began); got != c.want {
					t.Errorf("wait: got %v, want %v", got, c.want)
				}
				cancel()
			})
		})
	}
}

// Calls of a whole data centre come to one entry that has just started. Those
// beyond what its memory holds are refused at once, and leave no place taken.
func TestWaitingCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		o := newOpening(began)
		for range mostWaiting {
			go o.await(t.Context(), began, 0)
		}
		synctest.Wait()
		o.await(t.Context(), began, 0)
		if got, want := time.Since(began), time.Duration(0); got != want {
			t.Errorf("wait of one too many: got %v, want %v", got, want)
		}
		o.open()
		synctest.Wait()
		if got, want := o.waiting.Load(), int64(0); got != want {
			t.Errorf("calls that wait at the end: got %d, want %d", got, want)
		}
	})
}
