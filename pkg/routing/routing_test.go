package routing

import (
	"testing"
	"time"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/distribution"

	"github.com/matryer/is"
)

func testState(handBack bool) *distribution.State {
	content := bundle.Content{
		HandBack: handBack,
		Services: []bundle.Service{
			{Name: "new", Endpoints: []bundle.Endpoint{{ID: "fixed", Address: "10.0.0.1:80"}, {ID: "both", Address: "10.0.0.2:80"}}},
			{Name: "old"},
		},
		Secrets: []bundle.Secret{{Name: "token", Value: "value"}},
		Routes: []bundle.Route{
			{Name: "all", PathPrefix: "/", Service: "old"},
			{Name: "orders", PathPrefix: "/orders", Service: "new", HandBackService: "old", Secret: "token", Timeout: bundle.Duration(time.Second)},
			{Name: "deep", PathPrefix: "/orders/deep/", Service: "old", Once: true},
		},
	}
	return &distribution.State{
		Active: &bundle.Signed{Manifest: bundle.Manifest{Version: 3}, Content: content},
		Endpoints: distribution.EndpointTable{"new": {
			"both": {Service: "new", ID: "both", Incarnation: 2, Address: "10.0.0.9:80", State: distribution.Leaving},
			"gone": {Service: "new", ID: "gone", State: distribution.Removed},
		}},
	}
}

func TestLongestWholeSegmentPrefixWins(t *testing.T) {
	table := New(testState(false))
	for path, want := range map[string]string{
		"/orders": "orders", "/orders/1": "orders", "/orders2": "all", "/orders/deep/x": "deep",
		"/orders/deep": "orders", "/": "all", "/x": "all",
	} {
		route, found := table.Match("", path)
		if !found || route.Name != want {
			t.Errorf("%s goes to %q, expected %q", path, route.Name, want)
		}
	}
	_, found := table.Match("", "no-slash")
	is.New(t).True(!found)
}

// A bundle with HandBack set sends the calls of a route to its HandBackService, if it has one.
func TestHandBackSwitchesRoutesToTheOldService(t *testing.T) {
	is := is.New(t)
	route, _ := New(testState(false)).Match("", "/orders")
	is.Equal(route.Targets[0].Service, "new")
	is.Equal(route.Credential, "value")
	is.Equal(route.Timeout, time.Second)
	route, _ = New(testState(true)).Match("", "/orders")
	is.Equal(route.Targets[0].Service, "old")
	route, _ = New(testState(true)).Match("", "/x")
	is.Equal(route.Targets[0].Service, "old") // a route without HandBackService keeps its service
	is.Equal(route.Timeout, DefaultTimeout)
}

func TestRegisteredEndpointOverridesStaticOne(t *testing.T) {
	is := is.New(t)
	endpoints := New(testState(false)).Services[0].Endpoints
	is.Equal(len(endpoints), 2)
	is.Equal(endpoints[0], Endpoint{ID: "both", Incarnation: 2, Address: "10.0.0.9:80", Leaving: true})
	is.Equal(endpoints[1].ID, "fixed")
}
