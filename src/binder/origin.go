package binder

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosecroft/rosecroft/src/units"
)

// StreamID identifies a stream; it is a hash of the call that brought its first event.
type StreamID uint64

// NewStreamID returns the id of the stream whose first event a call brought.
func NewStreamID(call units.CallID) StreamID { return StreamID(xxhash.Sum64String(string(call))) }

// Origin is the service and the software version at which a stream began.
type Origin struct {
	Service units.Service
	Release units.Release
}

// Unknown is the origin of a stream that began at an upstream whose version was not certain.
var Unknown Origin

// Record is the origin of one stream.
type Record struct {
	Stream StreamID
	Origin Origin
	// Until is when the stream is forgotten, on the clock that counts suspension.
	Until time.Time
}
