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
