package logger

import (
	"bytes"
	"context"
	"strings"
	"testing"
)

// A log reader that stalls or a burst of lines must neither block the process nor exhaust
// its memory; the lines that are dropped must be counted.
func TestBoundedDropsAndCounts(t *testing.T) {
	var out bytes.Buffer
	b := &BoundedWriter{Out: &out, LinesPerSecond: 10}
	const lines = 500
	for range lines {
		if n, err := b.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("Write: got %d and error %v, want 5 and none", n, err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	b.Run(ctx)
	kept := strings.Count(out.String(), "line\n")
	// A new second may begin once while the lines are written.
	if kept < 10 || kept > 20 {
		t.Errorf("lines kept: got %d, want 10 or 20", kept)
	}
	if got, want := int(b.Dropped()), lines-kept; got != want {
		t.Errorf("lines dropped: got %d, want %d", got, want)
	}
}

func TestStructuredLinesNameTheProcess(t *testing.T) {
	var out bytes.Buffer
	log := NewStructured(&out, "entry", "e1")
	log.Info().Str("call", "c").Msg("answered")
	for _, want := range []string{`"role":"entry"`, `"instance":"e1"`, `"call":"c"`, `"message":"answered"`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("line: got %s, want %s in it", out.String(), want)
		}
	}
}
