package gate

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"bramblelift/pkg/exchange"

	"github.com/matryer/is"
)

const declineWithoutID = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"

// repeatingBackend rejects the first request without naming it. It sends that rejection a second time in the place of the
// next response on the connection, and then runs the request.
func repeatingBackend(t *testing.T) (address string, run func() []string) {
	var mu sync.Mutex
	var ran []string
	repeats := map[net.Conn]bool{}
	address, _ = scriptedBackend(t, func(conn net.Conn, request *http.Request, number int64) bool {
		if number == 1 {
			mu.Lock()
			repeats[conn] = true
			mu.Unlock()
			_, err := io.WriteString(conn, declineWithoutID)
			return err == nil
		}
		mu.Lock()
		ran = append(ran, request.Header.Get("Call-Id"))
		repeat := repeats[conn]
		mu.Unlock()
		if repeat {
			_, _ = io.WriteString(conn, declineWithoutID)
		}
		writeResponse(conn, request.Header.Get("Call-Id"), "Content-Length: 4\r\n\r\nbody")
		return true
	})
	return address, func() []string {
		mu.Lock()
		defer mu.Unlock()
		return ran
	}
}

// Guards against a call reported as not run because of the second copy of an earlier rejection, of a call or of a probe.
func TestSecondCopyOfRejectionIsNotTakenForNextResponse(t *testing.T) {
	for name, reject := range map[string]func(t *testing.T, g *Gate, address string){
		"of a call": func(t *testing.T, g *Gate, _ string) {
			is.New(t).Equal(do(g, newCall(t, "GET", "rejected")).StatusCode, http.StatusServiceUnavailable)
		},
		"of a probe": func(t *testing.T, g *Gate, address string) {
			_, _, err := g.probeHealth(address, "/health")
			is.New(t).True(err != nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, run := repeatingBackend(t)
			g := newGateFor(address, 4)
			reject(t, g, address)
			status := 0
			for range 100 {
				response := do(g, newCall(t, "POST", "order"))
				if status = response.StatusCode; status == http.StatusOK {
					break
				}
				is.Equal(reasonOf(response), exchange.ReasonRetired) // not the back end's fault
				is.Equal(len(run()), 0)
			}
			is.Equal(status, http.StatusOK)
			is.Equal(run(), []string{"order"})
		})
	}
}

// Guards against a surplus rejection that names no request, on a connection that answered others with their IDs: the call would
// be sent to another back end while this one runs it.
func TestSurplusRejectionIsNotTakenForNextResponse(t *testing.T) {
	is := is.New(t)
	address, calls := scriptedBackend(t, func(conn net.Conn, request *http.Request, number int64) bool {
		if number == 2 {
			_, _ = io.WriteString(conn, declineWithoutID)
		}
		writeResponse(conn, request.Header.Get("Call-Id"), "Content-Length: 4\r\n\r\nbody")
		return true
	})
	g := newGateFor(address, 4)
	first := do(g, newCall(t, "POST", "first"))
	is.Equal(first.StatusCode, http.StatusOK)
	second := do(g, newCall(t, "POST", "second"))
	is.Equal(second.StatusCode, http.StatusBadGateway)
	is.Equal(second.Header.Get(exchange.HeaderOutcome), string(exchange.Unknown))
	is.Equal(do(g, newCall(t, "POST", "third")).StatusCode, http.StatusOK) // on another connection
	is.Equal(calls.Load(), int64(3))
}

// Guards against a call that is sent to another back end because of a success which states that it has not run.
func TestSuccessThatHasNotRunIsNoRejection(t *testing.T) {
	for _, status := range []string{"200 OK", "204 No Content", "302 Found"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			address, _ := scriptedBackend(t, func(conn net.Conn, request *http.Request, _ int64) bool {
				_, _ = io.WriteString(conn, "HTTP/1.1 "+status+"\r\nCall-Id: "+request.Header.Get("Call-Id")+"\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
				return true
			})
			response := do(newGateFor(address, 4), newCall(t, "POST", "order"))
			is.Equal(response.StatusCode, http.StatusBadGateway)
			is.Equal(response.Header.Get(exchange.HeaderOutcome), string(exchange.Unknown))
		})
	}
}

// Guards against responses to calls without an ID that are turned away on a connection that was used before.
func TestCallsWithoutIDsAreAnswered(t *testing.T) {
	is := is.New(t)
	address, calls := scriptedBackend(t, func(conn net.Conn, request *http.Request, _ int64) bool {
		if id := request.Header.Get("Call-Id"); id != "" {
			writeResponse(conn, id, "Content-Length: 4\r\n\r\nbody")
			return true
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
		return true
	})
	g := newGateFor(address, 4)
	for i := range 6 {
		call := newCall(t, "POST", "named")
		if i%2 == 1 {
			call.Header.Del("Call-Id")
		}
		response := do(g, call)
		if reasonOf(response) == exchange.ReasonRetired {
			continue // it was not sent
		}
		is.Equal(response.StatusCode, http.StatusOK)
	}
	is.True(calls.Load() >= 3)
}
