package forward

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/exchange"
	"bramblelift/pkg/orders"
	"bramblelift/pkg/retry"
	"bramblelift/pkg/rollout"
	"bramblelift/pkg/routing"

	"github.com/matryer/is"
)

// versionGate is a gate whose back end runs one version.
type versionGate struct {
	*httptest.Server
	received, retries atomic.Int64
	// rejectReason is the reason of rejections, empty for none; status is the back end's response.
	rejectReason exchange.Reason
	status       int
	header       http.Header
}

func startVersionGate(t *testing.T) *versionGate {
	t.Helper()
	g := &versionGate{status: http.StatusOK}
	g.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.received.Add(1)
		if r.Header.Get(exchange.HeaderRetry) != "" {
			g.retries.Add(1)
		}
		g.header = r.Header.Clone()
		w.Header().Set("Call-Id", r.Header.Get("Call-Id"))
		w.Header().Set("Content-Length", "0")
		if g.rejectReason != "" {
			w.Header().Set(exchange.HeaderOutcome, string(exchange.NotRun))
			w.Header().Set(exchange.HeaderReason, string(g.rejectReason))
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(g.status)
	}))
	t.Cleanup(g.Close)
	return g
}

// versionNode is a node with one gate of each version.
type versionNode struct {
	*httptest.Server
	handler   *Handler
	old, new  *versionGate
	stale     atomic.Int64
	endpoints distribution.EndpointTable
	calls     int
}

func startVersionNode(t *testing.T) *versionNode {
	t.Helper()
	n := &versionNode{old: startVersionGate(t), new: startVersionGate(t)}
	started := time.Now()
	now := func() time.Duration { return time.Since(started) + time.Hour }
	n.handler = New(Config{
		Node: "n", Zone: "z", Now: now, Headers: gatedHeaders, StaleLimit: time.Second, Retry: retry.Config{Max: 100},
		ConfirmedAt: func() (time.Duration, bool) { return now() - time.Duration(n.stale.Load()), true },
	})
	n.endpoints = distribution.EndpointTable{"s": {
		"old": {Service: "s", ID: "old", Incarnation: 1, Gate: n.old.Listener.Addr().String(), Zone: "z", Capacity: 4, Version: "v1"},
		"new": {Service: "s", ID: "new", Incarnation: 1, Gate: n.new.Listener.Addr().String(), Zone: "z", Capacity: 4, Version: "v2"},
	}}
	n.Server = httptest.NewServer(n.handler)
	t.Cleanup(n.Close)
	return n
}

// setRollout gives the node a rollout, nil for none.
func (n *versionNode) setRollout(r *rollout.Rollout) {
	state := &distribution.State{
		Active: &bundle.Signed{Manifest: bundle.Manifest{Version: 4}, Content: bundle.Content{
			Services: []bundle.Service{{Name: "s"}},
			Routes:   []bundle.Route{{Name: "safe", PathPrefix: "/", Service: "s", Kind: bundle.KindSafe, MaxAttempts: 2}},
		}},
		Endpoints: n.endpoints,
	}
	if r != nil {
		state.Orders = &orders.Table{Modified: 1, Rollouts: []rollout.Rollout{*r}}
	}
	n.handler.SetTable(routing.New(state))
}

// callGates sends calls and returns how many each gate received and how many succeeded.
func (n *versionNode) callGates(t *testing.T, calls int) (old, new int64, succeeded int) {
	t.Helper()
	oldBefore, newBefore := n.old.received.Load(), n.new.received.Load()
	for range calls {
		n.calls++
		request, err := http.NewRequest(http.MethodGet, n.URL+"/x", nil)
		is.New(t).NoErr(err)
		request.Header.Set("Call-Id", strconv.Itoa(n.calls))
		request.Header.Set("Left-Ms", "1000")
		response, err := http.DefaultClient.Do(request)
		is.New(t).NoErr(err)
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			succeeded++
		}
	}
	return n.old.received.Load() - oldBefore, n.new.received.Load() - newBefore, succeeded
}

func rolloutAt(phase rollout.Phase, share int) *rollout.Rollout {
	return &rollout.Rollout{Service: "s", Version: "v2", Number: 1, Phase: phase, Share: share}
}

func TestNewVersionReceivesItsShare(t *testing.T) {
	is := is.New(t)
	n := startVersionNode(t)
	n.setRollout(nil)
	_, _, succeeded := n.callGates(t, 20)
	is.Equal(succeeded, 20)
	is.Equal(n.old.header.Get(exchange.HeaderRoute)+n.new.header.Get(exchange.HeaderRoute), "") // no headers without a rollout
	n.setRollout(rolloutAt(rollout.Running, 300))
	old, new, succeeded := n.callGates(t, 200)
	is.Equal(succeeded, 200)
	is.True(new > 20 && new < 110)
	is.Equal(old+new, int64(200))
	is.Equal(n.new.header.Get(exchange.HeaderRollout), "v2")
	is.Equal(n.old.header.Get(exchange.HeaderRollout), "")
	is.Equal(n.old.header.Get(exchange.HeaderRoute), "safe")
	n.setRollout(rolloutAt(rollout.Closing, rollout.FullShare))
	old, _, _ = n.callGates(t, 20)
	is.Equal(old, int64(0))
	n.setRollout(rolloutAt(rollout.Completed, rollout.FullShare)) // the old back ends are still listed
	old, _, _ = n.callGates(t, 20)
	is.Equal(old, int64(0))
	for _, phase := range []rollout.Phase{rollout.Reverting, rollout.RolledBack} {
		n.setRollout(rolloutAt(phase, 0))
		_, new, succeeded = n.callGates(t, 20)
		is.Equal(new, int64(0))
		is.Equal(succeeded, 20)
	}
}

// A call that the gates of one version reject goes to the other version.
func TestRejectedCallsGoToTheOtherVersion(t *testing.T) {
	is := is.New(t)
	n := startVersionNode(t)
	n.setRollout(rolloutAt(rollout.Running, rollout.FullShare))
	n.new.rejectReason = exchange.ReasonVersion
	_, _, succeeded := n.callGates(t, 20)
	is.Equal(succeeded, 20)
	n.new.rejectReason, n.old.rejectReason = "", exchange.ReasonVersion
	n.setRollout(rolloutAt(rollout.Running, 0))
	_, _, succeeded = n.callGates(t, 20)
	is.Equal(succeeded, 20)
}

// A node without recent confirmation from control sends no calls to the new version.
func TestStaleNodeAvoidsTheNewVersion(t *testing.T) {
	is := is.New(t)
	n := startVersionNode(t)
	n.setRollout(rolloutAt(rollout.Running, 500))
	n.stale.Store(int64(2 * time.Second))
	_, new, succeeded := n.callGates(t, 40)
	is.Equal(new, int64(0))
	is.Equal(succeeded, 40)
}

// A node avoids a failing version before control reverts it, and retries elsewhere.
func TestNodeAvoidsAFailingVersion(t *testing.T) {
	is := is.New(t)
	n := startVersionNode(t)
	n.new.status = http.StatusInternalServerError
	n.setRollout(rolloutAt(rollout.Running, 500))
	n.callGates(t, 60)
	before := n.new.received.Load()
	is.True(before > 0 && before < 10)
	is.True(n.old.retries.Load() > 0)
	is.Equal(n.new.retries.Load(), int64(0))
	_, new, _ := n.callGates(t, 40)
	is.Equal(new, int64(0))
	n.new.status = http.StatusOK
	n.setRollout(rolloutAt(rollout.Running, 501)) // control has reported progress
	_, new, _ = n.callGates(t, 40)
	is.True(new > 0)
}

// A completed rollout stops applying to calls after completedRetention.
func TestCompletedRolloutsExpire(t *testing.T) {
	is := is.New(t)
	var tracker rolloutTracker
	tracker.update(0, rolloutAt(rollout.Completed, rollout.FullShare))
	is.Equal(tracker.active(0), nil) // it was completed before the node received it
	tracker.update(0, rolloutAt(rollout.Closing, rollout.FullShare))
	tracker.update(time.Second, rolloutAt(rollout.Completed, rollout.FullShare))
	is.True(tracker.active(time.Second) != nil)
	tracker.update(time.Second+completedRetention, rolloutAt(rollout.Completed, rollout.FullShare))
	is.Equal(tracker.active(2*time.Second+completedRetention), nil)
}
