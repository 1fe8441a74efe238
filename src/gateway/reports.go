package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/rosecroft/rosecroft/src/binder"
)

// originReports lets attempts wait until the leader knows at which version a stream begins. It is safe for
// concurrent use.
type originReports struct {
	mu sync.Mutex
	// reported is the last record of the journal that the leader knows, and updated is closed when that
	// changes; it is nil while nothing waits.
	reported binder.Number
	updated  chan struct{}
	// waiting holds a value while an attempt waits for the next poll; it is set before use.
	waiting chan struct{}
}

// set records what the leader knows.
func (r *originReports) set(reported binder.Number) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reported = reported
	if r.updated != nil {
		close(r.updated)
		r.updated = nil
	}
}

// wait waits until the leader knows a record, and reports whether it does before the time has passed or ctx has
// ended.
func (r *originReports) wait(ctx context.Context, number binder.Number, atMost time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, atMost)
	defer cancel()
	for {
		r.mu.Lock()
		if r.updated == nil {
			r.updated = make(chan struct{})
		}
		reported, updated := r.reported, r.updated
		r.mu.Unlock()
		if reported >= number {
			return true
		}
		select {
		case r.waiting <- struct{}{}:
		default:
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return false
		}
	}
}
