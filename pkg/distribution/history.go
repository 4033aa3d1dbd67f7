package distribution

import (
	"slices"

	"bramblelift/pkg/bundle"
)

const (
	// maxHistorySteps and maxHistoryItems bound the steps of a history and the bundle items in them.
	maxHistorySteps = 256
	maxHistoryItems = 8192
)

// versionStep is the change from one active bundle to the next.
type versionStep struct {
	from, to uint64
	// groups are the node groups that have a scope of their own before the change.
	groups map[string]bool
	// scopes hold the change of each scope whose holders have been planned for, by scope name.
	scopes map[string]scopeStep
}

// scopeStep is the change of one scope.
type scopeStep struct {
	delta bundle.Delta
	// services are the services of the scope before the change.
	services map[string]bool
}

// history holds the latest changes of the active bundle, oldest first. It outlasts the replaced bundles, which are much
// larger, so that a holder that missed many versions gets what has changed and not the whole content.
type history struct {
	steps []versionStep
	items int
}

// add appends a step and drops the oldest ones beyond the bounds.
func (h *history) add(step versionStep) {
	h.steps = append(h.steps, step)
	h.items += step.items()
	for len(h.steps) > 0 && (len(h.steps) > maxHistorySteps || h.items > maxHistoryItems) {
		h.items -= h.steps[0].items()
		h.steps = h.steps[1:]
	}
}

func (s versionStep) items() int {
	count := 0
	for _, scope := range s.scopes {
		count += scope.delta.Items() + len(scope.services)
	}
	return count
}

// since returns the steps of a group's scope from a version on, nil if they are not all known or the group had another
// scope meanwhile.
func (h *history) since(version uint64, group, scope string) []scopeStep {
	var steps []scopeStep
	for i := len(h.steps) - 1; i >= 0; i-- {
		step, found := h.steps[i].scopes[scope]
		if !found || (scope != group && h.steps[i].groups[group]) {
			return nil
		}
		steps = append(steps, step)
		if h.steps[i].from == version {
			slices.Reverse(steps)
			return steps
		}
		if i > 0 && h.steps[i-1].to != h.steps[i].from {
			return nil
		}
	}
	return nil
}

// deltaOf returns all changes of consecutive steps.
func deltaOf(steps []scopeStep) bundle.Delta {
	delta := steps[0].delta
	for _, step := range steps[1:] {
		delta = delta.Then(step.delta)
	}
	return delta
}
