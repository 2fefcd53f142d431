package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime is a clock that includes the time for which the VM was suspended.
//
// The monotonic clock of System stops during a suspension, so a lease measured
// with it would seem valid for longer than it is. Readings of BootTime count from
// the start of the VM; only differences between them are meaningful. Its timers
// are those of System.
type BootTime struct{ System }

// Now returns the time since the VM was started.
func (b BootTime) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every kernel that Go runs on has this clock.
		panic("timekeeper: no boot-time clock: " + err.Error())
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
