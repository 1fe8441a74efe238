package standin

import (
	"math/rand/v2"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
)

// Reporter simulates the imperfect reports of an engine: load that is outdated, and
// cache events that are delayed by one announcement and partly lost.
type Reporter struct {
	Engine *Engine
	// MinLoadAge is the minimum age of the reported load once a measurement of that age exists.
	MinLoadAge time.Duration
	// EventLossRate is the fraction of cache event messages that is dropped.
	EventLossRate float64

	measurements []measurement
	delayed      *messages.CacheEvents
	sequence     uint64
}

type measurement struct {
	load       *messages.Load
	measuredAt time.Time
}

// Load measures the current load and returns the newest measurement that is at
// least MinLoadAge old, or the oldest one.
func (r *Reporter) Load() *messages.Load {
	now := time.Now()
	running, queued, tokens := r.Engine.Load()
	r.measurements = append(r.measurements, measurement{
		load: &messages.Load{
			Running:      uint32(running),
			Queued:       uint32(queued),
			QueuedTokens: uint64(tokens),
		},
		measuredAt: now,
	})
	for len(r.measurements) > 1 && now.Sub(r.measurements[1].measuredAt) >= r.MinLoadAge {
		r.measurements = r.measurements[1:]
	}
	oldest := r.measurements[0]
	oldest.load.AgeMs = now.Sub(oldest.measuredAt).Milliseconds()
	return oldest.load
}

// CacheEvents returns the changes that the previous call collected, or nil if there
// are none or the message is dropped.
func (r *Reporter) CacheEvents() *messages.CacheEvents {
	r.Engine.mu.Lock()
	added, removed := r.Engine.cache.takeChanges()
	r.Engine.mu.Unlock()
	ready := r.delayed
	r.delayed = nil
	if len(added)+len(removed) > 0 {
		r.sequence++
		r.delayed = &messages.CacheEvents{
			Sequence: r.sequence,
			Added:    added,
			Removed:  removed,
		}
	}
	if rand.Float64() < r.EventLossRate {
		return nil
	}
	return ready
}
