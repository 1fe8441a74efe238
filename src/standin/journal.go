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

// Happening is a kind of journal line.
type Happening string

// What a journal tells.
const (
	// Started means that the upstream began to run a call.
	Started Happening = "started"
	// Recomputed means that tokens were computed again for a stream that went on.
	Recomputed Happening = "recomputed"
	// LeavingBegan means that the upstream got its notice.
	LeavingBegan Happening = "leaving"
)

// Line is one line of a journal.
type Line struct {
	At        time.Time `json:"at"`
	Upstream  string    `json:"upstream"`
	Happening Happening `json:"happening"`
	Call      string    `json:"call,omitempty"`
	// Reference is the caller's own number of the call.
	Reference string `json:"reference,omitempty"`
	Tokens    int    `json:"tokens,omitempty"`
}

// Journal appends what happens at an upstream to a file, which outlives the
// process: the operating system keeps what was written by one that is killed.
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

// Write appends a line with its time and the upstream's name; a nil journal takes none.
func (j *Journal) Write(line Line) {
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

// ReadJournal returns the lines of a journal. A last line that a kill cut short is left out.
func ReadJournal(path string) ([]Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open the journal: %w", err)
	}
	defer func() { _ = file.Close() }()
	var lines []Line
	reader := bufio.NewReader(file)
	for {
		content, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return lines, nil
		}
		if err != nil {
			return nil, fmt.Errorf("read the journal: %w", err)
		}
		line := Line{}
		if err := json.Unmarshal(content, &line); err != nil {
			return nil, fmt.Errorf("read the journal: %w", err)
		}
		lines = append(lines, line)
	}
}
