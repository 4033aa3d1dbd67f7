package rollout

import "time"

// canaryShare is the new version's share, in thousandths, for most of the duration: enough calls for a
// verdict and well below the default of Policy.ExposureShare.
const canaryShare = 40

// stages are the shares from the canary to all calls. The steps after the canary come as late as the
// duration allows, so that a version which fails at a higher share has had few calls.
var stages = []int{canaryShare, 250, 500, FullShare}

const (
	// minStage is the length of the shortest stage: nodes must receive it and calls must end in it.
	minStage = 500 * time.Millisecond
	// minPlannedStage and maxStage bound the planned length of a stage, which is the duration divided by
	// stageDivisor. A twentieth keeps the sum of all stages within a tenth of the calls.
	minPlannedStage = 600 * time.Millisecond
	maxStage        = 3 * time.Second
	stageDivisor    = 20
	// closeTime is the time reserved for old gates to close and drain, some of them disconnected.
	closeTime = 2 * time.Second
	// minReserve and maxReserve bound the time reserved for a change of leader, which is the duration
	// divided by reserveDivisor.
	minReserve     = time.Second
	maxReserve     = 5 * time.Second
	reserveDivisor = 4
)

// plan holds the lengths of a rollout's stages and reserves.
type plan struct {
	duration time.Duration
	stage    time.Duration
	reserve  time.Duration
}

func planFor(duration time.Duration) plan {
	return plan{
		duration: duration,
		stage:    clamp(duration/stageDivisor, minPlannedStage, maxStage),
		reserve:  clamp(duration/reserveDivisor, minReserve, maxReserve),
	}
}

// canaryEnd returns the planned end of the canary stage, counted from the order.
func (p plan) canaryEnd() time.Duration {
	return p.duration - p.reserve - closeTime - time.Duration(len(stages)-1)*p.stage
}

// closeBy returns when the last stage must end, counted from the order.
func (p plan) closeBy() time.Duration {
	return p.duration - closeTime
}

// stageTime returns the length of a stage that began at begun, counted from the order; it is shorter than
// planned if the rollout is late.
func (p plan) stageTime(begun time.Duration, share int) time.Duration {
	remaining := len(stages) - stageOf(share)
	even := (p.closeBy() - p.reserve/2 - begun) / time.Duration(remaining)
	return clamp(even, minStage, p.stage)
}

// stageOf returns the index of the first stage with at least the given share.
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
