package dispatcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	firstBackoff = 2 * time.Millisecond
	mostBackoff  = 200 * time.Millisecond
	// resumePatience is how long a stream under way waits for the budget: callers
	// give up on one that stands still at about that time.
	resumePatience = 2 * time.Second
)

// Budget bounds how many attempts beyond the first a service's calls make.
type Budget interface {
	// Earn notes a call that was answered.
	Earn(service units.Service)
	// Spend reports whether one more attempt may be made, and counts it.
	Spend(service units.Service) bool
	// Resume reports whether a stream under way may go on elsewhere, and counts it.
	Resume(service units.Service) bool
}

// mayRetry says whether another attempt may follow a fruitless one, and waits
// for its time.
//
// Without the budget, upstreams that refuse under load would get each call
// several times over and refuse more. An attempt that has not arrived anywhere takes
// nothing of it: dozens of upstreams that end at once refuse connections until each of
// hundreds of entries has tried each of them, and an entry of a large fleet has the
// budget of a few attempts. Charged for these, its callers were refused while the other
// upstreams had places free.
func (d *Dispatcher) mayRetry(ctx context.Context, call *Call, stream *Stream, so *attempts) bool {
	if so.next != nil {
		return true
	}
	if so.paid {
		pause(ctx, backoff(so.fruitless, rand.Float64()))
		return true
	}
	if stream.Offset() > call.From {
		return d.mayResume(ctx, call)
	}
	if so.fruitless == 0 {
		return true
	}
	if d.Budget != nil && !d.Budget.Spend(call.Service) {
		return false
	}
	pause(ctx, backoff(so.fruitless, rand.Float64()))
	return true
}

// mayResume waits until the budget lets a stream under way go on elsewhere. Its
// caller has half an answer and gets the rest late rather than never; after
// resumePatience callers have left, and can go on themselves from what they have.
func (d *Dispatcher) mayResume(ctx context.Context, call *Call) bool {
	if d.Budget == nil {
		return true
	}
	for waited := time.Duration(0); waited < resumePatience; waited += resumeWait {
		if d.Budget.Resume(call.Service) {
			return true
		}
		pause(ctx, resumeWait)
		if ctx.Err() != nil {
			// The choice of the next upstream tells why the call ends.
			return true
		}
	}
	return false
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// backoff returns the wait before an attempt; chance in [0, 1) spreads those
// that failed together.
func backoff(fruitless int, chance float64) time.Duration {
	longest := min(firstBackoff<<min(fruitless-1, 16), mostBackoff)
	return time.Duration(float64(longest) * (0.5 + chance/2))
}
