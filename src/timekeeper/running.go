package timekeeper

import (
	"context"
	"sync"
	"time"
)

const (
	// runningSlice is how often a running timeout checks whether the process has run.
	runningSlice = 20 * time.Millisecond
	// maxSliceDelay is by how much the check may come late at a process that runs.
	maxSliceDelay = 10 * time.Millisecond
	// maxStretch bounds a running timeout, as a multiple of its duration.
	maxStretch = 4
)

// WithRunningTimeout returns a context that ends after the process has run for a time.
//
// A process that gets little processor time finds all its timeouts expired and all its answers there when it runs
// again. With timeouts of real time it would take every peer for dead.
func WithRunningTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	t := &runningTimer{
		left:   timeout,
		until:  time.Now().Add(maxStretch * timeout),
		lastAt: time.Now(),
		expire: func() { cancel(context.DeadlineExceeded) },
	}
	t.mu.Lock()
	t.timer = time.AfterFunc(min(timeout, runningSlice), t.tick)
	t.mu.Unlock()
	return ctx, func() {
		t.stop()
		cancel(context.Canceled)
	}
}

// runningTimer expires after its process has run for a time.
type runningTimer struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// left is the time that the process must still run, lastAt when that was computed, until when the
	// timer expires at last.
	left   time.Duration
	lastAt time.Time
	until  time.Time
	expire func()
}

// tick counts the time since the last tick, and waits for the next one.
func (t *runningTimer) tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	if t.advance(time.Now()) {
		t.expire()
		return
	}
	t.timer.Reset(min(t.left, runningSlice))
}

// advance counts the time up to now, and reports whether the timer expires. A slice that took much longer counts as
// one in which the process did not run.
func (t *runningTimer) advance(now time.Time) bool {
	t.left -= min(now.Sub(t.lastAt), runningSlice+maxSliceDelay)
	t.lastAt = now
	return t.left <= 0 || !now.Before(t.until)
}

func (t *runningTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}
