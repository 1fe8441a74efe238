package capper

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
)

const (
	// MaxHeadBytes bounds the status lines and headers of all heads of one exchange together, informational ones
	// included.
	MaxHeadBytes = 64 << 10
	// MaxInformational bounds the informational responses of one exchange.
	MaxInformational = 8
	// MaxTrailerBytes bounds a trailer. The standard library requires that it fits the connection's read buffer,
	// which is at most this long.
	MaxTrailerBytes = 16 << 10
	// MaxChunkExtensionBytes bounds by how much the extensions of chunks may exceed twice the data and 16 bytes a
	// chunk. The standard library keeps this bound.
	MaxChunkExtensionBytes = 16 << 10
	// headerOverhead is the memory that one header line takes in addition to its bytes.
	headerOverhead = 128
)

// Reader reads the answers that arrive on one connection.
type Reader struct {
	*bufio.Reader
	source *source
}

// NewReader returns a Reader with a buffer of a size, of at most MaxTrailerBytes.
func NewReader(connection io.Reader, size int) *Reader {
	s := &source{connection: connection}
	return &Reader{
		Reader: bufio.NewReaderSize(s, min(size, MaxTrailerBytes)),
		source: s,
	}
}

// ReadResponse reads the head of the final answer to a request and skips informational ones. What the head takes is
// added to hold. An error for a bound that is exceeded is an *ExceededError, also when the body is read, and one for a status
// that is none an *InvalidStatusError.
func (r *Reader) ReadResponse(request *http.Request, hold *Hold) (*http.Response, error) {
	waiting := r.Buffered()
	// The last read may bring as much of the body as the buffer holds.
	r.source.begin(hold, MaxHeadBytes+r.Size()-waiting)
	defer r.source.end()
	for informational := 0; ; informational++ {
		if informational > MaxInformational {
			return nil, &ExceededError{Kind: Informational, Limit: MaxInformational}
		}
		response, err := http.ReadResponse(r.Reader, request)
		if r.source.err != nil {
			return nil, r.source.err
		}
		if err != nil {
			return nil, err
		}
		if waiting+r.source.taken-r.Buffered() > MaxHeadBytes {
			return nil, errHead()
		}
		if isInformational(response.StatusCode) {
			continue
		}
		if err := CheckStatus(response.StatusCode); err != nil {
			return nil, err
		}
		response.Body = &body{ReadCloser: response.Body}
		return response, nil
	}
}

func errHead() error { return &ExceededError{Kind: Head, Limit: MaxHeadBytes} }

// source reads a connection, and bounds what it reads while a head is read.
type source struct {
	connection io.Reader
	inHead     bool
	hold       *Hold
	limit      int
	taken      int
	// err is the bound that was exceeded, nil for none.
	err error
}

func (s *source) begin(hold *Hold, limit int) {
	s.inHead, s.hold, s.limit, s.taken, s.err = true, hold, limit, 0, nil
}

func (s *source) end() { s.inHead, s.hold = false, nil }

// Read reads the next bytes.
func (s *source) Read(buffer []byte) (int, error) {
	if !s.inHead {
		return s.connection.Read(buffer)
	}
	if s.err == nil && s.taken >= s.limit {
		s.err = errHead()
	}
	if s.err != nil {
		return 0, s.err
	}
	n, err := s.connection.Read(buffer[:min(len(buffer), s.limit-s.taken)])
	s.taken += n
	// A short line takes more memory as a header than it has bytes.
	if s.err = s.hold.Grow(int64(n + headerOverhead*bytes.Count(buffer[:n], []byte{'\n'}))); s.err != nil {
		return 0, s.err
	}
	return n, err
}

// body reports the bounds that the standard library keeps as an *ExceededError.
type body struct {
	io.ReadCloser
}

// Read reads the next bytes.
func (b *body) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	return n, classify(err)
}
