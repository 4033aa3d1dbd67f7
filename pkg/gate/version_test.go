package gate

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"bramblelift/pkg/exchange"
	"bramblelift/pkg/rollout"

	"github.com/matryer/is"
)

// versionedGate is a gate with a back end of a version, and the clock of its last confirmation.
type versionedGate struct {
	*Gate
	mu        sync.Mutex
	confirmed time.Duration
}

func newVersionedGate(address, version string) *versionedGate {
	started := time.Now()
	v := &versionedGate{}
	now := func() time.Duration { return time.Since(started) + time.Hour }
	v.confirmed = now()
	v.Gate = New(Config{Headers: testHeaders, Now: now, ConfirmedAt: func() (time.Duration, bool) {
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.confirmed, true
	}})
	v.SetBackend(Backend{ID: "b1", Service: "s", Address: address, Capacity: 4, Version: version})
	return v
}

// cutOff makes the last confirmation as old as d.
func (v *versionedGate) cutOff(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.confirmed = v.config.Now() - d
}

// granting is a running rollout that grants a life some calls.
func granting(life, upto uint64) []rollout.Rollout {
	return []rollout.Rollout{{Service: "s", Version: "v2", Number: 1, Phase: rollout.Running, Share: 30, Grants: []rollout.Grant{{Life: life, Upto: upto}}}}
}

func inPhase(phase rollout.Phase) []rollout.Rollout {
	return []rollout.Rollout{{Service: "s", Version: "v2", Number: 1, Phase: phase}}
}

func answeringBackend(t *testing.T) string {
	t.Helper()
	address, _ := rawBackend(t, func(conn net.Conn, r *http.Request, _ int64) bool {
		write(conn, r.Header.Get("Call-Id"), "Content-Length: 0\r\n\r\n")
		return true
	})
	return address
}

// ask sends a call and returns why it was refused, empty if it was answered.
func (v *versionedGate) ask(t *testing.T, header ...string) exchange.Reason {
	t.Helper()
	response := do(v.Gate, newCall(t, "GET", "a", header...))
	defer response.Body.Close()
	reason := reasonOf(response)
	if reason != "" {
		is.New(t).Equal(response.Header.Get(exchange.HeaderOutcome), string(exchange.NotRun)) // it is always true
	}
	return reason
}

func TestNewVersionGetsWhatItIsGranted(t *testing.T) {
	is := is.New(t)
	v := newVersionedGate(answeringBackend(t), "v2")
	is.Equal(v.ask(t), exchange.Reason("")) // no rollout: an ordinary back end
	v.SetRollouts(granting(v.versions.life, 0))
	is.Equal(v.ask(t), exchange.ReasonVersion)
	v.SetRollouts(granting(v.versions.life, 2))
	is.Equal(v.ask(t), exchange.Reason(""))
	is.Equal(v.ask(t, exchange.HeaderRetry, "1"), exchange.Reason("")) // repeats count, too
	is.Equal(v.ask(t), exchange.ReasonVersion)
	v.SetRollouts(granting(v.versions.life, 3))
	is.Equal(v.ask(t), exchange.Reason(""))
	report, underWay := v.RolloutReport()
	is.True(underWay)
	is.Equal(report.Admitted, uint64(3))
	is.Equal(report.Repeats, uint64(1))
	is.Equal(report.Life, v.versions.life)

	// Another order counts anew, and grants of the one before are void.
	next := granting(v.versions.life, 0)
	next[0].Number = 2
	v.SetRollouts(next)
	is.Equal(v.ask(t), exchange.ReasonVersion)
	report, _ = v.RolloutReport()
	is.Equal(report.Admitted, uint64(0))
}

func TestGrantsBelongToOneLife(t *testing.T) {
	is := is.New(t)
	address := answeringBackend(t)
	v := newVersionedGate(address, "v2")
	life := v.versions.life
	v.SetRollouts(granting(life, 5))
	is.Equal(v.ask(t), exchange.Reason(""))
	v.SetBackend(Backend{ID: "b2", Service: "s", Address: address, Capacity: 4, Version: "v2"})
	is.True(v.versions.life != life)
	is.Equal(v.ask(t), exchange.ReasonVersion)
}

func TestGateWithoutControlLetsNothingIntoTheNewVersion(t *testing.T) {
	is := is.New(t)
	v := newVersionedGate(answeringBackend(t), "v2")
	v.SetRollouts(granting(v.versions.life, 5))
	v.cutOff(rollout.LeaseTime - 200*time.Millisecond)
	is.Equal(v.ask(t), exchange.Reason(""))
	v.cutOff(rollout.LeaseTime + time.Second)
	is.Equal(v.ask(t), exchange.ReasonVersion)
	v.cutOff(0)
	is.Equal(v.ask(t), exchange.Reason(""))
	// An old version's gate goes on.
	old := newVersionedGate(answeringBackend(t), "v1")
	old.SetRollouts(granting(1, 5))
	old.cutOff(time.Hour)
	is.Equal(old.ask(t), exchange.Reason(""))
}

// A gate that was just started does not know of the rollout, while its callers do.
func TestGateThatKnowsNoRolloutRefusesCallsOfOne(t *testing.T) {
	is := is.New(t)
	v := newVersionedGate(answeringBackend(t), "v2")
	is.Equal(v.ask(t, exchange.HeaderRollout, "v2"), exchange.ReasonVersion)
	is.Equal(v.ask(t), exchange.Reason(""))
	old := newVersionedGate(answeringBackend(t), "v1")
	is.Equal(old.ask(t, exchange.HeaderRollout, "v2"), exchange.Reason(""))
}

// An old gate that has lost control while it should be closed is open, whatever it was told before.
func TestOldGateWithoutControlTellsThatItIsOpen(t *testing.T) {
	is := is.New(t)
	old := newVersionedGate(answeringBackend(t), "v1")
	old.SetRollouts(inPhase(rollout.Closing))
	report, underWay := old.RolloutReport()
	is.True(underWay && !report.Reopened)
	old.cutOff(rollout.LeaseTime + time.Second)
	report, _ = old.RolloutReport()
	is.True(report.Reopened)
	old.cutOff(0)
	report, _ = old.RolloutReport()
	is.True(!report.Reopened)
	// Gates of the new version, and old ones before the closing, are never reopened.
	old.SetRollouts(inPhase(rollout.Running))
	old.cutOff(time.Hour)
	report, _ = old.RolloutReport()
	is.True(!report.Reopened)
	fresh := newVersionedGate(answeringBackend(t), "v2")
	fresh.SetRollouts(inPhase(rollout.Closing))
	fresh.cutOff(time.Hour)
	report, _ = fresh.RolloutReport()
	is.True(!report.Reopened)
}

func TestEndsOfRolloutsCloseGates(t *testing.T) {
	is := is.New(t)
	for _, phase := range []rollout.Phase{rollout.Reverting, rollout.RolledBack} {
		v := newVersionedGate(answeringBackend(t), "v2")
		v.SetRollouts(inPhase(phase))
		is.Equal(v.ask(t), exchange.ReasonVersion)
		old := newVersionedGate(answeringBackend(t), "v1")
		old.SetRollouts(inPhase(phase))
		is.Equal(old.ask(t), exchange.Reason(""))
	}
	v := newVersionedGate(answeringBackend(t), "v2")
	old := newVersionedGate(answeringBackend(t), "v1")
	for _, phase := range []rollout.Phase{rollout.Closing, rollout.Completed} {
		v.SetRollouts(inPhase(phase))
		is.Equal(v.ask(t), exchange.Reason(""))
		old.SetRollouts(inPhase(phase))
		is.Equal(old.ask(t), exchange.ReasonVersion)
	}
	_, underWay := old.RolloutReport()
	is.True(!underWay)
	// A later release is no matter of the rollout that has completed.
	later := newVersionedGate(answeringBackend(t), "v3")
	later.SetRollouts(inPhase(rollout.Completed))
	is.Equal(later.ask(t), exchange.Reason(""))
}

// What waits goes elsewhere at once, with the time that it has left; what is at work is finished.
func TestCallsThatWaitLeaveAClosedGate(t *testing.T) {
	is := is.New(t)
	address, release, calls := holdingBackend(t)
	old := newVersionedGate(address, "v1")
	old.SetRollouts(granting(1, 5))
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() { is.Equal(old.ask(t), exchange.Reason("")) })
	}
	for calls.Load() < 4 {
		time.Sleep(time.Millisecond)
	}
	waiting := make(chan exchange.Reason, 1)
	group.Go(func() { waiting <- old.ask(t, exchange.HeaderWait, "1500") })
	for old.Report().Queued < 1 {
		time.Sleep(time.Millisecond)
	}
	old.SetRollouts(inPhase(rollout.Closing))
	is.Equal(<-waiting, exchange.ReasonVersion)
	report, underWay := old.RolloutReport()
	is.True(underWay)
	is.Equal(report.AtWork, 4)
	close(release)
	group.Wait()
	report, _ = old.RolloutReport()
	is.Equal(report.AtWork, 0)
}

// A gate that is full when its grant runs out must not let in those that wait.
func TestCallsThatWaitNeedAGrant(t *testing.T) {
	is := is.New(t)
	address, release, calls := holdingBackend(t)
	v := newVersionedGate(address, "v2")
	v.SetRollouts(granting(v.versions.life, 4))
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() { v.ask(t) })
	}
	for calls.Load() < 4 {
		time.Sleep(time.Millisecond)
	}
	v.SetRollouts(granting(v.versions.life, 5))
	reasons := make(chan exchange.Reason, 2)
	for range 2 {
		group.Go(func() { reasons <- v.ask(t, exchange.HeaderWait, "1500") })
	}
	for v.Report().Queued < 2 {
		time.Sleep(time.Millisecond)
	}
	close(release)
	group.Wait()
	is.Equal(calls.Load(), int64(5))
	first, second := <-reasons, <-reasons
	is.True(first != second)
}

func TestGatesTellWhatCallsCameTo(t *testing.T) {
	is := is.New(t)
	address, _ := rawBackend(t, func(conn net.Conn, r *http.Request, number int64) bool {
		if number == 2 {
			_, _ = conn.Write([]byte("HTTP/1.1 500 No\r\nCall-Id: " + r.Header.Get("Call-Id") + "\r\nContent-Length: 0\r\n\r\n"))
			return true
		}
		write(conn, r.Header.Get("Call-Id"), "Content-Length: 0\r\n\r\n")
		return true
	})
	old := newVersionedGate(address, "v1")
	old.ask(t, exchange.HeaderRoute, "r1") // before the order nothing is counted
	old.SetRollouts(granting(1, 5))
	old.ask(t, exchange.HeaderRoute, "r1")
	old.ask(t, exchange.HeaderRoute, "r2")
	report, _ := old.RolloutReport()
	is.Equal(report.Admitted, uint64(2))
	is.Equal(len(report.Routes), 2)
	for _, route := range report.Routes {
		failed := map[string]uint64{"r1": 1}[route.Route]
		is.Equal(route.Failed, failed)
		is.Equal(route.Answered, 1-failed)
	}
}

// How long a cold back end takes says nothing of its version.
func TestTimesOfColdBackEndsAreLeftOut(t *testing.T) {
	is := is.New(t)
	v := newVersionedGate(answeringBackend(t), "v2")
	v.SetColdBounds(ColdBounds{Start: time.Hour, Rate: 1000})
	v.SetRollouts(granting(v.versions.life, 5))
	is.Equal(v.ask(t, exchange.HeaderRoute, "r"), exchange.Reason(""))
	report, _ := v.RolloutReport()
	is.True(report.Cold)
	is.Equal(report.Routes, []rollout.RouteCount{{Route: "r", Answered: 1}})
	v.HeardCold("b1", 0)
	is.Equal(v.ask(t, exchange.HeaderRoute, "r"), exchange.Reason(""))
	report, _ = v.RolloutReport()
	is.True(!report.Cold)
	is.Equal(report.Routes[0].Answered, uint64(2))
	is.True(report.Routes[0].Times != rollout.Times{})
}
