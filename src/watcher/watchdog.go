package watcher

import (
	"sync/atomic"
	"time"
)

// Watchdog calls a function once where it is not fed in time.
type Watchdog struct {
	timer *time.Timer
	fired atomic.Bool
}

// Start returns a watchdog that calls silent unless it is fed or stopped within limit.
func Start(limit time.Duration, silent func()) *Watchdog {
	w := &Watchdog{}
	w.timer = time.AfterFunc(limit, func() {
		w.fired.Store(true)
		silent()
	})
	return w
}

// Feed says that there was a sign of life, and allows limit until the next.
func (w *Watchdog) Feed(limit time.Duration) { w.timer.Reset(limit) }

// Stop ends the watch.
func (w *Watchdog) Stop() { w.timer.Stop() }

// Fired reports whether the silence was too long.
func (w *Watchdog) Fired() bool { return w.fired.Load() }
