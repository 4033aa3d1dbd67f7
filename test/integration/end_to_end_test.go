package integration

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestRequestIsServedEndToEnd guards against a call through a node that gets no response,
// and against a second version whose added route does not work.
func TestRequestIsServedEndToEnd(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, nil)
	first := s.call(s.Proxies[0], http.MethodGet, "/pedidos/stock/1", "first", false)
	is.True(first.Answered() && first.Complete) // served by version 1
	before := s.call(s.Proxies[0], http.MethodGet, "/new/1", "before", false)
	is.Equal(before.Status, http.StatusNotFound)
	is.Equal(before.Outcome, "not-run")

	text := s.profile.BundleText("second") + "\n[[route]]\nname = \"new\"\npath_prefix = \"/new\"\nservice = \"catalogo\"\n"
	number, _, err := s.Publish(s.context(), text)
	is.NoErr(err)
	is.Equal(number, uint64(2))
	is.NoErr(s.awaitVersion(s.Proxies, 2))
	after := s.call(s.Proxies[0], http.MethodGet, "/new/2", "after", false)
	is.True(after.Answered() && after.Complete) // the new route works
}
