package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the instance started as a time after the Unix epoch;
// it goes on while the instance is suspended and is compared on one instance only.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Only a kernel without this clock fails; it cannot suspend either.
		return time.Unix(0, 0).Add(time.Since(started))
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

var started = time.Now()
