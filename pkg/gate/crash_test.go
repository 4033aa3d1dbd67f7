package gate

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"bramblelift/pkg/exchange"
	"bramblelift/pkg/quarantine"

	"github.com/matryer/is"
)

// crashingBackend takes one call on each connection. After the given number of calls it closes all
// connections and, if crash is set, first its listener.
func crashingBackend(t *testing.T, calls int, crash bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	var received sync.WaitGroup
	received.Add(calls)
	// OnceFunc makes every connection wait until the listener is closed; a concurrent second Close
	// would return early.
	closeListener := sync.OnceFunc(func() { listener.Close() })
	go func() {
		for range calls {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err == nil {
					_, _ = io.Copy(io.Discard, request.Body)
				}
				received.Done()
				received.Wait()
				// A crashing process closes its listener, its oldest socket, first.
				if crash {
					closeListener()
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// A call whose back end crashed must be distinguished from one whose connection broke, and have the
// same fingerprint under another request ID.
func TestCrashIsDistinguishedFromBrokenResponse(t *testing.T) {
	for name, c := range map[string]struct {
		crash  bool
		reason exchange.Reason
	}{
		"the back end ends":             {true, exchange.ReasonCrashed},
		"it only closes the connection": {false, exchange.ReasonBroken},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var mu sync.Mutex
			calls := map[string]Call{}
			g := newGateFor(crashingBackend(t, 3, c.crash), 6)
			g.config.OnCall = func(call Call) {
				mu.Lock()
				defer mu.Unlock()
				calls[call.RequestID] = call
			}
			var group sync.WaitGroup
			for _, id := range []string{"first", "second", "other"} {
				group.Go(func() {
					call := newCall(t, "POST", id)
					body := "body"
					if id == "other" {
						body = "other body"
					}
					call.Body, call.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
					response := g.serve(call)
					is.Equal(reasonOf(response), c.reason)
					is.Equal(response.Header.Get(exchange.HeaderOutcome), string(exchange.Unknown)) // it may have run
				})
			}
			group.Wait()
			if !c.crash {
				is.Equal(calls["first"].Fingerprint, quarantine.Fingerprint(""))
				return
			}
			is.True(calls["first"].Fingerprint != "")
			is.Equal(calls["first"].Fingerprint, calls["second"].Fingerprint)
			is.True(calls["first"].Fingerprint != calls["other"].Fingerprint)
		})
	}
}
