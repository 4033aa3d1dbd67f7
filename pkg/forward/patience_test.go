package forward

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"bramblelift/pkg/exchange"

	"github.com/matryer/is"
)

func TestAgeIsWhatIsMissingOfTheUsualPatience(t *testing.T) {
	is := is.New(t)
	p := newPatiences()
	for range 100 {
		is.Equal(p.age("a", 2500*time.Millisecond), time.Duration(0))
	}
	is.Equal(p.age("a", 1500*time.Millisecond), time.Second)
	is.Equal(p.age("b", 1500*time.Millisecond), time.Duration(0)) // another route's callers
}

// Few patient callers do not make all others look old.
func TestPatientCallersDoNotCount(t *testing.T) {
	is := is.New(t)
	p := newPatiences()
	for i := range 1000 {
		left := 2500 * time.Millisecond
		if i%20 == 0 {
			left *= 4
		}
		is.Equal(p.age("a", left), time.Duration(0))
	}
}

// Right after a start most callers may be such that come back.
func TestAgeAmongManyThatComeBack(t *testing.T) {
	is := is.New(t)
	p := newPatiences()
	for i := range 400 {
		left := 2500 * time.Millisecond
		if i%4 != 0 {
			left -= time.Duration(300+i) * time.Millisecond
		}
		age := p.age("a", left)
		if i > 100 {
			is.Equal(age, 2500*time.Millisecond-left)
		}
	}
}

func TestAgesOfForgottenRoutes(t *testing.T) {
	is := is.New(t)
	p := newPatiences()
	p.age("a", time.Second)
	p.age("b", time.Second)
	p.keep(func(route string) bool { return route == "a" })
	is.Equal(len(p.routes), 1)
}

// A gate is told what is left of the target latency, counted from the caller's first attempt.
func TestGateIsToldTheAgeOfACall(t *testing.T) {
	is := is.New(t)
	var target atomic.Int64
	gate, _ := standInGate(t, func(w http.ResponseWriter, r *http.Request) {
		millis, set := exchange.ReadMillis(r.Header, exchange.HeaderTarget)
		is.True(set)
		target.Store(millis.Milliseconds())
		serving(w, r)
	})
	n := newGatedNode(t, 1, gate)
	for range 20 {
		n.call(t, http.MethodGet, "/safe/x", "", "Left-Ms", "350")
	}
	is.True(target.Load() > 100) // a first attempt has nearly all of its 200 ms
	n.call(t, http.MethodGet, "/safe/x", "", "Left-Ms", "250")
	is.True(target.Load() > 50 && target.Load() <= 100)
	n.call(t, http.MethodGet, "/safe/x", "", "Left-Ms", "100")
	is.Equal(target.Load(), int64(0))
}

// Calls that may run twice are handled beside others of their connection, no others.
func TestWhichCallsMayRunBesideOthers(t *testing.T) {
	is := is.New(t)
	gate, _ := standInGate(t, serving)
	n := newGatedNode(t, 1, gate)
	handler := n.Config.Handler.(*Handler)
	asked := func(method, path string) bool {
		r := httptest.NewRequest(method, path, nil)
		r.Host = "shop.example"
		return handler.MayRunBeside(r)
	}
	is.True(asked(http.MethodGet, "/safe/x"))
	is.True(!asked(http.MethodGet, "/unsafe/x")) // whatever the method says
	is.True(!asked(http.MethodGet, "/nowhere/x"))
	is.True(!New(Config{}).MayRunBeside(httptest.NewRequest(http.MethodGet, "/safe/x", nil)))
}
