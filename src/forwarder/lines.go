package forwarder

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	maxEventLine = 1 << 20
	lineBuffer   = 1 << 10
)

var (
	errCut     = errors.New("the stream ended before its final marker")
	eventEnd   = []byte("\n\n")
	idField    = []byte("id: ")
	dataField  = []byte("data: ")
	eventField = []byte("event: ")
)

// lineReader reads a stream's lines through one small buffer.
type lineReader struct {
	buffered *bufio.Reader
	long     []byte
	// offset is the last event's id.
	offset units.Tokens
}

func newLineReader(body io.Reader) *lineReader {
	return &lineReader{
		buffered: bufio.NewReaderSize(body, lineBuffer),
	}
}

// event returns the next event's data, which holds until the next call, and its
// count of tokens.
func (l *lineReader) event() (units.Tokens, []byte, error) {
	for {
		line, err := l.next()
		if errors.Is(err, io.EOF) {
			return 0, nil, errCut
		}
		if err != nil {
			return 0, nil, err
		}
		// The upstream ends a stream that it cannot finish with an event of its own kind.
		if bytes.HasPrefix(line, eventField) {
			return 0, nil, fmt.Errorf("the upstream ended the stream with %q", line)
		}
		if data, found := bytes.CutPrefix(line, dataField); found {
			return l.offset, data, nil
		}
		if id, found := bytes.CutPrefix(line, idField); found {
			number, err := strconv.ParseInt(string(id), 10, 64)
			if err != nil {
				return 0, nil, fmt.Errorf("an event's id is no token offset: %w", err)
			}
			l.offset = units.Tokens(number)
		}
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
