package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// startWait is how long after its start an entry lets calls wait for control:
	// an election after all processes ended together, and a poll.
	startWait = 1500 * time.Millisecond
	// waitShare is the part of its time that a call may wait, so that a refusal
	// leaves its caller the time to try another entry.
	waitShare = 0.25
	// mostWaiting bounds the calls that wait: a few hundred bodies of some tens of
	// kilobytes fit an entry's memory.
	mostWaiting = 256
)

// opening lets the first calls of a process wait until it has heard control.
//
// The load it answers: all processes end at once and start again. Callers come
// back before control has elected a leader. Told to come back in a second, each
// of them is late; what they wait for takes some tenths of one. An entry that has
// lost control while it ran refuses at once: nobody knows when that ends.
type opening struct {
	since   time.Time
	heard   chan struct{}
	once    sync.Once
	waiting atomic.Int64
}

func newOpening(now time.Time) *opening {
	return &opening{
		since: now,
		heard: make(chan struct{}),
	}
}

// open lets all calls go on.
func (o *opening) open() { o.once.Do(func() { close(o.heard) }) }

// await returns once control was heard, or once waiting has no more sense for a
// call that has left until its caller gives up, 0 where that is not known.
func (o *opening) await(ctx context.Context, now time.Time, left time.Duration) {
	select {
	case <-o.heard:
		return
	default:
	}
	wait := o.since.Add(startWait).Sub(now)
	if left > 0 {
		wait = min(wait, time.Duration(waitShare*float64(left)))
	}
	if wait <= 0 {
		return
	}
	if o.waiting.Add(1) <= mostWaiting {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-o.heard:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	o.waiting.Add(-1)
}
