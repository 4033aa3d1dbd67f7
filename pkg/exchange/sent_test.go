package exchange

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSentRoundTripsInMilliseconds(t *testing.T) {
	is := is.New(t)
	for _, sent := range []Sent{{}, {Process: 1<<32 - 1, At: 100 * 24 * time.Hour}, {Process: 7, At: 1234 * time.Millisecond}} {
		read, ok := ParseSent(sent.String())
		is.True(ok)
		is.Equal(read, sent)
	}
	is.Equal(Sent{Process: 1, At: 1500 * time.Microsecond}.String(), "1-1")
	for _, text := range []string{"", "-", "1", "1-", "-1", "1--1", "x!-1", "1-zzzzzzzzzzzzzzzz", "zzzzzzzz-1"} {
		_, ok := ParseSent(text)
		is.True(!ok) // text is not what String writes
	}
}
