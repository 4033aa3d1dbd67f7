package clock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// suspendedTime returns how long the machine has been suspended since it was started.
func suspendedTime() (time.Duration, error) {
	steady, err := readClock(unix.CLOCK_MONOTONIC)
	if err != nil {
		return 0, err
	}
	all, err := readClock(unix.CLOCK_BOOTTIME)
	return all - steady, err
}

func readClock(id int32) (time.Duration, error) {
	var at unix.Timespec
	if err := unix.ClockGettime(id, &at); err != nil {
		return 0, fmt.Errorf("read clock %d: %w", id, err)
	}
	return time.Duration(at.Nano()), nil
}
