package exchanger

import (
	"context"
	"errors"
	"fmt"
	"io"
	"syscall"

	"github.com/rosecroft/rosecroft/src/framer"
	"github.com/rosecroft/rosecroft/src/units"
)

// errInsideEvent is the error for a stream that its upstream broke off.
var errInsideEvent = fmt.Errorf("the stream ended inside an event: %w", io.ErrUnexpectedEOF)

// UpstreamEndedError is the error for an answer that ended with its connection when its upstream ended.
type UpstreamEndedError struct {
	Upstream units.Upstream
}

// Error names the upstream.
func (e *UpstreamEndedError) Error() string {
	return fmt.Sprintf("%s ended with the answer, which has no length", e.Upstream)
}

// Unwrap returns the error of an answer that was cut.
func (e *UpstreamEndedError) Unwrap() error { return io.ErrUnexpectedEOF }

// checkEnd returns why an answer whose connection was not lost is not complete, or nil.
//
// An upstream that closes the connection of a close-delimited answer has completed it, unless the kernel
// did so because the process ended.
func (e *exchange) checkEnd(ctx context.Context) error {
	if e.receipt.End == framer.InsideEvent {
		return errInsideEvent
	}
	if e.receipt.End != framer.Closed {
		return nil
	}
	// The connection may be the last one that the upstream accepts from this entry.
	e.Pool.drop(e.conn)
	e.dropped = true
	err := e.Pool.Probe(ctx, e.upstream)
	if !errors.Is(err, syscall.ECONNREFUSED) || e.HasEnded != nil && !e.HasEnded(ctx, e.upstream) {
		return nil
	}
	return &UpstreamEndedError{Upstream: e.upstream.Name}
}
