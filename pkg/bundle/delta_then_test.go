package bundle

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// drawContent draws a content of up to five routes, each in one of three variants.
func drawContent(t *rapid.T) Content {
	content := Content{HandBack: rapid.Bool().Draw(t, "hand back"), Services: []Service{{Name: "orders"}}}
	for i := range 5 {
		if variant := rapid.IntRange(0, 3).Draw(t, "variant"); variant > 0 {
			content.Routes = append(content.Routes, Route{Name: fmt.Sprint("r", i), PathPrefix: fmt.Sprintf("/%d/%d", i, variant), Service: "orders"})
		}
	}
	return content.Normalized()
}

func TestJoinedDeltasHaveTheEffectOfBoth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second, third := drawContent(t), drawContent(t), drawContent(t)
		joined := Diff(first, second).Then(Diff(second, third))
		if got := first.Apply(joined); fmt.Sprintf("%+v", got) != fmt.Sprintf("%+v", third) {
			t.Fatalf("got %+v, expected %+v", got, third)
		}
		for _, name := range joined.RemovedRoutes {
			for _, route := range joined.Routes {
				if route.Name == name {
					t.Fatalf("%s is both changed and removed", name)
				}
			}
		}
	})
}
