package exchanger

import (
	"context"
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/rosecroft/rosecroft/src/units"
)

// uploadCheckInterval is the time between two looks at whether an upstream has acknowledged a body.
const uploadCheckInterval = 5 * time.Millisecond

// UntakenBodyError is the error for an answer that ended with its connection before its upstream had taken the request.
type UntakenBodyError struct {
	Upstream units.Upstream
	// Reason is why the rest of the body was not taken.
	Reason error
}

// Error names the upstream.
func (e *UntakenBodyError) Error() string {
	return fmt.Sprintf("%s ended an answer without a length before it had taken the whole request: %v; look at the upstream's own log", e.Upstream, e.Reason)
}

// Unwrap returns the reason.
func (e *UntakenBodyError) Unwrap() error { return e.Reason }

// awaitUpload returns once the upstream has taken the whole request, or an *UntakenBodyError.
//
// The kernel reports a reset once, to whichever call comes first. If the one that writes the body gets it, the reader of the
// answer finds an ordinary end of its input.
func (e *exchange) awaitUpload(ctx context.Context) error {
	if e.bodySent != nil {
		select {
		case err := <-e.bodySent:
			e.bodySent = nil
			if err != nil {
				return e.untaken(err)
			}
		case <-ctx.Done():
			return e.untaken(os.ErrDeadlineExceeded)
		}
	}
	ticker := time.NewTicker(uploadCheckInterval)
	defer ticker.Stop()
	for {
		pending, err := e.conn.unacknowledged()
		if err != nil {
			return e.untaken(err)
		}
		if pending == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return e.untaken(os.ErrDeadlineExceeded)
		case <-ticker.C:
		}
	}
}

func (e *exchange) untaken(reason error) error {
	return &UntakenBodyError{
		Upstream: e.upstream.Name,
		Reason:   reason,
	}
}

// unacknowledged returns how many bytes the other end has not acknowledged, or why it never will. It returns 0 where the
// system does not say.
func (c *conn) unacknowledged() (int, error) {
	system, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return 0, err
	}
	var pending int
	var pendingErr, connErr error
	err = raw.Control(func(fd uintptr) {
		if pending, pendingErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); pendingErr != nil || pending == 0 {
			return
		}
		if number, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR); err == nil && number != 0 {
			connErr = syscall.Errno(number)
		}
	})
	if pendingErr != nil {
		return 0, nil
	}
	return pending, errors.Join(err, connErr)
}
