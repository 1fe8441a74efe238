package exchanger

import (
	"context"
	"errors"
	"fmt"
	"io"
	"syscall"
	"time"

	"github.com/rosecroft/rosecroft/src/framer"
	"github.com/rosecroft/rosecroft/src/timekeeper"
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

// endCheckTime is for how long after the end of a close-delimited answer further connections are tried while none is
// accepted or refused. An upstream that accepts one is the one that answered, as none starts again within this time, unless
// this process was paused.
const endCheckTime = 400 * time.Millisecond

// probeTime is for how long such a connection is watched: many times what the kernel takes to close what a process had open.
const probeTime = 20 * time.Millisecond

// probePause is the time between two of these connections.
const probePause = 20 * time.Millisecond

// UnknownEndError is the error for an answer that ended with its connection while its upstream could not be reached.
type UnknownEndError struct {
	Upstream units.Upstream
	// Reason is why it could not be reached.
	Reason error
}

// Error names the upstream.
func (e *UnknownEndError) Error() string {
	return fmt.Sprintf("%s closed the connection of an answer without a length, and cannot be asked whether it is complete: %v; check the network between entries and upstreams", e.Upstream, e.Reason)
}

// Unwrap returns the error of an answer that was cut, as this one may be.
func (e *UnknownEndError) Unwrap() error { return io.ErrUnexpectedEOF }

// checkEnd returns why an answer whose connection was not lost is not complete, or nil.
//
// An upstream that closes the connection of a close-delimited answer has completed it, unless it has not taken the whole
// request, or the kernel closed the connection because the process ended. A further connection shows the latter; one that is
// neither accepted nor refused in time, such as on a busy machine, shows nothing.
func (e *exchange) checkEnd(ctx context.Context) error {
	if e.receipt.End == framer.InsideEvent {
		return errInsideEvent
	}
	if e.receipt.End != framer.Closed {
		return nil
	}
	isOld := e.HasPaused != nil && e.HasPaused()
	if err := e.awaitUpload(ctx); err != nil {
		e.receipt.End = framer.EndOf(e.receipt.Framing, err)
		return err
	}
	// The connection may be the last one that the upstream accepts from this entry.
	e.Pool.drop(e.conn)
	e.dropped = true
	err := e.probeAfterEnd(ctx)
	if err == nil || e.HasEnded != nil && !e.HasEnded(ctx, e.upstream) {
		// The pause may have come after the end was read, and before the upstream was reached.
		if isOld || e.HasPaused != nil && e.HasPaused() {
			return e.checkAnswerer(ctx)
		}
		return nil
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return &UpstreamEndedError{Upstream: e.upstream.Name}
	}
	return &UnknownEndError{
		Upstream: e.upstream.Name,
		Reason:   err,
	}
}

// errOldEnd is why an end that has waited for this process shows nothing.
var errOldEnd = errors.New("this process was paused, and another one may have taken its place since")

// checkAnswerer returns why the upstream that accepts connections may not be the one whose answer ended, or nil: another one
// may have started while this process was paused.
func (e *exchange) checkAnswerer(ctx context.Context) error {
	reason := errOldEnd
	if e.MayAsk != nil && e.upstream.Incarnation != 0 && e.MayAsk(e.upstream) {
		identity, err := e.Ask(ctx, e.upstream, identityTimeout)
		switch {
		case err != nil:
			reason = err
		case identity == Confirmed:
			return nil
		case identity == Replaced:
			return &UpstreamEndedError{Upstream: e.upstream.Name}
		}
	}
	return &UnknownEndError{
		Upstream: e.upstream.Name,
		Reason:   reason,
	}
}

// probeAfterEnd returns why the upstream accepts no connection, or nil.
func (e *exchange) probeAfterEnd(ctx context.Context) error {
	startedAt := timekeeper.Now()
	for {
		err := e.Pool.ProbeFor(ctx, e.upstream, probeTime)
		if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
			return err
		}
		if ctx.Err() != nil || timekeeper.Now().Sub(startedAt) >= endCheckTime {
			return err
		}
		wait := time.NewTimer(probePause)
		select {
		case <-ctx.Done():
		case <-wait.C:
		}
		wait.Stop()
	}
}
