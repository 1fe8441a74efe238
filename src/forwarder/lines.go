package forwarder

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/rosecroft/rosecroft/src/capper"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	maxEventLineBytes = 1 << 20
	lineBufferSize    = 1 << 10
)

var (
	errStreamCut    = errors.New("the stream ended before its final marker")
	eventTerminator = []byte("\n\n")
	idField         = []byte("id: ")
	dataField       = []byte("data: ")
	eventField      = []byte("event: ")
)

// lineReader reads a stream's lines through one small buffer.
type lineReader struct {
	buffered *bufio.Reader
	longLine []byte
	hold     *capper.Hold
	// offset is the last event's id.
	offset units.Tokens
}

func newLineReader(body io.Reader, hold *capper.Hold) *lineReader {
	return &lineReader{
		hold:     hold,
		buffered: bufio.NewReaderSize(body, lineBufferSize),
	}
}

// nextEvent returns the next event's token offset, which is its id, and its data, which
// is valid until the next call.
func (l *lineReader) nextEvent() (units.Tokens, []byte, error) {
	for {
		line, err := l.nextLine()
		if errors.Is(err, io.EOF) {
			return 0, nil, errStreamCut
		}
		if err != nil {
			return 0, nil, err
		}
		// An upstream that cannot finish a stream ends it with a named event.
		if bytes.HasPrefix(line, eventField) {
			return 0, nil, fmt.Errorf("the upstream ended the stream with %q", line)
		}
		if data, found := bytes.CutPrefix(line, dataField); found {
			return l.offset, data, nil
		}
		if id, found := bytes.CutPrefix(line, idField); found {
			number, err := strconv.ParseInt(string(id), 10, 64)
			if err != nil {
				return 0, nil, fmt.Errorf("event id is not a token offset: %w", err)
			}
			l.offset = units.Tokens(number)
		}
	}
}

// nextLine returns the next line without its line ending; it is valid until the next
// call. Bytes at the end of the stream without a line ending are a truncated line and are
// dropped.
func (l *lineReader) nextLine() ([]byte, error) {
	line, err := l.buffered.ReadSlice('\n')
	l.longLine = l.longLine[:0]
	for errors.Is(err, bufio.ErrBufferFull) {
		size := cap(l.longLine)
		l.longLine = append(l.longLine, line...)
		if err := l.hold.Grow(int64(cap(l.longLine) - size)); err != nil {
			return nil, err
		}
		if len(l.longLine) > maxEventLineBytes {
			return nil, &capper.ExceededError{
				Kind:  capper.Event,
				Limit: maxEventLineBytes,
			}
		}
		line, err = l.buffered.ReadSlice('\n')
	}
	if err != nil {
		return nil, err
	}
	if len(l.longLine) > 0 {
		l.longLine = append(l.longLine, line...)
		line = l.longLine
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// hasEvent reports whether the rest of the buffer holds a complete event.
func (l *lineReader) hasEvent() bool {
	pending, _ := l.buffered.Peek(l.buffered.Buffered())
	return bytes.Contains(pending, eventTerminator)
}
