package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestOutboxResendsUntilResendTime(t *testing.T) {
	is := is.New(t)
	var outbox Outbox
	end := End{Request: "r", Instance: "i1", Way: shop}
	is.True(outbox.AddCrash(end))
	is.Equal(outbox.AddCrash(end), false)
	is.True(outbox.AddResponse(Answer{Request: "s", Way: desk}))
	both := Evidence{Ends: []End{end}, Answers: []Answer{{Request: "s", Way: desk}}}
	// Evidence must be kept until it can be sent.
	is.Equal(outbox.Pending(time.Hour), both)
	is.Equal(outbox.Pending(time.Hour+resendTime-1), both)
	is.True(outbox.Pending(time.Hour + resendTime).Empty())
	for i := range maxPending + 2 {
		outbox.AddCrash(End{Request: "r", Instance: string(rune('a' + i))})
	}
	is.Equal(len(outbox.Pending(0).Ends), maxPending)
	is.Equal(outbox.Dropped(), 2)
}
