package protocol

import (
	"testing"

	"github.com/matryer/is"
)

func TestNewerReportsOfANodeReplaceEarlierOnes(t *testing.T) {
	is := is.New(t)
	report := func(node, service string, share int) RolloutReport {
		return RolloutReport{Node: node, Service: service, Share: share}
	}
	list := NewestRollouts(nil, []RolloutReport{report("a", "s", 1), report("b", "s", 1), report("a", "t", 1)})
	list = NewestRollouts(list, []RolloutReport{report("a", "s", 2), report("c", "s", 1)})
	is.Equal(list, []RolloutReport{report("a", "s", 2), report("b", "s", 1), report("a", "t", 1), report("c", "s", 1)})
	is.Equal(len(NewestRollouts(list, nil)), 4)
	is.True(!Announce{Rollouts: list}.Empty())
}
