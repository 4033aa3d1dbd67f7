package bundle

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestSourcePatchRoundTrips(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringOfN(rapid.RuneFrom([]rune("{}ab,")), 0, 80, -1)
		base, next := []byte(text.Draw(t, "base")), []byte(text.Draw(t, "next"))
		got, err := DiffSource(base, next).Apply(base)
		if err != nil || string(got) != string(next) {
			t.Fatalf("%q from %q became %q (%v)", next, base, got, err)
		}
	})
}

func TestSourcePatchOfASmallChangeIsSmall(t *testing.T) {
	is := is.New(t)
	var text strings.Builder
	for i := range 300 {
		fmt.Fprintf(&text, `{"name":"r-%d","match":{"path_prefix":"/p%d/"},"action":{"timeout_ms":500}},`, i, i)
	}
	base := text.String()
	next := strings.Replace(base, `"r-150","match":{"path_prefix":"/p150/"},"action":{"timeout_ms":500`, `"r-150","match":{"path_prefix":"/p150/"},"action":{"timeout_ms":700`, 1)
	size := 0
	patch := DiffSource([]byte(base), []byte(next))
	for _, piece := range patch.Pieces {
		size += len(piece.Text) + 8
	}
	is.True(size < 200)
	_, err := patch.Apply([]byte("other"))
	is.True(errors.Is(err, ErrSourcePatch))
}
