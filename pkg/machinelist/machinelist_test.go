package machinelist

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"bramblelift/pkg/bench/standin"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/roundtrip"

	"github.com/matryer/is"
)

func machine(id string, incarnation uint64, leaving bool) Machine {
	return Machine{Service: "s", ID: id, Incarnation: incarnation, Address: "10.0.0.1:80", Leaving: leaving}
}

func endpointTable(endpoints ...distribution.Endpoint) distribution.EndpointTable {
	table := distribution.EndpointTable{"s": {}}
	for _, endpoint := range endpoints {
		table["s"][endpoint.ID] = endpoint
	}
	return table
}

func live(id string) distribution.Endpoint {
	return distribution.Endpoint{Service: "s", ID: id, Incarnation: 1, Address: "10.0.0.1:80"}
}

func TestOnlyNewAndChangedMachinesCauseChanges(t *testing.T) {
	is := is.New(t)
	table := endpointTable(live("a"), live("b"))
	list := List{Machines: []Machine{machine("a", 1, false), machine("b", 1, true), machine("c", 1, false), {Service: "s", ID: "bad", Address: "host:1"}}}
	changes := (&Tracker{}).Changes(table, list)
	is.Equal(len(changes), 2)
	is.Equal(changes[0].State, distribution.Leaving)
	is.Equal(changes[1].ID, "c")
}

func TestLaggingListRevivesNoEndpoint(t *testing.T) {
	is := is.New(t)
	leaving := live("a")
	leaving.State = distribution.Leaving
	is.Equal(len((&Tracker{}).Changes(endpointTable(leaving), List{Machines: []Machine{machine("a", 1, false)}})), 0)
	is.Equal(len((&Tracker{}).Changes(endpointTable(leaving), List{Machines: []Machine{machine("a", 2, false)}})), 1)
}

func TestMissingMachineIsRemovedOnlyAfterSeveralLists(t *testing.T) {
	is := is.New(t)
	tracker := &Tracker{}
	table := endpointTable(live("a"), live("b"))
	truncated := List{Machines: []Machine{machine("a", 1, false)}}
	for range removeAfterMisses - 1 {
		is.Equal(len(tracker.Changes(table, truncated)), 0)
	}
	full := List{Machines: []Machine{machine("a", 1, false), machine("b", 1, false)}}
	is.Equal(len(tracker.Changes(table, full)), 0) // b is listed again, which resets its misses
	for range removeAfterMisses - 1 {
		is.Equal(len(tracker.Changes(table, truncated)), 0)
	}
	changes := tracker.Changes(table, truncated)
	is.Equal(len(changes), 1)
	is.Equal(changes[0].State, distribution.Removed)
}

func TestEmptyListRemovesNoEndpoint(t *testing.T) {
	is := is.New(t)
	tracker := &Tracker{}
	for range 3 * removeAfterMisses {
		is.Equal(len(tracker.Changes(endpointTable(live("a"), live("b")), List{})), 0)
	}
}

func TestReadRejectsInvalidResponses(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"outage":   func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"nonsense": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<html>")) },
		"more":     func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"machines":[]}HTTP/1.1 200 OK`)) },
		"cut":      func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"machines":[{"id":"a"`)) },
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(handler)
			defer server.Close()
			_, err := NewReader(server.Client(), server.URL).Read(context.Background())
			is.New(t).True(err != nil)
		})
	}
}

const rawList = `{"machines":[{"service":"s","id":"a","address":"10.0.0.1:80"}]}`

// newRawReader returns a reader of a server that writes a raw response to each request.
func newRawReader(t *testing.T, response standin.RawResponse) *Reader {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	go response.Serve(listener, standin.RawHeaders{RequestID: "X-Id", NotRun: "X-Not-Run"})
	return NewReader(&http.Client{Transport: roundtrip.New(&http.Transport{})}, "http://"+listener.Addr().String())
}

// Guards against a list that is taken from bytes which are no response, or replaces the one that is known.
func TestReadTakesNothingFromBytesThatAreNoResponse(t *testing.T) {
	for _, c := range standin.InvalidResponses {
		if c.Fault == roundtrip.FaultOtherRequest {
			continue // a list names no request
		}
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			reader := newRawReader(t, c.WithBody(rawList))
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			_, err := reader.Read(ctx)
			is.True(err != nil)
			is.Equal(reader.last, List{})
			is.Equal(reader.etag, "")
		})
	}
}

// Guards against a check on responses that keeps the list from being read.
func TestReadAcceptsSoundResponses(t *testing.T) {
	for _, c := range standin.SoundResponses(rawList) {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			list, err := newRawReader(t, c.RawResponse).Read(context.Background())
			is.NoErr(err)
			is.Equal(len(list.Machines), 1)
		})
	}
}

func TestUnchangedListIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	etag, sent := `"one"`, 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", etag)
		if r.Header.Get("If-None-Match") == etag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		sent++
		_, _ = w.Write([]byte(`{"machines":[{"service":"s","id":"a","address":"10.0.0.1:80"}]}`))
	}))
	defer server.Close()
	reader := NewReader(server.Client(), server.URL)
	for range 3 {
		list, err := reader.Read(context.Background())
		is.NoErr(err)
		is.Equal(len(list.Machines), 1) // Read returns the cached list
	}
	is.Equal(sent, 1)
	etag = `"two"`
	_, err := reader.Read(context.Background())
	is.NoErr(err)
	is.Equal(sent, 2)
}
