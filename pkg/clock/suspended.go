package clock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// suspendedTime returns how long the machine has been suspended since it was booted.
func suspendedTime() (time.Duration, error) {
	monotonic, err := readClock(unix.CLOCK_MONOTONIC)
	if err != nil {
		return 0, err
	}
	sinceBoot, err := readClock(unix.CLOCK_BOOTTIME)
	return sinceBoot - monotonic, err
}

func readClock(id int32) (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(id, &ts); err != nil {
		return 0, fmt.Errorf("read clock %d: %w", id, err)
	}
	return time.Duration(ts.Nano()), nil
}
