package quarantine

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

func post(path string) *http.Request {
	return httptest.NewRequest("POST", "http://shop.example"+path, nil)
}

func TestFilterMatchesSuspectsByBodyAndWay(t *testing.T) {
	is := is.New(t)
	var filter Filter
	body := []byte("fatal")
	is.Equal(filter.Lookup(post("/a"), body, shop), Match{})
	is.Equal((*Filter)(nil).Lookup(post("/a"), body, shop), Match{})
	fatal, watched := FingerprintOf(post("/a"), body), FingerprintOf(post("/b"), nil)
	list := &Watchlist{Modified: 3, Entries: []Entry{{Request: fatal, Quarantined: true, Answered: []Way{desk}}, {Request: watched}}}
	is.True(filter.Set(list))
	is.Equal(filter.Set(&Watchlist{Modified: 4, Entries: list.Entries}), false) // same entries
	is.Equal(filter.Lookup(post("/a"), body, shop), Match{Standing: Quarantined, Request: fatal})
	is.Equal(filter.Lookup(post("/a"), body, desk), Match{Standing: Watched, Request: fatal, Answered: true})
	is.Equal(filter.Lookup(post("/a"), []byte("harmless"), shop), Match{})
	is.Equal(filter.Lookup(post("/c"), body, shop), Match{})
	is.Equal(filter.Lookup(post("/b"), nil, shop), Match{Standing: Watched, Request: watched})
	is.Equal(filter.Count(Quarantined), 1)
	is.True(filter.Set(nil)) // removes all suspects
	is.Equal(filter.Lookup(post("/a"), body, shop), Match{})
	is.Equal(filter.Set(&Watchlist{Modified: 9}), false)
}

// BenchmarkLook measures the lookup of harmless requests without suspects, with other suspects and with a
// suspect on the same target.
func BenchmarkLook(b *testing.B) {
	suspect := func(path, body string) *Watchlist {
		return &Watchlist{Entries: []Entry{{Request: FingerprintOf(post(path), []byte(body)), Quarantined: true}}}
	}
	for name, list := range map[string]*Watchlist{"none": nil, "others": suspect("/fatal", ""), "same path": suspect("/innocent/x", "fatal")} {
		b.Run(name, func(b *testing.B) {
			var filter Filter
			filter.Set(list)
			call, body := post("/innocent/x"), make([]byte, 1024)
			b.ReportAllocs()
			for b.Loop() {
				filter.Lookup(call, body, shop)
			}
		})
	}
}
