package logger

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// flushInterval gathers lines into few writes, since each write costs a
	// small process more than the line.
	flushInterval = 100 * time.Millisecond
	// mostPending bounds what waits for a reader that is slow, in bytes.
	mostPending = 256 << 10
)

// Bounded is a log writer that never blocks and bounds its volume; what is beyond
// the bound is dropped and counted. Its fields are set before use.
type Bounded struct {
	Out io.Writer
	// LinesPerSecond is how many lines are kept.
	LinesPerSecond int

	mu      sync.Mutex
	pending bytes.Buffer
	second  int64
	lines   int
	dropped atomic.Int64
}

// NewStructured returns a logger whose lines are JSON objects that name the
// instance and its role.
func NewStructured(out io.Writer, role string, instance units.Instance) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(out).With().
		Timestamp().
		Str("role", role).
		Str("instance", string(instance)).
		Logger()
}

// Write takes one line; it never fails, since a log must not stop the work.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := time.Now().Unix(); second != b.second {
		b.second = second
		b.lines = 0
	}
	b.lines++
	if b.lines > b.LinesPerSecond || b.pending.Len()+len(line) > mostPending {
		b.dropped.Add(1)
		return len(line), nil
	}
	b.pending.Write(line)
	return len(line), nil
}

// Dropped returns how many lines were dropped since the start.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// Run writes what is pending until ctx ends, and once more then.
func (b *Bounded) Run(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	told := int64(0)
	for {
		select {
		case <-ctx.Done():
			b.Flush()
			return
		case <-ticker.C:
		}
		if dropped := b.dropped.Load(); dropped > told {
			b.add(fmt.Sprintf(`{"level":"warn","dropped-lines":%d,"message":"log-lines-dropped"}`+"\n", dropped-told))
			told = dropped
		}
		b.Flush()
	}
}

func (b *Bounded) add(line string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending.WriteString(line)
}

// Flush writes what is pending.
func (b *Bounded) Flush() {
	b.mu.Lock()
	content := bytes.Clone(b.pending.Bytes())
	b.pending.Reset()
	b.mu.Unlock()
	if len(content) > 0 {
		// Nobody is left to tell that the log cannot be written.
		_, _ = b.Out.Write(content)
	}
}
