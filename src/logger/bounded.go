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
	// flushInterval is the interval between writes. Lines are batched, since a write
	// costs a small process more than the line itself.
	flushInterval = 100 * time.Millisecond
	// maxPendingBytes bounds the lines that wait for a slow reader of the log.
	maxPendingBytes = 256 << 10
)

// BoundedWriter is a log writer that never blocks and that limits the volume of the log; lines
// beyond the limits are dropped and counted. Its fields are set before use.
type BoundedWriter struct {
	Out io.Writer
	// LinesPerSecond is the maximum number of lines kept per second.
	LinesPerSecond int

	mu              sync.Mutex
	pending         bytes.Buffer
	currentSecond   int64
	linesThisSecond int
	dropped         atomic.Int64
}

// NewStructured returns a logger that writes JSON lines with the instance and its role.
func NewStructured(out io.Writer, role string, instance units.Instance) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(out).With().
		Timestamp().
		Str("role", role).
		Str("instance", string(instance)).
		Logger()
}

// Write adds one line; it never returns an error, since a failing log must not stop the
// process's work.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if currentSecond := time.Now().Unix(); currentSecond != b.currentSecond {
		b.currentSecond = currentSecond
		b.linesThisSecond = 0
	}
	b.linesThisSecond++
	if b.linesThisSecond > b.LinesPerSecond || b.pending.Len()+len(line) > maxPendingBytes {
		b.dropped.Add(1)
		return len(line), nil
	}
	b.pending.Write(line)
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

// Run writes the pending lines at each flushInterval and once more when ctx ends. It also
// logs how many lines were dropped.
func (b *BoundedWriter) Run(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	reported := int64(0)
	for {
		select {
		case <-ctx.Done():
			b.Flush()
			return
		case <-ticker.C:
		}
		if dropped := b.dropped.Load(); dropped > reported {
			b.appendLine(fmt.Sprintf(`{"level":"warn","dropped-lines":%d,"message":"log-lines-dropped"}`+"\n", dropped-reported))
			reported = dropped
		}
		b.Flush()
	}
}

func (b *BoundedWriter) appendLine(line string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending.WriteString(line)
}

// Flush writes the pending lines.
func (b *BoundedWriter) Flush() {
	b.mu.Lock()
	content := bytes.Clone(b.pending.Bytes())
	b.pending.Reset()
	b.mu.Unlock()
	if len(content) > 0 {
		// The error is ignored: there is nowhere to report that the log cannot be
		// written.
		_, _ = b.Out.Write(content)
	}
}
