package exchange

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fakeClock is a clock that advances only by sleeping.
type fakeClock struct{ now time.Duration }

func newTestPacer(megabits float64) (*Pacer, *fakeClock) {
	c := &fakeClock{}
	p := NewPacer(megabits*1e6, RequestShare, func() time.Duration { return c.now })
	p.sleep = func(d time.Duration) { c.now += d }
	return p, c
}

func pacedBodyOf(p *Pacer, size int, maxDuration time.Duration) io.ReadCloser {
	return p.Body(io.NopCloser(bytes.NewReader(make([]byte, size))), size, maxDuration)
}

// timeAtRequestShare returns how long n bytes take at RequestShare of 8 Mbit/s.
func timeAtRequestShare(n float64) time.Duration {
	return time.Duration(n / (RequestShare * 1e6) * float64(time.Second))
}

func TestPacedBodyUsesItsShareOfTheLink(t *testing.T) {
	is := is.New(t)
	p, c := newTestPacer(8) // 1 MB a second
	data, err := io.ReadAll(pacedBodyOf(p, 100_000, time.Minute))
	is.NoErr(err)
	is.Equal(len(data), 100_000)
	whole := timeAtRequestShare(100_000)
	is.True(c.now > whole*9/10) // without the last piece
	is.True(c.now <= whole)
}

func TestPacedBodyMeetsItsDeadline(t *testing.T) {
	is := is.New(t)
	p, c := newTestPacer(8)
	_, err := io.ReadAll(pacedBodyOf(p, 100_000, 50*time.Millisecond))
	is.NoErr(err)
	is.True(c.now <= 50*time.Millisecond)
}

// Concurrent bodies must share one rate, and each piece must be small.
func TestPacedBodiesShareTheLink(t *testing.T) {
	is := is.New(t)
	p, c := newTestPacer(8)
	a, b := pacedBodyOf(p, 50_000, time.Minute), pacedBodyOf(p, 50_000, time.Minute)
	buf := make([]byte, 32<<10)
	for range 5 {
		for _, body := range []io.Reader{a, b} {
			n, err := body.Read(buf)
			is.NoErr(err)
			is.True(n <= 6000)
		}
	}
	is.True(c.now >= timeAtRequestShare(50_000)) // 60 KB without the last piece
}

func TestFastLinksAndSmallBodiesAreNotPaced(t *testing.T) {
	is := is.New(t)
	p, c := newTestPacer(1000)
	_, err := io.ReadAll(pacedBodyOf(p, 300_000, time.Minute))
	is.NoErr(err)
	slow, slowClock := newTestPacer(8)
	_, err = io.ReadAll(pacedBodyOf(slow, 5000, time.Minute))
	is.NoErr(err)
	is.Equal(c.now+slowClock.now, time.Duration(0))
	var none *Pacer
	_, err = io.ReadAll(pacedBodyOf(none, 300_000, time.Minute))
	is.NoErr(err)
}

// Responses must be sent one after the other. A response that is closed early must release its link
// time, and none may exceed its deadline.
func TestLargeResponsesAreSentInOrder(t *testing.T) {
	is := is.New(t)
	p, c := newTestPacer(8)
	newResponse := func(maxDuration time.Duration) io.ReadCloser {
		return p.WrapResponse(io.NopCloser(bytes.NewReader(make([]byte, 50_000))), 50_000, maxDuration)
	}
	first, second := newResponse(time.Minute), newResponse(time.Minute)
	_, err := io.ReadAll(first)
	is.NoErr(err)
	is.True(c.now <= timeAtRequestShare(50_000))
	_, err = io.ReadAll(second)
	is.NoErr(err)
	is.True(c.now > timeAtRequestShare(90_000) && c.now <= timeAtRequestShare(100_000))
	p, c = newTestPacer(8)
	abandoned, next := newResponse(time.Minute), newResponse(time.Minute)
	urgent := newResponse(20 * time.Millisecond)
	is.NoErr(abandoned.Close())
	is.NoErr(abandoned.Close()) // releases once
	_, err = io.ReadAll(urgent)
	is.NoErr(err)
	is.True(c.now <= 20*time.Millisecond)
	_, err = io.ReadAll(next)
	is.NoErr(err)
	last := newResponse(time.Minute)
	_, err = io.ReadAll(last)
	is.NoErr(err)
	is.True(c.now > timeAtRequestShare(140_000) && c.now <= timeAtRequestShare(150_000)) // next, urgent and last
	var none *Pacer
	_, err = io.ReadAll(none.WrapResponse(io.NopCloser(bytes.NewReader(make([]byte, 50_000))), 50_000, 0))
	is.NoErr(err)
}

// Large responses must get the capacity that other traffic leaves, within fixed bounds.
func TestResponseRateIsRemainingLinkCapacity(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ others, rate float64 }{{0, 920_000}, {150_000, 800_000}, {2e6, 400_000}} {
		now := func() time.Duration { return 0 }
		p := NewResponsePacer(8e6, func(time.Duration) float64 { return c.others }, now)
		_, linkTime := p.reserve(100_000)
		is.Equal(linkTime, time.Duration(100_000/c.rate*float64(time.Second)))
	}
}

// readStream reads n bytes of a body without a known size.
func readStream(t *testing.T, p *Pacer, n int64) {
	t.Helper()
	stream := p.Stream(io.NopCloser(bytes.NewReader(make([]byte, 2*n))))
	_, err := io.CopyN(io.Discard, stream, n)
	is.New(t).NoErr(err)
	is.New(t).NoErr(stream.Close())
}

func TestStreamUsesItsShareOfTheLink(t *testing.T) {
	is := is.New(t)
	p, c := newTestPacer(8)
	readStream(t, p, 500_000)
	whole := timeAtRequestShare(500_000)
	is.True(c.now > whole*9/10)
	is.True(c.now <= whole)
	is.True(p.freeAt <= c.now+timeAtRequestShare(float64(p.pieceBytes))) // the rest of the last block is released
}

// Guards against a declared size that is not kept, and for whose link time bodies without a size would wait.
func TestStreamProceedsBehindHugeReservation(t *testing.T) {
	is := is.New(t)
	p, c := newTestPacer(8)
	p.reserve(1 << 40)
	readStream(t, p, 500_000)
	is.True(c.now.Seconds() < 1.1*500_000/(minStreamShare*1e6))
}
