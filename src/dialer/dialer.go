package dialer

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// idleTime is how long a connection may be idle before the other end is probed, and probeInterval
	// how long a probe may stay unanswered. Where a user timeout is set, the kernel ends a connection at
	// the first unanswered probe after it, whatever the number of probes: so the interval alone is the
	// silence that an idle connection survives. A sound upstream may stop for a second or so and go on.
	idleTime      = time.Second
	probeInterval = 2 * time.Second
	// userTimeout is how long sent bytes may stay unacknowledged. A connection whose state was lost on
	// the way would otherwise get calls until the kernel gives it up after minutes.
	userTimeout = 2500 * time.Millisecond
	// maxProbes has no effect beside the user timeout.
	maxProbes = 2
)

// New returns a dialer whose connections end some seconds after the other end falls silent.
func New() *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     idleTime,
			Interval: probeInterval,
			Count:    maxProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			return errors.Join(err, optionErr)
		},
	}
}
