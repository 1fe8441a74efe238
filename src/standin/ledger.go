package standin

import (
	"maps"
	"sync"
)

// Ledger is the ground truth: how often each call ran.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

// Ran counts one run of a call.
func (l *Ledger) Ran(call string) {
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
