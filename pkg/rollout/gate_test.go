package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestGatesAdmitOnlyGrantedCalls(t *testing.T) {
	is := is.New(t)
	r := Rollout{Version: "v2", Phase: Running, Share: 40, Grants: []Grant{{Life: 7, Upto: 5}}}
	target := Gate{Version: "v2", Life: 7, Admitted: 4}
	is.True(target.Admits(r))
	target.Admitted = 5
	is.True(!target.Admits(r)) // the grant is used up
	target.Admitted = 4
	target.SinceConfirmed = LeaseTime + time.Millisecond
	is.True(!target.Admits(r)) // the lease has expired
	target.SinceConfirmed = 0
	target.Cold = true
	is.True(!target.Admits(r)) // times of a cold canary are not comparable
	r.Share = 250
	is.True(target.Admits(r)) // after the canary, cold back ends take their share
	r.Share = 40
	is.True(!Gate{Version: "v2", Life: 8}.Admits(r))
	is.True(Gate{Version: "v1", Life: 9}.Admits(r))
	is.True(Gate{Version: "v1", Life: 9, SinceConfirmed: time.Hour}.Admits(r)) // the old version needs no lease
}

func TestGatesFollowFinalPhases(t *testing.T) {
	for _, c := range []struct {
		phase                            Phase
		newAdmits, oldAdmits             bool
		newDisconnected, oldDisconnected bool // while disconnected from the control plane
	}{
		{Closing, true, false, false, true},
		{Completed, true, false, true, false},
		{Reverting, false, true, false, true},
		{RolledBack, false, true, false, true},
	} {
		is := is.New(t)
		r := Rollout{Version: "v2", Phase: c.phase, Grants: []Grant{{Life: 7, Upto: 5}}}
		is.Equal(Gate{Version: "v2", Life: 7}.Admits(r), c.newAdmits)
		is.Equal(Gate{Version: "v1"}.Admits(r), c.oldAdmits)
		is.Equal(Gate{Version: "v2", Life: 7, SinceConfirmed: time.Minute}.Admits(r), c.newDisconnected)
		is.Equal(Gate{Version: "v1", SinceConfirmed: time.Minute}.Admits(r), c.oldDisconnected)
	}
}

func TestNodesChooseAVersion(t *testing.T) {
	is := is.New(t)
	is.Equal(Choose(Rollout{}, 0, false, false), AnyVersion)
	r := Rollout{Version: "v2", Phase: Running, Share: 40}
	is.Equal(Choose(r, 39, false, false), NewVersion)
	is.Equal(Choose(r, 40, false, false), OldVersions)
	is.Equal(Choose(r, 0, true, false), OldVersions) // a retry
	is.Equal(Choose(r, 0, false, true), OldVersions) // the node avoids the new version
	r.Phase = Closing
	is.Equal(Choose(r, 999, true, true), NewVersion) // the old versions take no calls
	r.Phase = Reverting
	is.Equal(Choose(r, 0, false, false), OldVersions)

	is.True(NewVersion.Allows(r, "v2") && !NewVersion.Allows(r, "v1"))
	is.True(OldVersions.Allows(r, "v1") && !OldVersions.Allows(r, "v2"))
	is.True(AnyVersion.Allows(r, "v1") && AnyVersion.Allows(r, "v2"))
}

func TestNodesStopAfterRepeatedFailures(t *testing.T) {
	is := is.New(t)
	r := Rollout{Number: 1, Phase: Running, Share: 40}
	var c FailureGuard
	for range failureGuardThreshold - 1 {
		c.Record(r, true)
	}
	is.True(!c.AvoidsNewVersion(r))
	c.Record(r, false)
	c.Record(r, true)
	is.True(!c.AvoidsNewVersion(r))
	c.Record(r, true)
	is.True(c.AvoidsNewVersion(r))
	c.Record(r, false)
	is.True(c.AvoidsNewVersion(r)) // until the share changes
	r.Share = 250
	is.True(!c.AvoidsNewVersion(r))
}

func TestTallyOmitsColdTimes(t *testing.T) {
	is := is.New(t)
	var tally Tally
	for range 4 {
		tally.Admit(false)
	}
	tally.Admit(true)
	tally.RecordOutcome("r", Answered, 100*time.Millisecond, false)
	tally.RecordOutcome("r", Answered, time.Second, true)
	tally.RecordOutcome("r", Failed, time.Second, false)
	tally.RecordOutcome("r", Cancelled, time.Second, false)
	var report Report
	tally.Fill(&report)
	is.Equal(report.Admitted, uint64(5))
	is.Equal(report.Repeats, uint64(1))
	is.Equal(len(report.Routes), 1)
	is.Equal(report.Routes[0].Answered, uint64(2))
	is.Equal(report.Routes[0].Failed, uint64(1))
	is.Equal(report.Routes[0].Times.total(), uint64(1))
}

func TestTwoBucketsSpanADoubling(t *testing.T) {
	is := is.New(t)
	is.Equal(bucketOf(0), 0)
	is.Equal(bucketOf(firstBucket), 0)
	is.Equal(bucketOf(2*firstBucket), bucketsPerDouble)
	is.Equal(bucketOf(4*firstBucket), 2*bucketsPerDouble)
	is.Equal(bucketOf(time.Hour), timeBuckets-1)
}
