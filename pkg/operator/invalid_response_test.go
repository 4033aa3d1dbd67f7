package operator

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"bramblelift/pkg/bench/standin"

	"github.com/matryer/is"
)

// startRaw starts a replica that writes a raw response to each request.
func startRaw(t *testing.T, response standin.RawResponse) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					if _, err := http.ReadRequest(reader); err != nil || !response.Write(conn, standin.RawHeaders{RequestID: "X-Id", NotRun: "X-Not-Run"}, "1") {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against bytes that are no response being taken for a result, or keeping the client from the other replicas.
func TestClientPassesByReplicaThatSendsNoResponse(t *testing.T) {
	responses := append([]standin.InvalidResponse{{Name: "200 without JSON", RawResponse: standin.RawStatus("200 OK")}}, standin.InvalidResponses...)
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
