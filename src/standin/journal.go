package standin

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

const journalMode = 0o600

// EventKind is the kind of event in a journal line.
type EventKind string

// The kinds of events.
const (
	// CallStarted records that the upstream started to run a call.
	CallStarted EventKind = "started"
	// TokensRecomputed records tokens computed again for a call that was retried or resumed.
	TokensRecomputed EventKind = "recomputed"
	// NoticeReceived records that the upstream received its notice.
	NoticeReceived EventKind = "leaving"
)

// JournalEvent is one line of a journal.
type JournalEvent struct {
	At       time.Time `json:"at"`
	Upstream string    `json:"upstream"`
	Kind     EventKind `json:"happening"`
	Call     string    `json:"call,omitempty"`
	// Reference is the caller's own identifier of the call.
	Reference string `json:"reference,omitempty"`
	Tokens    int    `json:"tokens,omitempty"`
}

// Journal appends an upstream's events to a file. Each line is written at once, so
// that the file is complete even if the process is killed.
type Journal struct {
	Upstream string

	mu   sync.Mutex
	file *os.File
}

// OpenJournal opens a journal for appending.
func OpenJournal(path, upstream string) (*Journal, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, journalMode)
	if err != nil {
		return nil, fmt.Errorf("open the journal: %w", err)
	}
	return &Journal{
		Upstream: upstream,
		file:     file,
	}, nil
}

// Write appends a line with the current time and the upstream's name; a nil
// journal discards it.
func (j *Journal) Write(line JournalEvent) {
	if j == nil {
		return
	}
	line.At = time.Now()
	line.Upstream = j.Upstream
	content, err := json.Marshal(&line)
	if err != nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	_, _ = j.file.Write(append(content, '\n'))
}

// ReadJournal returns the lines of a journal. An incomplete last line, which a
// killed process may leave, is ignored.
func ReadJournal(path string) ([]JournalEvent, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open the journal: %w", err)
	}
	defer func() { _ = file.Close() }()
	var lines []JournalEvent
	reader := bufio.NewReader(file)
	for {
		content, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return lines, nil
		}
		if err != nil {
			return nil, fmt.Errorf("read the journal: %w", err)
		}
		line := JournalEvent{}
		if err := json.Unmarshal(content, &line); err != nil {
			return nil, fmt.Errorf("read the journal: %w", err)
		}
		lines = append(lines, line)
	}
}
