package protocol

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"bramblelift/pkg/wire"

	"github.com/matryer/is"
)

// handshake performs a handshake over a pipe and returns the result of each side. If sendInstead
// returns true, it replaces the client's part.
func handshake(hello Hello, sendInstead func(*wire.Conn) bool) (accepted Hello, acceptErr, openErr error) {
	left, right := net.Pipe()
	client := wire.NewConn(left, wire.DefaultMaxFrame, time.Second, nil)
	server := wire.NewConn(right, wire.DefaultMaxFrame, time.Second, nil)
	defer client.Close()
	defer server.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		accepted, acceptErr = Accept(server, "east", time.Second)
		if acceptErr == nil {
			acceptErr = server.Send(KindWelcome, Welcome{Name: "server"})
		}
		server.Close()
	}()
	if sendInstead == nil || !sendInstead(client) {
		_, openErr = Open(client, hello, time.Second)
	}
	client.Close()
	<-done
	return accepted, acceptErr, openErr
}

func TestHandshakeIdentifiesTheClient(t *testing.T) {
	is := is.New(t)
	accepted, acceptErr, openErr := handshake(Hello{ClusterID: "east", Role: RoleNode, Name: "n", Group: "shop"}, nil)
	is.NoErr(acceptErr)
	is.NoErr(openErr)
	is.Equal(accepted.Name, "n")
}

func TestForeignClusterAndWrongRoleAreRefused(t *testing.T) {
	for name, test := range map[string]struct {
		hello Hello
		want  RefusalReason
	}{
		"another cluster":     {Hello{ClusterID: "west", Role: RoleNode}, ReasonCluster},
		"a node asks for all": {Hello{ClusterID: "east", Role: RoleNode, Group: "*"}, ReasonRole},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, acceptErr, openErr := handshake(test.hello, nil)
			is.True(acceptErr != nil)
			var refused *RefusedError
			is.True(errors.As(openErr, &refused))
			is.Equal(refused.Refusal.Reason, test.want)
		})
	}
}

func TestOtherProtocolVersionIsRefused(t *testing.T) {
	_, acceptErr, _ := handshake(Hello{}, func(conn *wire.Conn) bool {
		_ = conn.Send(KindHello, Hello{Protocol: Version + 1, ClusterID: "east"})
		_, _ = conn.Receive(time.Second)
		return true
	})
	is.New(t).True(acceptErr != nil)
}

func TestFirstFrameMustBeHello(t *testing.T) {
	_, acceptErr, _ := handshake(Hello{}, func(conn *wire.Conn) bool {
		_ = conn.Send(KindPing, Ping{})
		return true
	})
	is.New(t).True(errors.Is(acceptErr, ErrUnexpected))
}

// Guards against a peer of unknown kind that sends a first frame as large as a snapshot.
func TestFirstFrameIsBounded(t *testing.T) {
	is := is.New(t)
	hello := Hello{ClusterID: "east", Role: RoleNode, Name: strings.Repeat("x", 2*maxHandshakeFrame)}
	_, acceptErr, _ := handshake(hello, nil)
	is.True(errors.Is(acceptErr, wire.ErrFrameTooLarge))
	left, right := net.Pipe()
	defer left.Close()
	defer right.Close()
	server := wire.NewConn(right, wire.DefaultMaxFrame, time.Second, nil)
	go func() {
		_, _ = Accept(server, "east", time.Second)
		_ = server.Send(KindWelcome, Welcome{Name: strings.Repeat("x", 2*maxHandshakeFrame)})
	}()
	_, err := Open(wire.NewConn(left, wire.DefaultMaxFrame, time.Second, nil), Hello{ClusterID: "east", Role: RoleNode}, time.Second)
	is.True(errors.Is(err, wire.ErrFrameTooLarge))
}

// Guards against HTTP or endless bytes being taken for a handshake.
func TestOtherProtocolsAreNoHandshake(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 400 Bad Request\r\n\r\n", "GET / HTTP/1.1\r\n\r\n", strings.Repeat("x", 4096), strings.Repeat("\xff", 4096), "\x00"} {
		is := is.New(t)
		left, right := net.Pipe()
		go func() {
			buffer := make([]byte, 4096)
			_, _ = right.Read(buffer)
			_, _ = io.WriteString(right, text)
		}()
		_, err := Open(wire.NewConn(left, wire.DefaultMaxFrame, time.Second, nil), Hello{ClusterID: "east", Role: RoleNode}, 200*time.Millisecond)
		is.True(err != nil)
		left.Close()
		right.Close()
	}
}
