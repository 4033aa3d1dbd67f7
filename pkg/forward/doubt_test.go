package forward

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A path that the table does not take may be of a version that the node has not heard of: unless
// it was confirmed lately, it must not say that there is no such route.
func TestUnknownPathIsRefusedForGoodOnlyWhenConfirmedLately(t *testing.T) {
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
	refused := unknown()
	is.Equal(refused.StatusCode, http.StatusServiceUnavailable)
	is.Equal(outcome(refused), string(NotRun))
	is.Equal(refused.Header.Get("Retry-After"), "0.300")
	confirmedAt.Store(int64(time.Second))
	is.Equal(unknown().StatusCode, http.StatusNotFound)
}
