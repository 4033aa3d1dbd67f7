package operator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bramblelift/pkg/catalog"

	"github.com/matryer/is"
)

// replicaAt answers as a leader, or refuses as a follower does.
func replicaAt(t *testing.T, leads bool) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if leads {
			_ = json.NewEncoder(w).Encode(VersionList{Head: 7})
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(catalog.OperationError{Code: catalog.CodeUnavailable, Message: "not the leader"})
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// A client that meets followers first must not wait between them: the wait was 400 ms of
// every roll.
func TestClientAsksEveryReplicaBeforeItPauses(t *testing.T) {
	is := is.New(t)
	client := NewClient([]string{replicaAt(t, false), replicaAt(t, false), replicaAt(t, true)})
	var list VersionList
	started := time.Now()
	is.NoErr(client.Do(context.Background(), http.MethodGet, PathVersions, nil, &list))
	is.Equal(list.Head, uint64(7))
	is.True(time.Since(started) < retryPause) // no pause before all were asked
}

func TestClientEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	client := NewClient([]string{replicaAt(t, false)})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	err := client.Do(ctx, http.MethodGet, PathVersions, nil, &VersionList{})
	is.True(err != nil && strings.Contains(err.Error(), "no leader answered"))
}

// A replica that takes connections and answers nothing, as a frozen process does.
func TestFrozenReplicaDoesNotHoldAnOperatorUp(t *testing.T) {
	is := is.New(t)
	frozen, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer frozen.Close()
	client := NewClient([]string{frozen.Addr().String(), replicaAt(t, true)})
	var list VersionList
	started := time.Now()
	is.NoErr(client.Do(context.Background(), http.MethodGet, PathVersions, nil, &list))
	is.Equal(list.Head, uint64(7))
	is.True(time.Since(started) < attemptTimeout/2)
}
