package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestOutboxRepeatsForAWhile(t *testing.T) {
	is := is.New(t)
	var outbox Outbox
	end := End{Request: "r", Instance: "i1", Way: shop}
	is.True(outbox.Ended(end))
	is.Equal(outbox.Ended(end), false)
	is.True(outbox.Answered(Answer{Request: "s", Way: desk}))
	both := Evidence{Ends: []End{end}, Answers: []Answer{{Request: "s", Way: desk}}}
	// Nothing is lost while there is nobody to tell.
	is.Equal(outbox.Take(time.Hour), both)
	is.Equal(outbox.Take(time.Hour+resendTime-1), both)
	is.True(outbox.Take(time.Hour + resendTime).Empty())
	for i := range maxWaiting + 2 {
		outbox.Ended(End{Request: "r", Instance: string(rune('a' + i))})
	}
	is.Equal(len(outbox.Take(0).Ends), maxWaiting)
	is.Equal(outbox.Lost(), 2)
}
