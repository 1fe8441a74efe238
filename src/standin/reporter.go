package standin

import (
	"math/rand/v2"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
)

// Reporter tells what an engine would publish: load that is old and cache
// events that are late by one announcement, with gaps.
type Reporter struct {
	Engine *Engine
	// Lag is how old the reported load is at least.
	Lag time.Duration
	// Gaps is the share of cache events that is lost.
	Gaps float64

	measured []measurement
	late     *messages.CacheEvents
	sequence uint64
}

type measurement struct {
	load *messages.Load
	at   time.Time
}

// Load measures and returns the newest measurement that is old enough.
func (r *Reporter) Load() *messages.Load {
	now := time.Now()
	running, queued, tokens := r.Engine.Load()
	r.measured = append(r.measured, measurement{
		load: &messages.Load{
			Running:      uint32(running),
			Queued:       uint32(queued),
			QueuedTokens: uint64(tokens),
		},
		at: now,
	})
	for len(r.measured) > 1 && now.Sub(r.measured[1].at) >= r.Lag {
		r.measured = r.measured[1:]
	}
	oldest := r.measured[0]
	oldest.load.AgeMs = now.Sub(oldest.at).Milliseconds()
	return oldest.load
}

// CacheEvents returns what changed before the previous call, or nil.
func (r *Reporter) CacheEvents() *messages.CacheEvents {
	r.Engine.mu.Lock()
	added, removed := r.Engine.cache.changes()
	r.Engine.mu.Unlock()
	ready := r.late
	r.late = nil
	if len(added)+len(removed) > 0 {
		r.sequence++
		r.late = &messages.CacheEvents{
			Sequence: r.sequence,
			Added:    added,
			Removed:  removed,
		}
	}
	if rand.Float64() < r.Gaps {
		return nil
	}
	return ready
}
