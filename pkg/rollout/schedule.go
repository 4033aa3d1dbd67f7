package rollout

import "time"

// canaryShare is what a new version gets for most of the duration: enough calls for a verdict, a third
// of the usual exposure.
const canaryShare = 40

// stages are the shares on the way from the canary to all calls. They come as late and as fast as the
// duration allows: a version that turns bad at one of them has had little before.
var stages = []int{canaryShare, 250, 500, Thousandths}

const (
	// minStage is the least time at a stage: nodes must hear of it, and answers come back.
	minStage = 500 * time.Millisecond
	// usualStage and maxStage bound the time at a stage when there is time enough; a twentieth of the
	// duration keeps the sum of all stages within a tenth of the calls.
	usualStage   = 600 * time.Millisecond
	maxStage     = 3 * time.Second
	stagesInTime = 20
	// closeTime is how long the old gates take to close and to end their calls, with some that control
	// does not hear.
	closeTime = 2 * time.Second
	// minReserve and maxReserve bound the part of the duration that is kept for a change of leader, a
	// quarter of the duration between them.
	minReserve    = time.Second
	maxReserve    = 5 * time.Second
	reserveInTime = 4
)

// plan is when a rollout's stages come, counted from the order.
type plan struct {
	duration time.Duration
	stage    time.Duration
	reserve  time.Duration
}

func planFor(duration time.Duration) plan {
	return plan{
		duration: duration,
		stage:    clamp(duration/stagesInTime, usualStage, maxStage),
		reserve:  clamp(duration/reserveInTime, minReserve, maxReserve),
	}
}

// rampAt is when the canary ends.
func (p plan) rampAt() time.Duration {
	return p.duration - p.reserve - closeTime - time.Duration(len(stages)-1)*p.stage
}

// lastChance is when the last stage must be over.
func (p plan) lastChance() time.Duration {
	return p.duration - closeTime
}

// stageTime is how long a stage takes that begins after some time, shorter than planned if it begins
// late.
func (p plan) stageTime(begun time.Duration, share int) time.Duration {
	left := len(stages) - stageOf(share)
	fair := (p.lastChance() - p.reserve/2 - begun) / time.Duration(left)
	return clamp(fair, minStage, p.stage)
}

// stageOf is the index of the stage that has a share.
func stageOf(share int) int {
	for i, s := range stages {
		if share <= s {
			return i
		}
	}
	return len(stages) - 1
}

func clamp(d, low, high time.Duration) time.Duration {
	return max(low, min(d, high))
}
