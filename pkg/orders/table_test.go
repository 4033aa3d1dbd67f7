package orders

import (
	"testing"

	"github.com/matryer/is"
)

func TestZonesAreEvacuatedAndReadmitted(t *testing.T) {
	is := is.New(t)
	var none *Table
	is.True(!none.Evacuated("b"))
	first := none.With(Change{Evacuate: &Evacuation{Zone: "b"}}, 5)
	second := first.With(Change{Evacuate: &Evacuation{Zone: "a"}}, 6)
	is.True(second.Evacuated("a") && second.Evacuated("b"))
	is.True(!first.Evacuated("a")) // tables are immutable
	is.Equal(second.Evacuations[0].Zone, "a")
	is.Equal(second.With(Change{Evacuate: &Evacuation{Zone: "a"}}, 7), second) // repeated order: no change
	third := second.With(Change{Readmit: "b"}, 8)
	is.True(!third.Evacuated("b") && third.Evacuated("a") && second.Evacuated("b"))
	is.Equal(third.With(Change{Readmit: "b"}, 9), third)
	is.Equal(third.Since(7), third)
	is.True(third.Since(8) == nil)
	is.True(none.Since(0) == nil)
}
