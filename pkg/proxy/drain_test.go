package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"bramblelift/pkg/pipeline"

	"github.com/matryer/is"
)

// drainTestReserve is the time that canceled calls have for their responses.
const drainTestReserve = 500 * time.Millisecond

// startServer serves handler on a local port.
func startServer(t *testing.T, handler http.HandlerFunc) (server *pipeline.Server, address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server = pipeline.New(pipeline.Config{Handler: handler, HeaderTimeout: time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return server, l.Addr().String()
}

// newBlockingServer returns a server whose calls respond once release is closed, whether they are canceled or not.
func newBlockingServer(t *testing.T) (server *pipeline.Server, address string, started, release chan struct{}) {
	t.Helper()
	started, release = make(chan struct{}, 1), make(chan struct{})
	server, address = startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		started <- struct{}{}
		<-release
		_, _ = io.WriteString(w, "whole")
	})
	return server, address, started, release
}

// getBody requests a page and returns its body, or the error.
func getBody(address string) string {
	response, err := http.Get("http://" + address)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	return string(body)
}

func TestDrainWaitsForCallsNotForConnections(t *testing.T) {
	is := is.New(t)
	server, address, started, release := newBlockingServer(t)
	idleConn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer idleConn.Close()
	result := make(chan string, 1)
	go func() { result <- getBody(address) }()
	<-started
	drained := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	go func() { drained <- drain(ctx, drainTestReserve, server) }()
	select {
	case <-drained:
		t.Fatal("drain returned with a call in flight")
	case <-time.After(450 * time.Millisecond):
	}
	start := time.Now()
	close(release)
	is.NoErr(<-drained)
	is.True(time.Since(start) < time.Second)
	is.Equal(<-result, "whole")
}

func TestDrainFailsAtDeadlineWithCallsInFlight(t *testing.T) {
	is := is.New(t)
	server, address, started, release := newBlockingServer(t)
	defer close(release)
	go getBody(address)
	<-started
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	is.True(errors.Is(drain(ctx, 50*time.Millisecond, server), errCallsInFlight))
}

// Guards against a failed stop because the last call ended shortly before the time was up.
func TestDrainSucceedsIfTheLastCallEndsShortlyBeforeDeadline(t *testing.T) {
	is := is.New(t)
	server, address, started, release := newBlockingServer(t)
	result := make(chan string, 1)
	go func() { result <- getBody(address) }()
	<-started
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	time.AfterFunc(250*time.Millisecond, func() { close(release) })
	is.NoErr(drain(ctx, drainTestReserve, server))
	is.Equal(<-result, "whole")
}

// Guards against a connection that is cut, without a response, because its call outlasts the stop.
func TestCallThatOutlastsTheStopGetsAResponse(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{})
	server, address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		_, _ = io.WriteString(w, "given up")
	})
	result := make(chan string, 1)
	go func() { result <- getBody(address) }()
	<-started
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	is.True(errors.Is(drain(ctx, drainTestReserve, server), errCallsInFlight))
	is.Equal(<-result, "given up")
}

// unreadListener accepts connections with a large send buffer, so that responses are written though nobody reads them.
type unreadListener struct{ *net.TCPListener }

func (l unreadListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return conn, conn.SetWriteBuffer(1 << 20)
}

// Guards against a stop that reports that nothing was cut off after it has cut a response.
func TestDrainFailsIfAResponseIsCut(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := pipeline.New(pipeline.Config{HeaderTimeout: time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 400<<10))
	})})
	go func() { _ = server.Serve(unreadListener{l.(*net.TCPListener)}) }()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.(*net.TCPConn).SetReadBuffer(32 << 10))
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	is.Equal(server.Pending().Unacknowledged, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	is.True(drain(ctx, 50*time.Millisecond, server) != nil)
}

// Guards against a call that fails because its back end, which calls other services through the node, can no longer do so.
func TestDrainKeepsServingTheBackendOfACallInFlight(t *testing.T) {
	is := is.New(t)
	callers, callerAddress := startServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "nested") })
	started := make(chan struct{})
	gate, gateAddress := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		time.Sleep(300 * time.Millisecond)
		_, _ = io.WriteString(w, getBody(callerAddress))
	})
	result := make(chan string, 1)
	go func() { result <- getBody(gateAddress) }()
	<-started
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	is.NoErr(drain(ctx, drainTestReserve, callers, gate))
	is.Equal(<-result, "nested")
}
