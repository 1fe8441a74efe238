package forwarder

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

const (
	maxEventLine = 1 << 20
	lineBuffer   = 1 << 10
)

var eventEnd = []byte("\n\n")

// lineReader reads a stream's lines through one small buffer.
type lineReader struct {
	buffered *bufio.Reader
	long     []byte
}

func newLineReader(body io.Reader) *lineReader {
	return &lineReader{
		buffered: bufio.NewReaderSize(body, lineBuffer),
	}
}

// next returns a line without its end, which holds until the next call. What
// comes before the stream's end without a line's end was cut and is no line.
func (l *lineReader) next() ([]byte, error) {
	line, err := l.buffered.ReadSlice('\n')
	l.long = l.long[:0]
	for errors.Is(err, bufio.ErrBufferFull) {
		l.long = append(l.long, line...)
		if len(l.long) > maxEventLine {
			return nil, fmt.Errorf("an event is longer than %d bytes", maxEventLine)
		}
		line, err = l.buffered.ReadSlice('\n')
	}
	if err != nil {
		return nil, err
	}
	if len(l.long) > 0 {
		l.long = append(l.long, line...)
		line = l.long
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// ready reports whether a whole event can be read without waiting.
func (l *lineReader) ready() bool {
	waiting, _ := l.buffered.Peek(l.buffered.Buffered())
	return bytes.Contains(waiting, eventEnd)
}
