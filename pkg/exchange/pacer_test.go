package exchange

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
)

// pacedClock is a clock that only sleeping moves.
type pacedClock struct{ now time.Duration }

func newTestPacer(megabits float64) (*Pacer, *pacedClock) {
	c := &pacedClock{}
	p := NewPacer(megabits*1e6, RequestShare, func() time.Duration { return c.now })
	p.sleep = func(d time.Duration) { c.now += d }
	return p, c
}

func paced(p *Pacer, size int, within time.Duration) io.ReadCloser {
	return p.Body(io.NopCloser(bytes.NewReader(make([]byte, size))), size, within)
}

// atPacedShare is how long so many bytes take at the paced share of 8 megabits.
func atPacedShare(n float64) time.Duration {
	return time.Duration(n / (RequestShare * 1e6) * float64(time.Second))
}

func TestPacedBodyTakesItsShareOfTheLink(t *testing.T) {
	is := is.New(t)
	p, c := newTestPacer(8) // 1 MB a second
	data, err := io.ReadAll(paced(p, 100_000, time.Minute))
	is.NoErr(err)
	is.Equal(len(data), 100_000)
	whole := atPacedShare(100_000)
	is.True(c.now > whole*9/10) // but for the last piece
	is.True(c.now <= whole)
}

func TestPacedBodyIsNotLate(t *testing.T) {
	is := is.New(t)
	p, c := newTestPacer(8)
	_, err := io.ReadAll(paced(p, 100_000, 50*time.Millisecond))
	is.NoErr(err)
	is.True(c.now <= 50*time.Millisecond)
}

// Bodies share what is theirs, and each piece is small.
func TestPacedBodiesShareTheLink(t *testing.T) {
	is := is.New(t)
	p, c := newTestPacer(8)
	a, b := paced(p, 50_000, time.Minute), paced(p, 50_000, time.Minute)
	buf := make([]byte, 32<<10)
	for range 5 {
		for _, body := range []io.Reader{a, b} {
			n, err := body.Read(buf)
			is.NoErr(err)
			is.True(n <= 6000)
		}
	}
	is.True(c.now >= atPacedShare(50_000)) // 60 KB but for the last piece
}

func TestFastLinksAndSmallBodiesAreNotPaced(t *testing.T) {
	is := is.New(t)
	p, c := newTestPacer(1000)
	_, err := io.ReadAll(paced(p, 300_000, time.Minute))
	is.NoErr(err)
	slow, slowClock := newTestPacer(8)
	_, err = io.ReadAll(paced(slow, 5000, time.Minute))
	is.NoErr(err)
	is.Equal(c.now+slowClock.now, time.Duration(0))
	var none *Pacer
	_, err = io.ReadAll(paced(none, 300_000, time.Minute))
	is.NoErr(err)
}

// Answers go one after the other: the first is there after its own time, not after that of both. One that
// is not read whole leaves its time to the next, and none is later than it may be.
func TestAnswersGoOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	p, c := newTestPacer(8)
	answer := func(within time.Duration) io.ReadCloser {
		return p.Answer(io.NopCloser(bytes.NewReader(make([]byte, 50_000))), 50_000, within)
	}
	first, second := answer(time.Minute), answer(time.Minute)
	_, err := io.ReadAll(first)
	is.NoErr(err)
	is.True(c.now <= atPacedShare(50_000))
	_, err = io.ReadAll(second)
	is.NoErr(err)
	is.True(c.now > atPacedShare(90_000) && c.now <= atPacedShare(100_000))
	p, c = newTestPacer(8)
	left, next := answer(time.Minute), answer(time.Minute)
	urgent := answer(20 * time.Millisecond)
	is.NoErr(left.Close())
	is.NoErr(left.Close()) // gives back once
	_, err = io.ReadAll(urgent)
	is.NoErr(err)
	is.True(c.now <= 20*time.Millisecond)
	_, err = io.ReadAll(next)
	is.NoErr(err)
	last := answer(time.Minute)
	_, err = io.ReadAll(last)
	is.NoErr(err)
	is.True(c.now > atPacedShare(140_000) && c.now <= atPacedShare(150_000)) // next, urgent and last
	var none *Pacer
	_, err = io.ReadAll(none.Answer(io.NopCloser(bytes.NewReader(make([]byte, 50_000))), 50_000, 0))
	is.NoErr(err)
}

// Answers get what all else leaves of the link, and neither all of it nor none.
func TestAnswersGetWhatIsLeftOfTheLink(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ others, rate float64 }{{0, 920_000}, {150_000, 800_000}, {2e6, 400_000}} {
		now := func() time.Duration { return 0 }
		p := NewAnswerPacer(8e6, func(time.Duration) float64 { return c.others }, now)
		_, takes := p.reserve(100_000)
		is.Equal(takes, time.Duration(100_000/c.rate*float64(time.Second)))
	}
}
