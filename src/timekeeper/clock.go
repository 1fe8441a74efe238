package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the boot of the instance, as a time after the Unix epoch.
// It advances while the instance is suspended, and is comparable on one instance only.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Only a kernel without CLOCK_BOOTTIME fails, and such a kernel cannot suspend either.
		return time.Unix(0, 0).Add(time.Since(processStartedAt))
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

var processStartedAt = time.Now()
