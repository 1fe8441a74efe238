package standin

import (
	"maps"
	"sync"
)

// Ledger counts how often each call actually ran.
type Ledger struct {
	// Journal records the runs on disk, so that they outlive the process; it may be nil.
	Journal *Journal

	mu   sync.Mutex
	runs map[string]int
}

// RecordRun counts one run of a call; reference is the caller's own identifier of it.
func (l *Ledger) RecordRun(call, reference string) {
	l.Journal.Write(JournalEvent{
		Kind:      CallStarted,
		Call:      call,
		Reference: reference,
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = make(map[string]int)
	}
	l.runs[call]++
}

// Runs returns how often each call ran.
func (l *Ledger) Runs() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.runs)
}
