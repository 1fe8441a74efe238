package binder

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosecroft/rosecroft/src/units"
)

// StreamID identifies a stream; it is a hash of the call that brought its first event.
type StreamID uint64

// requestBit is set in the ids of requests alone.
const requestBit StreamID = 1

// NewStreamID returns the id of the stream whose first event a call brought.
func NewStreamID(call units.CallID) StreamID {
	return StreamID(xxhash.Sum64String(string(call))) &^ requestBit
}

// NewRequestID returns the id by which a stream is found that a call resumes without naming it: that of the content of
// its request. Several streams may have it.
func NewRequestID(fingerprint units.Fingerprint) StreamID {
	return StreamID(fingerprint) | requestBit
}

// isRequest reports whether several streams may have the id.
func (s StreamID) isRequest() bool { return s&requestBit != 0 }

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

// merge returns the record of a request whose other streams began at an origin and are remembered until a time. If they began at
// another one, it is not known which of them a call resumes.
func (r Record) merge(origin Origin, until time.Time) Record {
	if r.Origin != origin {
		r.Origin = Unknown
	}
	if until.After(r.Until) {
		r.Until = until
	}
	return r
}
