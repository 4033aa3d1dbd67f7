package protocol

import (
	"testing"
	"time"

	"bramblelift/pkg/rollout"

	"github.com/matryer/is"
)

func TestNewerRolloutReportReplacesOlder(t *testing.T) {
	is := is.New(t)
	report := func(node, service string, share int) RolloutReport {
		return RolloutReport{Node: node, Service: service, Share: share}
	}
	list := MergeRolloutReports(nil, []RolloutReport{report("a", "s", 1), report("b", "s", 1), report("a", "t", 1)})
	list = MergeRolloutReports(list, []RolloutReport{report("a", "s", 2), report("c", "s", 1)})
	is.Equal(list, []RolloutReport{report("a", "s", 2), report("b", "s", 1), report("a", "t", 1), report("c", "s", 1)})
	is.Equal(len(MergeRolloutReports(list, nil)), 4)
	is.True(!Announce{Rollouts: list}.Empty())
}

func TestPackedRolloutReportsRoundTrip(t *testing.T) {
	is := is.New(t)
	report := RolloutReport{Node: "n", Service: "s", Number: 3, Phase: rollout.Running, Share: 40, AtWork: 2,
		Gate: &rollout.Report{Service: "s", Number: 3, Version: "v2", Life: 1 << 63, Admitted: 9, Routes: []rollout.RouteCount{{Route: "r", Failed: 1}}}}
	report.Gate.Routes[0].Times.Note(time.Second)
	packed, err := PackRollouts([]RolloutReport{report})
	is.NoErr(err)
	unpacked, err := UnpackRollouts(packed)
	is.NoErr(err)
	is.Equal(unpacked, []RolloutReport{report})
	packed, err = PackRollouts(nil)
	is.NoErr(err)
	is.Equal(len(packed), 0)
	unpacked, err = UnpackRollouts(nil)
	is.NoErr(err)
	is.Equal(len(unpacked), 0)
	_, err = UnpackRollouts([]byte("nothing"))
	is.True(err != nil)
}
