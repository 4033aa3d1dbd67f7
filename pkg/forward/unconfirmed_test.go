package forward

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a permanent rejection of a path that may belong to a newer configuration.
func TestUnknownPathIsNotFoundOnlyIfConfirmedRecently(t *testing.T) {
	is := is.New(t)
	var confirmedAt, now atomic.Int64
	var confirmed atomic.Bool
	n := newGatedNodeWith(t, func(cfg *Config) {
		cfg.Now = func() time.Duration { return time.Duration(now.Load()) }
		cfg.ConfirmedAt = func() (time.Duration, bool) { return time.Duration(confirmedAt.Load()), confirmed.Load() }
		cfg.StaleLimit = time.Second
	}, nil)
	unknown := func() *http.Response { return n.call(t, "GET", "/unknown/x", "") }
	is.Equal(unknown().StatusCode, http.StatusServiceUnavailable) // never confirmed
	confirmed.Store(true)
	now.Store(int64(time.Second))
	is.Equal(unknown().StatusCode, http.StatusNotFound)
	now.Store(int64(time.Second + time.Millisecond))
	rejected := unknown()
	is.Equal(rejected.StatusCode, http.StatusServiceUnavailable)
	is.Equal(outcome(rejected), string(NotRun))
	is.Equal(rejected.Header.Get("Retry-After"), "0.300")
	confirmedAt.Store(int64(time.Second))
	is.Equal(unknown().StatusCode, http.StatusNotFound)
}
