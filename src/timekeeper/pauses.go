package timekeeper

import (
	"context"
	"sync"
	"time"
)

const (
	// pauseCheckInterval is the time between two checks whether the process runs.
	pauseCheckInterval = 50 * time.Millisecond
	// minPause is the shortest time without a check that counts as a pause.
	minPause = 250 * time.Millisecond
	// pauseTTL is for how long after a pause what the process reads may have arrived in it.
	pauseTTL = 500 * time.Millisecond
)

// Pauses finds out when the process has not run for a while, as it or its instance was frozen or as it got no processor
// time. What it reads then may be older than it seems. The zero value is ready for use.
type Pauses struct {
	mu sync.Mutex
	// checkedAt is when the last check ran, zero before the first.
	checkedAt time.Time
	// endedAt is when the last pause ended, zero if there was none.
	endedAt time.Time
}

// Run checks whether the process runs until the context ends.
func (p *Pauses) Run(ctx context.Context) {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	for {
		p.check(Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *Pauses) check(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isPause(now) {
		p.endedAt = now
	}
	p.checkedAt = now
}

func (p *Pauses) isPause(now time.Time) bool {
	return !p.checkedAt.IsZero() && now.Sub(p.checkedAt) >= minPause
}

// IsRecent reports whether what is read now may have arrived in a pause.
func (p *Pauses) IsRecent() bool { return p.isRecent(Now()) }

func (p *Pauses) isRecent(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The check that finds a pause may run after what was waiting for its end.
	return p.isPause(now) || !p.endedAt.IsZero() && now.Sub(p.endedAt) < pauseTTL
}
