package forward

import (
	"testing"
	"time"

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
