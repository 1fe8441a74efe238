package mover

import (
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// StreamID identifies one attempt of one call within this entry.
type StreamID uint64

// Stream is what the decision needs to know of one running stream.
type Stream struct {
	ID StreamID
	// Context is the tokens that would have to be computed again elsewhere.
	Context units.Tokens
	// Left is the most tokens that are still to be generated.
	Left units.Tokens
}

// Upstream is one life of a leaving upstream.
type Upstream struct {
	Name        units.Upstream
	Incarnation units.Incarnation
}

// Notice is an upstream's announcement that it leaves.
type Notice struct {
	Upstream Upstream
	LeavesAt time.Time
	Step     time.Duration
	// BytesPerToken and BytesPerSecond are what an export costs, 0 where there is none.
	BytesPerToken  int64
	BytesPerSecond int64
}

// Event is something that happened to a leaving upstream or its streams.
type Event interface{ event() }

// Noticed says that an upstream leaves, with the streams that run there.
type Noticed struct {
	Notice  Notice
	Streams []Stream
}

// Joined says that a stream began at an upstream after its notice.
type Joined struct {
	Upstream Upstream
	Stream   Stream
}

// Progressed says how far a stream has come.
type Progressed struct {
	Upstream Upstream
	Stream   Stream
}

// Ended says that a stream is no longer at the upstream.
type Ended struct {
	Upstream Upstream
	Stream   StreamID
}

// Exported says how an export ended; Took is how long it needed.
type Exported struct {
	Upstream Upstream
	Stream   StreamID
	Tokens   units.Tokens
	Took     time.Duration
	// Failed says that the target or the source was lost, or the export was cut.
	Failed bool
}

// Ticked says that time has passed.
type Ticked struct{}

func (Noticed) event()    {}
func (Joined) event()     {}
func (Progressed) event() {}
func (Ended) event()      {}
func (Exported) event()   {}
func (Ticked) event()     {}

// Action is something that the caller of Step must carry out.
type Action interface{ action() }

// Export wants the stream's KV cache brought to another upstream, and the
// stream to go on there once it has arrived.
type Export struct {
	Upstream Upstream
	Stream   StreamID
}

// Recompute wants the stream to go on elsewhere without its KV cache.
type Recompute struct {
	Upstream Upstream
	Stream   StreamID
}

func (Export) action()    {}
func (Recompute) action() {}
