package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// startupTimeout is how long after its start an entry lets calls wait for control: the time
	// of an election after all processes ended together, and of a poll.
	startupTimeout = 1500 * time.Millisecond
	// maxWaitFraction is the fraction of its remaining time that a call may wait, so that a
	// refusal leaves its caller the time to try another entry.
	maxWaitFraction = 0.25
	// maxWaiting bounds the waiting calls: a few hundred bodies of some tens of kilobytes fit
	// an entry's memory.
	maxWaiting = 256
)

// startupBarrier makes the first calls of a process wait until control has responded.
//
// When all processes end at once and restart, callers come back before control has elected a
// leader. A caller that is told to retry in a second would miss its deadline, while an election
// takes some tenths of a second. An entry that loses control while running refuses calls at
// once, since it is unknown when control will return.
type startupBarrier struct {
	startedAt time.Time
	released  chan struct{}
	once      sync.Once
	waiting   atomic.Int64
}

func newStartupBarrier(now time.Time) *startupBarrier {
	return &startupBarrier{
		startedAt: now,
		released:  make(chan struct{}),
	}
}

// release lets all calls proceed.
func (s *startupBarrier) release() { s.once.Do(func() { close(s.released) }) }

// await returns once control has responded, or once waiting is no longer useful for a call
// whose caller waits for the remaining time, 0 if that is not known.
func (s *startupBarrier) await(ctx context.Context, now time.Time, remaining time.Duration) {
	select {
	case <-s.released:
		return
	default:
	}
	wait := s.startedAt.Add(startupTimeout).Sub(now)
	if remaining > 0 {
		wait = min(wait, time.Duration(maxWaitFraction*float64(remaining)))
	}
	if wait <= 0 {
		return
	}
	if s.waiting.Add(1) <= maxWaiting {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-s.released:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	s.waiting.Add(-1)
}
