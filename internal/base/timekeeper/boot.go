package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a clock that counts the time in which the machine was suspended.
//
// The monotonic clock of System stands still then, so that a lease would seem
// to be valid for longer than it is. Readings of Boot are times since the
// machine was started; only differences between them mean anything. Its timers
// are those of System.
type Boot struct{ System }

// Now returns the time since the machine was started.
func (b Boot) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every kernel that Go runs on has this clock.
		panic("timekeeper: no boot-time clock: " + err.Error())
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
