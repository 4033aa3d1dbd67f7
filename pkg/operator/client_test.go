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

// startReplica starts a server that responds as a leader, or rejects requests as a follower.
func startReplica(t *testing.T, leads bool) string {
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

// The client must not pause before it has tried every replica: a pause would delay each request that doesn't
// reach the leader first.
func TestClientTriesEveryReplicaBeforeItPauses(t *testing.T) {
	is := is.New(t)
	client := NewClient([]string{startReplica(t, false), startReplica(t, false), startReplica(t, true)})
	var list VersionList
	started := time.Now()
	is.NoErr(client.Do(context.Background(), http.MethodGet, PathVersions, nil, &list))
	is.Equal(list.Head, uint64(7))
	is.True(time.Since(started) < retryPause) // no pause before every replica was tried
}

func TestClientStopsWhenContextEnds(t *testing.T) {
	is := is.New(t)
	client := NewClient([]string{startReplica(t, false)})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	err := client.Do(ctx, http.MethodGet, PathVersions, nil, &VersionList{})
	is.True(err != nil && strings.Contains(err.Error(), "no leader answered"))
}

// The client must not wait long for a replica that accepts connections but never responds.
func TestFrozenReplicaDoesNotBlockTheClient(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	client := NewClient([]string{listener.Addr().String(), startReplica(t, true)})
	var list VersionList
	started := time.Now()
	is.NoErr(client.Do(context.Background(), http.MethodGet, PathVersions, nil, &list))
	is.Equal(list.Head, uint64(7))
	is.True(time.Since(started) < attemptTimeout/2)
}

// Guards against the response to a GET, which a redirect leads to, being taken for the result of a change.
func TestRedirectToAGetIsNoResultOfAChange(t *testing.T) {
	for _, status := range []int{http.StatusMovedPermanently, http.StatusFound, http.StatusSeeOther, http.StatusTemporaryRedirect, http.StatusPermanentRedirect} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			is := is.New(t)
			redirecting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/other" {
					_ = json.NewEncoder(w).Encode(map[string]any{"number": 4242, "method": r.Method})
					return
				}
				w.Header().Set("Location", "/other")
				w.WriteHeader(status)
			}))
			defer redirecting.Close()
			leader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_ = json.NewEncoder(w).Encode(map[string]any{"number": 7, "method": r.Method})
			}))
			defer leader.Close()
			client := NewClient([]string{strings.TrimPrefix(redirecting.URL, "http://"), strings.TrimPrefix(leader.URL, "http://")})
			var result struct {
				Number int
				Method string
			}
			is.NoErr(client.Do(context.Background(), http.MethodPost, PathVersions, CreateRequest{}, &result))
			is.Equal(result.Method, http.MethodPost)
		})
	}
}
