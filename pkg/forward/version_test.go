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

// versionGate is a gate of a back end of a version.
type versionGate struct {
	*httptest.Server
	got, repeats atomic.Int64
	// refuses is the reason of its refusals, status what its back end answers with otherwise.
	refuses exchange.Reason
	status  int
	header  http.Header
}

func newVersionGate(t *testing.T) *versionGate {
	t.Helper()
	g := &versionGate{status: http.StatusOK}
	g.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.got.Add(1)
		if r.Header.Get(exchange.HeaderRetry) != "" {
			g.repeats.Add(1)
		}
		g.header = r.Header.Clone()
		w.Header().Set("Call-Id", r.Header.Get("Call-Id"))
		w.Header().Set("Content-Length", "0")
		if g.refuses != "" {
			w.Header().Set(exchange.HeaderOutcome, string(exchange.NotRun))
			w.Header().Set(exchange.HeaderReason, string(g.refuses))
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

func newVersionNode(t *testing.T) *versionNode {
	t.Helper()
	n := &versionNode{old: newVersionGate(t), new: newVersionGate(t)}
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

// hold puts a rollout in force, nil for none.
func (n *versionNode) hold(r *rollout.Rollout) {
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

// ask sends calls and returns how many each gate got, and how many were answered.
func (n *versionNode) ask(t *testing.T, calls int) (old, new int64, answered int) {
	t.Helper()
	oldBefore, newBefore := n.old.got.Load(), n.new.got.Load()
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
			answered++
		}
	}
	return n.old.got.Load() - oldBefore, n.new.got.Load() - newBefore, answered
}

func at(phase rollout.Phase, share int) *rollout.Rollout {
	return &rollout.Rollout{Service: "s", Version: "v2", Number: 1, Phase: phase, Share: share}
}

func TestNodesGiveTheNewVersionItsShare(t *testing.T) {
	is := is.New(t)
	n := newVersionNode(t)
	n.hold(nil)
	_, _, answered := n.ask(t, 20)
	is.Equal(answered, 20)
	is.Equal(n.old.header.Get(exchange.HeaderRoute)+n.new.header.Get(exchange.HeaderRoute), "") // no bytes without a rollout
	n.hold(at(rollout.Running, 300))
	old, new, answered := n.ask(t, 200)
	is.Equal(answered, 200)
	is.True(new > 20 && new < 110)
	is.Equal(old+new, int64(200))
	is.Equal(n.new.header.Get(exchange.HeaderRollout), "v2")
	is.Equal(n.old.header.Get(exchange.HeaderRollout), "")
	is.Equal(n.old.header.Get(exchange.HeaderRoute), "safe")
	n.hold(at(rollout.Closing, rollout.Thousandths))
	old, _, _ = n.ask(t, 20)
	is.Equal(old, int64(0))
	n.hold(at(rollout.Completed, rollout.Thousandths)) // the old back ends are still listed
	old, _, _ = n.ask(t, 20)
	is.Equal(old, int64(0))
	for _, phase := range []rollout.Phase{rollout.Reverting, rollout.RolledBack} {
		n.hold(at(phase, 0))
		_, new, answered = n.ask(t, 20)
		is.Equal(new, int64(0))
		is.Equal(answered, 20)
	}
}

// What the new version's gates do not let in goes to the old one, and the other way round.
func TestRefusedCallsGoToTheOtherSide(t *testing.T) {
	is := is.New(t)
	n := newVersionNode(t)
	n.hold(at(rollout.Running, rollout.Thousandths))
	n.new.refuses = exchange.ReasonVersion
	_, _, answered := n.ask(t, 20)
	is.Equal(answered, 20)
	n.new.refuses, n.old.refuses = "", exchange.ReasonVersion
	n.hold(at(rollout.Running, 0))
	_, _, answered = n.ask(t, 20)
	is.Equal(answered, 20)
}

// A node that does not hear from control gives the new version nothing.
func TestNodeWithoutControlSparesTheNewVersion(t *testing.T) {
	is := is.New(t)
	n := newVersionNode(t)
	n.hold(at(rollout.Running, 500))
	n.stale.Store(int64(2 * time.Second))
	_, new, answered := n.ask(t, 40)
	is.Equal(new, int64(0))
	is.Equal(answered, 40)
}

// A node acts on first signs, before control does, and a repeat does not go to the new version again.
func TestNodeSparesAVersionThatFails(t *testing.T) {
	is := is.New(t)
	n := newVersionNode(t)
	n.new.status = http.StatusInternalServerError
	n.hold(at(rollout.Running, 500))
	n.ask(t, 60)
	before := n.new.got.Load()
	is.True(before > 0 && before < 10)
	is.True(n.old.repeats.Load() > 0)
	is.Equal(n.new.repeats.Load(), int64(0))
	_, new, _ := n.ask(t, 40)
	is.Equal(new, int64(0))
	n.new.status = http.StatusOK
	n.hold(at(rollout.Running, 501)) // control has seen more
	_, new, _ = n.ask(t, 40)
	is.True(new > 0)
}

// After some time the rollout that has completed is no matter of calls: a later release is ordinary.
func TestCompletedRolloutsAreForgotten(t *testing.T) {
	is := is.New(t)
	var v versions
	v.set(0, at(rollout.Completed, rollout.Thousandths))
	is.Equal(v.inForce(0), nil) // it was over before the node heard of it
	v.set(0, at(rollout.Closing, rollout.Thousandths))
	v.set(time.Second, at(rollout.Completed, rollout.Thousandths))
	is.True(v.inForce(time.Second) != nil)
	v.set(time.Second+completedMemory, at(rollout.Completed, rollout.Thousandths))
	is.Equal(v.inForce(2*time.Second+completedMemory), nil)
}
