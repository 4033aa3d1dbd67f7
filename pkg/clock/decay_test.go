package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestKeptHalvesWithEachHalfLife(t *testing.T) {
	is := is.New(t)
	is.Equal(Kept(0, time.Second), 1.0)
	is.Equal(Kept(time.Second, time.Second), 0.5)
	is.Equal(Kept(3*time.Second, time.Second), 0.125)
}
