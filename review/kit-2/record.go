package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record holds what was sent, answered and run, in order.
type record struct {
	startedAt time.Time

	mu    sync.Mutex
	lines []string
}

func newRecord() *record { return &record{startedAt: time.Now()} }

// add adds a line with the time since the start.
func (r *record) add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f %s", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, arguments...)))
}

// write writes all lines to a file, and the last ones to the standard output.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	const shown = 12
	fmt.Println(strings.Join(r.lines[max(0, len(r.lines)-shown):], "\n"))
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o600)
}
