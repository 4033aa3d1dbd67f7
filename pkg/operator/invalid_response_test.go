package operator

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"bramblelift/pkg/bench/standin"
	"bramblelift/pkg/roundtrip"

	"github.com/matryer/is"
)

// startRaw starts a replica that writes a raw response to each request.
func startRaw(t *testing.T, response standin.RawResponse) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	go response.Serve(listener, standin.RawHeaders{RequestID: "X-Id", NotRun: "X-Not-Run"})
	return listener.Addr().String()
}

// Guards against bytes that are no response being taken for a result, or keeping the client from the other replicas.
func TestClientPassesByReplicaThatSendsNoResponse(t *testing.T) {
	responses := []standin.InvalidResponse{{Name: "200 without JSON", RawResponse: standin.RawStatus("200 OK")}}
	for _, c := range standin.InvalidResponses {
		if c.Fault != roundtrip.FaultOtherRequest { // responses of replicas name no request
			c.RawResponse = c.WithBody(`{"head":3}`)
		}
		responses = append(responses, c)
	}
	for _, c := range responses {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			client := NewClient([]string{startRaw(t, c.RawResponse), startReplica(t, true)})
			var list VersionList
			started := time.Now()
			is.NoErr(client.Do(context.Background(), http.MethodGet, PathVersions, nil, &list))
			is.Equal(list.Head, uint64(7))
			is.True(time.Since(started) < firstAttemptTimeout+time.Second)
			err := client.attemptWithTimeout(context.Background(), 300*time.Millisecond, http.MethodGet, "http://"+client.addresses[0]+PathVersions, nil, &list)
			var transport transportError
			is.True(errors.As(err, &transport)) // it may have been received
		})
	}
}

// Guards against a check on responses that keeps the client from a result.
func TestClientReadsSoundResponses(t *testing.T) {
	for _, c := range standin.SoundResponses(`{"head":3}`) {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			client := NewClient([]string{startRaw(t, c.RawResponse)})
			for range 2 { // the second request may use the connection of the first
				var list VersionList
				is.NoErr(client.attemptWithTimeout(context.Background(), firstAttemptTimeout, http.MethodGet, "http://"+client.addresses[0]+PathVersions, nil, &list))
				is.Equal(list.Head, uint64(3))
			}
		})
	}
}
