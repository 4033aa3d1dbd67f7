package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestKeptHalvesWithEachHalfLife(t *testing.T) {
	is := is.New(t)
	is.Equal(DecayFactor(0, time.Second), 1.0)
	is.Equal(DecayFactor(time.Second, time.Second), 0.5)
	is.Equal(DecayFactor(3*time.Second, time.Second), 0.125)
}
