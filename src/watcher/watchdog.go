package watcher

import (
	"sync/atomic"
	"time"
)

// Watchdog calls a function once if it is not fed in time.
type Watchdog struct {
	timer *time.Timer
	fired atomic.Bool
}

// Start returns a watchdog that calls onSilence unless it is fed or stopped within the timeout.
func Start(timeout time.Duration, onSilence func()) *Watchdog {
	w := &Watchdog{}
	w.timer = time.AfterFunc(timeout, func() {
		w.fired.Store(true)
		onSilence()
	})
	return w
}

// Feed restarts the watchdog with the given timeout after a sign of life.
func (w *Watchdog) Feed(timeout time.Duration) { w.timer.Reset(timeout) }

// Stop disables the watchdog.
func (w *Watchdog) Stop() { w.timer.Stop() }

// Fired reports whether the watchdog has timed out.
func (w *Watchdog) Fired() bool { return w.fired.Load() }
