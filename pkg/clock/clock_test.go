package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestClockCountsWholeMilliseconds(t *testing.T) {
	is := is.New(t)
	c := New()
	time.Sleep(3 * time.Millisecond)
	first := c.Now()
	is.True(first >= 3*time.Millisecond)
	is.Equal(first%time.Millisecond, time.Duration(0))
	is.True(c.Millis() >= first.Milliseconds())
}
