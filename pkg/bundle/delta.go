package bundle

import (
	"reflect"
)

// Delta turns one content into another.
type Delta struct {
	HandBack        bool      `json:"hand_back,omitempty"`
	Limits          Limits    `json:"limits,omitzero"`
	Routes          []Route   `json:"routes,omitempty"`
	RemovedRoutes   []string  `json:"removed_routes,omitempty"`
	Services        []Service `json:"services,omitempty"`
	RemovedServices []string  `json:"removed_services,omitempty"`
	Secrets         []Secret  `json:"secrets,omitempty"`
	RemovedSecrets  []string  `json:"removed_secrets,omitempty"`
}

// Diff returns the delta from old to next; both must be normalized.
func Diff(old, next Content) Delta {
	d := Delta{HandBack: next.HandBack, Limits: next.Limits}
	d.Routes, d.RemovedRoutes = diffByName(old.Routes, next.Routes, routeName)
	d.Services, d.RemovedServices = diffByName(old.Services, next.Services, serviceName)
	d.Secrets, d.RemovedSecrets = diffByName(old.Secrets, next.Secrets, secretName)
	return d
}

// Empty reports whether the delta changes no resource.
func (d Delta) Empty() bool {
	return len(d.Routes)+len(d.RemovedRoutes)+len(d.Services)+len(d.RemovedServices)+
		len(d.Secrets)+len(d.RemovedSecrets) == 0
}

// Apply returns the content that the delta makes of c. c stays as it is.
func (c Content) Apply(d Delta) Content {
	return Content{
		HandBack: d.HandBack,
		Limits:   d.Limits,
		Routes:   applyByName(c.Routes, d.Routes, d.RemovedRoutes, routeName),
		Services: applyByName(c.Services, d.Services, d.RemovedServices, serviceName),
		Secrets:  applyByName(c.Secrets, d.Secrets, d.RemovedSecrets, secretName),
	}.Normalized()
}

func diffByName[T any](old, next []T, name func(T) string) (changed []T, removed []string) {
	for _, item := range next {
		before, found := findByName(old, name(item), name)
		if !found || !reflect.DeepEqual(before, item) {
			changed = append(changed, item)
		}
	}
	for _, item := range old {
		if _, found := findByName(next, name(item), name); !found {
			removed = append(removed, name(item))
		}
	}
	return changed, removed
}

func applyByName[T any](items, changed []T, removed []string, name func(T) string) []T {
	replaced := map[string]bool{}
	for _, item := range changed {
		replaced[name(item)] = true
	}
	for _, gone := range removed {
		replaced[gone] = true
	}
	var result []T
	for _, item := range items {
		if !replaced[name(item)] {
			result = append(result, item)
		}
	}
	return append(result, changed...)
}
