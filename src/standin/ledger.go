package standin

import (
	"maps"
	"sync"
)

// Ledger is the ground truth: how often each call ran.
type Ledger struct {
	// Journal keeps the runs over the process's end; it may be nil.
	Journal *Journal

	mu   sync.Mutex
	runs map[string]int
}

// Ran counts one run of a call; reference is the caller's own number of it.
func (l *Ledger) Ran(call, reference string) {
	l.Journal.Write(Line{
		Happening: Started,
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
