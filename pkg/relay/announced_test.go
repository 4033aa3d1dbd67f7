package relay

import (
	"testing"

	"bramblelift/pkg/distribution"
	"bramblelift/pkg/protocol"
	"bramblelift/pkg/quarantine"

	"github.com/matryer/is"
)

// Pending announcements must be sent once, and nodes must not make the queue grow without bound.
func TestAnnouncementQueueIsDrainedByPingAndBounded(t *testing.T) {
	is := is.New(t)
	var queue announceQueue
	end := func(instance string) protocol.Announce {
		return protocol.Announce{Evidence: &quarantine.Evidence{Ends: []quarantine.End{{Request: "r", Instance: instance}}}}
	}
	is.True(queue.add(end("a")))
	is.True(queue.add(end("b")))
	is.True(queue.add(protocol.Announce{Endpoints: []distribution.Endpoint{{ID: "e"}}}))
	taken := queue.take()
	is.Equal(len(taken.Evidence.Ends), 2)
	is.Equal(len(taken.Endpoints), 1)
	is.True(queue.take().Empty())
	for range maxPendingAnnouncements {
		is.True(queue.add(end("a")))
	}
	is.Equal(queue.add(end("a")), false)
}
