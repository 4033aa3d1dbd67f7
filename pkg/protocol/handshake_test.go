package protocol

import (
	"errors"
	"net"
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
