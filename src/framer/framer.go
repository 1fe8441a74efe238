package framer

import (
	"errors"
	"io"
	"net/http"
	"os"
	"syscall"
)

// Framing is how an answer states where it ends.
type Framing string

// The values of Framing; "" stands for no answer.
const (
	Length  Framing = "length"
	Chunked Framing = "chunked"
	// CloseDelimited is the framing of an answer that ends with its connection.
	CloseDelimited Framing = "close-delimited"
)

// End is how the bytes of an answer ended.
type End string

// The values of End; "" stands for an answer that did not end, or for none.
const (
	// Complete means that the framing says that nothing is missing.
	Complete End = "complete"
	// Closed means that the upstream's side closed the connection of a close-delimited answer.
	Closed End = "closed"
	// InsideEvent means that a stream ended within an event, whatever its framing says.
	InsideEvent End = "inside-event"
	// Truncated means that the connection was closed before the length or the last chunk.
	Truncated End = "truncated"
	Reset     End = "reset"
	// Silent means that the entry stopped reading: the deadline passed, or the caller left.
	Silent    End = "silent"
	Malformed End = "malformed"
)

// Receipt is how an answer arrived.
type Receipt struct {
	Framing Framing
	End     End
}

// FramingOf returns how a response is framed.
func FramingOf(response *http.Response) Framing {
	switch {
	case len(response.TransferEncoding) > 0:
		return Chunked
	case response.ContentLength >= 0:
		return Length
	}
	return CloseDelimited
}

// EndOf returns how an answer ended whose body was read until err, nil or io.EOF at its end.
func EndOf(framing Framing, err error) End {
	switch {
	case err == nil || errors.Is(err, io.EOF):
		if framing == CloseDelimited {
			return Closed
		}
		return Complete
	case errors.Is(err, io.ErrUnexpectedEOF):
		return Truncated
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.Is(err, syscall.ETIMEDOUT):
		return Reset
	case errors.Is(err, os.ErrDeadlineExceeded):
		return Silent
	}
	return Malformed
}
