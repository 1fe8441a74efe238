package mover

import (
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// StreamID identifies one attempt of one call within this entry.
type StreamID uint64

// Stream is the state of one running stream that the decision depends on.
type Stream struct {
	ID StreamID
	// Context is the number of tokens that would have to be recomputed elsewhere.
	Context units.Tokens
	// Remaining is the maximum number of tokens still to be generated.
	Remaining units.Tokens
}

// Upstream is one incarnation of a leaving upstream.
type Upstream struct {
	Name        units.Upstream
	Incarnation units.Incarnation
}

// Notice is an upstream's announcement that it leaves.
type Notice struct {
	Upstream Upstream
	LeavesAt time.Time
	Step     time.Duration
	// BytesPerToken and BytesPerSecond determine how long an export takes. They are 0 if the
	// upstream supports none.
	BytesPerToken  int64
	BytesPerSecond int64
}

// Event is something that happened to a leaving upstream or its streams.
type Event interface{ event() }

// NoticeReceived reports that an upstream leaves, and the streams that run there.
type NoticeReceived struct {
	Notice  Notice
	Streams []Stream
}

// StreamStarted reports that a stream started at an upstream after its notice.
type StreamStarted struct {
	Upstream Upstream
	Stream   Stream
}

// StreamProgressed reports the new state of a stream.
type StreamProgressed struct {
	Upstream Upstream
	Stream   Stream
}

// StreamEnded reports that a stream no longer runs at the upstream.
type StreamEnded struct {
	Upstream Upstream
	Stream   StreamID
}

// ExportEnded reports that an export ended.
type ExportEnded struct {
	Upstream Upstream
	Stream   StreamID
	Tokens   units.Tokens
	Duration time.Duration
	// Failed is set if the target or the source was lost, or the export was interrupted.
	Failed bool
}

// Ticked reports that time has passed.
type Ticked struct{}

func (NoticeReceived) event()   {}
func (StreamStarted) event()    {}
func (StreamProgressed) event() {}
func (StreamEnded) event()      {}
func (ExportEnded) event()      {}
func (Ticked) event()           {}

// Action is something that the caller of Step must carry out.
type Action interface{ action() }

// Export moves the stream's KV cache to another upstream. The stream continues there once the
// cache has arrived.
type Export struct {
	Upstream Upstream
	Stream   StreamID
}

// Recompute makes the stream continue elsewhere without its KV cache.
type Recompute struct {
	Upstream Upstream
	Stream   StreamID
}

func (Export) action()    {}
func (Recompute) action() {}
