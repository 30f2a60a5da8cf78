package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine's start, counted from the Unix epoch.
// Unlike the monotonic clock of package time, it advances while the machine is
// suspended, so that what expires elsewhere meanwhile expires here as well.
func SinceBoot() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Linux has had this clock since version 2.6.39.
		panic("read the clock CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(now.Unix())
}
