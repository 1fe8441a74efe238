package capper

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Kind is the part of an answer or message that exceeds its bound.
type Kind string

// The values of Kind.
const (
	// Head is the status lines and headers of all heads of one exchange.
	Head Kind = "head"
	// Informational is the number of informational responses before the answer.
	Informational  Kind = "informational"
	ChunkExtension Kind = "chunk-extension"
	Trailer        Kind = "trailer"
	Body           Kind = "body"
	Event          Kind = "event"
	// Rest is what is read of an answer only to reuse its connection.
	Rest Kind = "rest"
	// Message is a message of another process of the system.
	Message Kind = "message"
	// Total is what all answers of the process hold together.
	Total Kind = "total"
)

// ExceededError is the error for a sender that has sent more than a bound allows.
type ExceededError struct {
	Kind Kind
	// Limit is the bound, in bytes; for informational responses it is their number.
	Limit int64
}

// Error names the bound.
func (e *ExceededError) Error() string {
	switch e.Kind {
	case Informational:
		return fmt.Sprintf("more than %d informational responses came before the answer; look at the sender's own log", e.Limit)
	case Total:
		return fmt.Sprintf("all buffered answers together have no room for this one within %d bytes; raise the instance's memory or send fewer large answers", e.Limit)
	case Head, ChunkExtension, Trailer, Body, Event, Rest, Message:
	}
	return fmt.Sprintf("the %s is longer than %d bytes; look at the sender's own log", e.Kind, e.Limit)
}

// Unwrap returns the error of an answer that was broken off: the rest of it is not read.
func (e *ExceededError) Unwrap() error { return io.ErrUnexpectedEOF }

// IsTotal reports whether an error means that all answers of the process together leave no room for one, which says
// nothing about its sender.
func IsTotal(err error) bool {
	var exceeded *ExceededError
	return errors.As(err, &exceeded) && exceeded.Kind == Total
}

// libraryErrors are texts of errors of the standard library for bounds that it keeps by itself and reports without a
// type.
var libraryErrors = map[string]ExceededError{
	"chunked encoding contains too much non-data":  {Kind: ChunkExtension, Limit: MaxChunkExtensionBytes},
	"suspiciously long trailer after chunked body": {Kind: Trailer, Limit: MaxTrailerBytes},
	"net/http: server response headers exceeded":   {Kind: Head, Limit: MaxHeadBytes},
}

// classify returns an *ExceededError for an error of the standard library that means one, and other errors unchanged.
func classify(err error) error {
	if err == nil || err == io.EOF { //nolint:errorlint // Readers return io.EOF itself.
		return err
	}
	var exceeded *ExceededError
	switch {
	case errors.As(err, &exceeded):
		return err
	case errors.Is(err, http.ErrLineTooLong):
		return &ExceededError{Kind: ChunkExtension, Limit: MaxChunkExtensionBytes}
	}
	text := err.Error()
	for part, found := range libraryErrors {
		if strings.Contains(text, part) {
			return &ExceededError{Kind: found.Kind, Limit: found.Limit}
		}
	}
	return err
}
