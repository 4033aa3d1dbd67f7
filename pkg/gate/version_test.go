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

// versionedGate is a gate with a back end of a given version and a settable time of its last
// confirmation.
type versionedGate struct {
	*Gate
	mu          sync.Mutex
	confirmedAt time.Duration
}

func newVersionedGate(address, version string) *versionedGate {
	started := time.Now()
	v := &versionedGate{}
	now := func() time.Duration { return time.Since(started) + time.Hour }
	v.confirmedAt = now()
	v.Gate = New(Config{Headers: testHeaders, Now: now, ConfirmedAt: func() (time.Duration, bool) {
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.confirmedAt, true
	}})
	v.SetBackend(Backend{ID: "b1", Service: "s", Address: address, Capacity: 4, Version: version})
	return v
}

// setConfirmationAge sets the age of the last confirmation to d.
func (v *versionedGate) setConfirmationAge(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.confirmedAt = v.config.Now() - d
}

// runningRollout returns a running rollout that grants a process run calls up to a total.
func runningRollout(runID, upto uint64) []rollout.Rollout {
	return []rollout.Rollout{{Service: "s", Version: "v2", Number: 1, Phase: rollout.Running, Share: 30, Grants: []rollout.Grant{{Life: runID, Upto: upto}}}}
}

func rolloutInPhase(phase rollout.Phase) []rollout.Rollout {
	return []rollout.Rollout{{Service: "s", Version: "v2", Number: 1, Phase: phase}}
}

func respondingBackend(t *testing.T) string {
	t.Helper()
	address, _ := scriptedBackend(t, func(conn net.Conn, r *http.Request, _ int64) bool {
		writeResponse(conn, r.Header.Get("Call-Id"), "Content-Length: 0\r\n\r\n")
		return true
	})
	return address
}

// call sends a call and returns why it was rejected, empty if it got a response.
func (v *versionedGate) call(t *testing.T, header ...string) exchange.Reason {
	t.Helper()
	response := do(v.Gate, newCall(t, "GET", "a", header...))
	defer response.Body.Close()
	reason := reasonOf(response)
	if reason != "" {
		is.New(t).Equal(response.Header.Get(exchange.HeaderOutcome), string(exchange.NotRun)) // a rejected call has not run
	}
	return reason
}

func TestNewVersionAdmitsOnlyGrantedCalls(t *testing.T) {
	is := is.New(t)
	v := newVersionedGate(respondingBackend(t), "v2")
	is.Equal(v.call(t), exchange.Reason("")) // no rollout
	v.SetRollouts(runningRollout(v.rollout.runID, 0))
	is.Equal(v.call(t), exchange.ReasonVersion)
	v.SetRollouts(runningRollout(v.rollout.runID, 2))
	is.Equal(v.call(t), exchange.Reason(""))
	is.Equal(v.call(t, exchange.HeaderRetry, "1"), exchange.Reason("")) // retries count too
	is.Equal(v.call(t), exchange.ReasonVersion)
	v.SetRollouts(runningRollout(v.rollout.runID, 3))
	is.Equal(v.call(t), exchange.Reason(""))
	report, active := v.RolloutReport()
	is.True(active)
	is.Equal(report.Admitted, uint64(3))
	is.Equal(report.Repeats, uint64(1))
	is.Equal(report.Life, v.rollout.runID)

	// Another rollout starts with new counts, and previous grants are void.
	next := runningRollout(v.rollout.runID, 0)
	next[0].Number = 2
	v.SetRollouts(next)
	is.Equal(v.call(t), exchange.ReasonVersion)
	report, _ = v.RolloutReport()
	is.Equal(report.Admitted, uint64(0))
}

func TestGrantsApplyToOneProcessRun(t *testing.T) {
	is := is.New(t)
	address := respondingBackend(t)
	v := newVersionedGate(address, "v2")
	runID := v.rollout.runID
	v.SetRollouts(runningRollout(runID, 5))
	is.Equal(v.call(t), exchange.Reason(""))
	v.SetBackend(Backend{ID: "b2", Service: "s", Address: address, Capacity: 4, Version: "v2"})
	is.True(v.rollout.runID != runID)
	is.Equal(v.call(t), exchange.ReasonVersion)
}

func TestDisconnectedGateRejectsCallsToTheNewVersion(t *testing.T) {
	is := is.New(t)
	v := newVersionedGate(respondingBackend(t), "v2")
	v.SetRollouts(runningRollout(v.rollout.runID, 5))
	v.setConfirmationAge(rollout.LeaseTime - 200*time.Millisecond)
	is.Equal(v.call(t), exchange.Reason(""))
	v.setConfirmationAge(rollout.LeaseTime + time.Second)
	is.Equal(v.call(t), exchange.ReasonVersion)
	v.setConfirmationAge(0)
	is.Equal(v.call(t), exchange.Reason(""))
	// The old version still admits calls.
	old := newVersionedGate(respondingBackend(t), "v1")
	old.SetRollouts(runningRollout(1, 5))
	old.setConfirmationAge(time.Hour)
	is.Equal(old.call(t), exchange.Reason(""))
}

// A restarted gate that does not know the rollout must reject calls whose sender does.
func TestGateWithoutRolloutRejectsCallsMeantForOne(t *testing.T) {
	is := is.New(t)
	v := newVersionedGate(respondingBackend(t), "v2")
	is.Equal(v.call(t, exchange.HeaderRollout, "v2"), exchange.ReasonVersion)
	is.Equal(v.call(t), exchange.Reason(""))
	old := newVersionedGate(respondingBackend(t), "v1")
	is.Equal(old.call(t, exchange.HeaderRollout, "v2"), exchange.Reason(""))
}

// An old version's gate that loses its connection while the rollout closes it must report that it
// is open.
func TestDisconnectedOldGateReportsReopened(t *testing.T) {
	is := is.New(t)
	old := newVersionedGate(respondingBackend(t), "v1")
	old.SetRollouts(rolloutInPhase(rollout.Closing))
	report, active := old.RolloutReport()
	is.True(active && !report.Reopened)
	old.setConfirmationAge(rollout.LeaseTime + time.Second)
	report, _ = old.RolloutReport()
	is.True(report.Reopened)
	old.setConfirmationAge(0)
	report, _ = old.RolloutReport()
	is.True(!report.Reopened)
	// Gates of the new version, and old ones before the closing phase, are never reopened.
	old.SetRollouts(rolloutInPhase(rollout.Running))
	old.setConfirmationAge(time.Hour)
	report, _ = old.RolloutReport()
	is.True(!report.Reopened)
	fresh := newVersionedGate(respondingBackend(t), "v2")
	fresh.SetRollouts(rolloutInPhase(rollout.Closing))
	fresh.setConfirmationAge(time.Hour)
	report, _ = fresh.RolloutReport()
	is.True(!report.Reopened)
}

func TestRolloutPhasesCloseGates(t *testing.T) {
	is := is.New(t)
	for _, phase := range []rollout.Phase{rollout.Reverting, rollout.RolledBack} {
		v := newVersionedGate(respondingBackend(t), "v2")
		v.SetRollouts(rolloutInPhase(phase))
		is.Equal(v.call(t), exchange.ReasonVersion)
		old := newVersionedGate(respondingBackend(t), "v1")
		old.SetRollouts(rolloutInPhase(phase))
		is.Equal(old.call(t), exchange.Reason(""))
	}
	v := newVersionedGate(respondingBackend(t), "v2")
	old := newVersionedGate(respondingBackend(t), "v1")
	for _, phase := range []rollout.Phase{rollout.Closing, rollout.Completed} {
		v.SetRollouts(rolloutInPhase(phase))
		is.Equal(v.call(t), exchange.Reason(""))
		old.SetRollouts(rolloutInPhase(phase))
		is.Equal(old.call(t), exchange.ReasonVersion)
	}
	_, active := old.RolloutReport()
	is.True(!active)
	// A later version is not affected by the completed rollout.
	later := newVersionedGate(respondingBackend(t), "v3")
	later.SetRollouts(rolloutInPhase(rollout.Completed))
	is.Equal(later.call(t), exchange.Reason(""))
}

// Queued calls must be rejected at once when the gate closes, so that they can be retried
// elsewhere; running calls must finish.
func TestQueuedCallsAreRejectedWhenGateCloses(t *testing.T) {
	is := is.New(t)
	address, release, calls := blockingBackend(t)
	old := newVersionedGate(address, "v1")
	old.SetRollouts(runningRollout(1, 5))
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() { is.Equal(old.call(t), exchange.Reason("")) })
	}
	for calls.Load() < 4 {
		time.Sleep(time.Millisecond)
	}
	waiting := make(chan exchange.Reason, 1)
	group.Go(func() { waiting <- old.call(t, exchange.HeaderWait, "1500") })
	for old.Report().Queued < 1 {
		time.Sleep(time.Millisecond)
	}
	old.SetRollouts(rolloutInPhase(rollout.Closing))
	is.Equal(<-waiting, exchange.ReasonVersion)
	report, active := old.RolloutReport()
	is.True(active)
	is.Equal(report.AtWork, 4)
	close(release)
	group.Wait()
	report, _ = old.RolloutReport()
	is.Equal(report.AtWork, 0)
}

// A gate must not admit queued calls beyond its grant.
func TestQueuedCallsNeedAGrant(t *testing.T) {
	is := is.New(t)
	address, release, calls := blockingBackend(t)
	v := newVersionedGate(address, "v2")
	v.SetRollouts(runningRollout(v.rollout.runID, 4))
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() { v.call(t) })
	}
	for calls.Load() < 4 {
		time.Sleep(time.Millisecond)
	}
	v.SetRollouts(runningRollout(v.rollout.runID, 5))
	reasons := make(chan exchange.Reason, 2)
	for range 2 {
		group.Go(func() { reasons <- v.call(t, exchange.HeaderWait, "1500") })
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

func TestRolloutReportCountsCallOutcomes(t *testing.T) {
	is := is.New(t)
	address, _ := scriptedBackend(t, func(conn net.Conn, r *http.Request, number int64) bool {
		if number == 2 {
			_, _ = conn.Write([]byte("HTTP/1.1 500 No\r\nCall-Id: " + r.Header.Get("Call-Id") + "\r\nContent-Length: 0\r\n\r\n"))
			return true
		}
		writeResponse(conn, r.Header.Get("Call-Id"), "Content-Length: 0\r\n\r\n")
		return true
	})
	v := newVersionedGate(address, "v1")
	v.call(t, exchange.HeaderRoute, "r1") // not counted before the rollout
	v.SetRollouts(runningRollout(1, 5))
	v.call(t, exchange.HeaderRoute, "r1")
	v.call(t, exchange.HeaderRoute, "r2")
	report, _ := v.RolloutReport()
	is.Equal(report.Admitted, uint64(2))
	is.Equal(len(report.Routes), 2)
	for _, route := range report.Routes {
		failed := map[string]uint64{"r1": 1}[route.Route]
		is.Equal(route.Failed, failed)
		is.Equal(route.Answered, 1-failed)
	}
}

// Service times of a cold back end must not count in the comparison of versions.
func TestServiceTimesOfColdBackendsAreNotReported(t *testing.T) {
	is := is.New(t)
	v := newVersionedGate(respondingBackend(t), "v2")
	v.SetColdBounds(ColdBounds{Start: time.Hour, Rate: 1000})
	v.SetRollouts(runningRollout(v.rollout.runID, 5))
	is.Equal(v.call(t, exchange.HeaderRoute, "r"), exchange.Reason(""))
	report, _ := v.RolloutReport()
	is.True(report.Cold)
	is.Equal(report.Routes, []rollout.RouteCount{{Route: "r", Answered: 1}})
	v.SetColdRemaining("b1", 0)
	is.Equal(v.call(t, exchange.HeaderRoute, "r"), exchange.Reason(""))
	report, _ = v.RolloutReport()
	is.True(!report.Cold)
	is.Equal(report.Routes[0].Answered, uint64(2))
	is.True(report.Routes[0].Times != rollout.Times{})
}
