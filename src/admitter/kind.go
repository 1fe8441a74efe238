package admitter

import "fmt"

// Kind is why a client is refused.
type Kind string

// The values of Kind.
const (
	// NoConnection means that the listener has as many connections as it may.
	NoConnection Kind = "connections"
	// NoMemory means that what the client holds has no room beside what others hold.
	NoMemory Kind = "memory"
	// Silent, Stalled and Idle are connections that were closed to make room: those that sent nothing, that sent nothing
	// more of a request, and that had no request.
	Silent  Kind = "silent"
	Stalled Kind = "stalled"
	Idle    Kind = "idle"
	// Largest is a connection that was sending the largest request, which was closed to make room.
	Largest Kind = "largest"
	// RequestTimeout is a request that was not sent in time, AnswerTimeout an answer that was not taken in time.
	RequestTimeout Kind = "request-timeout"
	AnswerTimeout  Kind = "answer-timeout"
	// Untaken is an answer of which nothing was taken for a while, and whose connection was closed to make room.
	Untaken Kind = "untaken"
)

// RefusedError is the error for a client whose request is not read any further.
type RefusedError struct {
	Kind Kind
	// Limit is the bound on what all clients hold, in bytes.
	Limit int64
}

// Error tells why the request is refused and what its client can do.
func (e *RefusedError) Error() string {
	if e.Kind == RequestTimeout {
		return "the request was not sent in time; send it faster"
	}
	return fmt.Sprintf("the requests that are being read have no room for this one within %d bytes; send it again later, or a smaller one", e.Limit)
}
