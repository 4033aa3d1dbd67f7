package routing

import (
	"net/url"
	"strings"
	"testing"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/distribution"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// longestPrefixBySearch is the reference for Match: of all prefixes of the path that end at a segment
// boundary, it returns the longest.
func longestPrefixBySearch(routes []bundle.Route, host, path string) string {
	longest := ""
	for _, r := range routes {
		rest, found := strings.CutPrefix(path, r.PathPrefix)
		matches := found && (rest == "" || strings.HasSuffix(r.PathPrefix, "/") || rest[0] == '/')
		if matches && r.Host == host && len(r.PathPrefix) > len(longest) {
			longest = r.PathPrefix
		}
	}
	return longest
}

func TestMatchFindsTheLongestPrefix(t *testing.T) {
	segmentGen := rapid.StringMatching(`[ab]{0,2}`)
	pathGen := rapid.Custom(func(t *rapid.T) string {
		return "/" + strings.Join(rapid.SliceOfN(segmentGen, 0, 4).Draw(t, "segments"), "/")
	})
	rapid.Check(t, func(t *rapid.T) {
		c := bundle.Content{Services: []bundle.Service{{Name: "s"}}}
		seen := map[string]bool{}
		for range rapid.IntRange(1, 12).Draw(t, "routes") {
			r := bundle.Route{Host: rapid.SampledFrom([]string{"", "h"}).Draw(t, "host"), PathPrefix: pathGen.Draw(t, "prefix"), Service: "s"}
			r.Name = r.Host + r.PathPrefix
			if !seen[r.Name] {
				c.Routes = append(c.Routes, r)
			}
			seen[r.Name] = true
		}
		table := New(&distribution.State{Active: &bundle.Signed{Content: c}})
		requestPath := pathGen.Draw(t, "path")
		want := longestPrefixBySearch(c.Routes, "h", requestPath)
		if want == "" {
			want = longestPrefixBySearch(c.Routes, "", requestPath)
		}
		got, found := table.Match("H:80", requestPath)
		if found != (want != "") || got.PathPrefix != want {
			t.Fatalf("%s goes to %q, expected %q", requestPath, got.PathPrefix, want)
		}
	})
}

func TestNextSharesRoutesOfTheSameBundle(t *testing.T) {
	is := is.New(t)
	state := testState(false)
	first := New(state)
	state = state.ChangeEndpoints([]distribution.Endpoint{{Service: "old", ID: "o", Incarnation: 1, Address: "10.0.0.3:80"}})
	second := Update(first, state, nil)
	is.Equal(second.routes, first.routes)
	is.True(second.routes == first.routes)
	is.Equal(len(second.Services[1].Endpoints), 1)
	is.Equal(second.Revision, state.Revision)
	third := Update(second, state.Activate(testState(true).Active), nil)
	is.True(third.routes != second.routes)
	route, _ := third.Match("", "/orders")
	is.Equal(route.Targets[0].Service, "old")
}

// Guards against a request that is taken for one of a safe route, and repeated, because of an encoded slash in its path.
func TestEncodedSlashDoesNotSeparateSegments(t *testing.T) {
	is := is.New(t)
	table := New(&distribution.State{Active: &bundle.Signed{Content: bundle.Content{
		Services: []bundle.Service{{Name: "s"}},
		Routes: []bundle.Route{
			{Name: "order", PathPrefix: "/orders/", Service: "s", Kind: bundle.KindUnsafe},
			{Name: "open", PathPrefix: "/orders/open/", Service: "s", Kind: bundle.KindSafe},
		},
	}}})
	for target, want := range map[string]string{
		"/orders/open/17":          "open",
		"/orders/open%2F17":        "order",
		"/orders/open%2f17":        "order",
		"/orders/o%70en/17":        "open",
		"/orders/open/a%2Fb?x=%2F": "open",
		"/orders%2F17":             "order", // no other route has it
		"/orders/%252F":            "order",
	} {
		u, err := url.ParseRequestURI(target)
		is.NoErr(err)
		route, found := table.MatchURL("h", u)
		is.True(found)
		is.Equal(target+" "+route.Name, target+" "+want)
	}
}
