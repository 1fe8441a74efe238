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
)

// Budget bounds how many attempts beyond the first a service's calls make.
type Budget interface {
	// Earn notes a call that was answered.
	Earn(service units.Service)
	// Spend reports whether one more attempt may be made, and counts it.
	Spend(service units.Service) bool
}

// mayRetry says whether another attempt may follow a fruitless one, and waits
// for its time. A stream that has begun goes on whatever the budget says, since
// its caller has half an answer and its work is not new.
//
// Without the budget, upstreams that refuse under load would get each call
// several times over and refuse more.
func (d *Dispatcher) mayRetry(ctx context.Context, call *Call, stream *Stream, so *attempts) bool {
	if stream.Offset() > call.From {
		if d.Budget != nil && so.used > 0 && so.next == nil {
			// It counts, so that calls without an answer leave room for it.
			_ = d.Budget.Spend(call.Service)
		}
		return true
	}
	if so.fruitless == 0 || so.next != nil {
		return true
	}
	if d.Budget != nil && !d.Budget.Spend(call.Service) {
		return false
	}
	timer := time.NewTimer(backoff(so.fruitless, rand.Float64()))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return true
}

// backoff returns the wait before an attempt; chance in [0, 1) spreads those
// that failed together.
func backoff(fruitless int, chance float64) time.Duration {
	longest := min(firstBackoff<<min(fruitless-1, 16), mostBackoff)
	return time.Duration(float64(longest) * (0.5 + chance/2))
}
