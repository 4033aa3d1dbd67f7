package bundle

import "slices"

// Delta is the difference between two contents: the new values of HandBack and Limits, the added and
// changed resources, and the names of the removed ones.
type Delta struct {
	HandBack        bool      `json:"hand_back,omitempty"`
	Limits          Limits    `json:"limits,omitzero"`
	Routes          []Route   `json:"routes,omitempty"`
	RemovedRoutes   []string  `json:"removed_routes,omitempty"`
	Services        []Service `json:"services,omitempty"`
	RemovedServices []string  `json:"removed_services,omitempty"`
	Secrets         []Secret  `json:"secrets,omitempty"`
	RemovedSecrets  []string  `json:"removed_secrets,omitempty"`
	Tenants         []Tenant  `json:"tenants,omitempty"`
	RemovedTenants  []string  `json:"removed_tenants,omitempty"`
}

// Diff returns the delta from old to next. Both must be normalized.
func Diff(old, next Content) Delta {
	d := Delta{HandBack: next.HandBack, Limits: next.Limits}
	d.Routes, d.RemovedRoutes = diffByName(old.Routes, next.Routes, routeName, (*Route).equal)
	d.Services, d.RemovedServices = diffByName(old.Services, next.Services, serviceName, (*Service).equal)
	d.Secrets, d.RemovedSecrets = diffByName(old.Secrets, next.Secrets, secretName, (*Secret).equal)
	d.Tenants, d.RemovedTenants = diffByName(old.Tenants, next.Tenants, tenantName, (*Tenant).equal)
	return d
}

// Empty reports whether the delta changes no resource. HandBack and Limits are not considered.
func (d Delta) Empty() bool { return d.Items() == 0 }

// Items returns the number of resources that the delta adds, changes or removes.
func (d Delta) Items() int {
	return len(d.Routes) + len(d.RemovedRoutes) + len(d.Services) + len(d.RemovedServices) +
		len(d.Secrets) + len(d.RemovedSecrets) + len(d.Tenants) + len(d.RemovedTenants)
}

// Then returns the delta that has the effect of d followed by next.
func (d Delta) Then(next Delta) Delta {
	both := Delta{HandBack: next.HandBack, Limits: next.Limits}
	both.Routes, both.RemovedRoutes = joinByName(d.Routes, next.Routes, d.RemovedRoutes, next.RemovedRoutes, routeName)
	both.Services, both.RemovedServices = joinByName(d.Services, next.Services, d.RemovedServices, next.RemovedServices, serviceName)
	both.Secrets, both.RemovedSecrets = joinByName(d.Secrets, next.Secrets, d.RemovedSecrets, next.RemovedSecrets, secretName)
	both.Tenants, both.RemovedTenants = joinByName(d.Tenants, next.Tenants, d.RemovedTenants, next.RemovedTenants, tenantName)
	return both
}

// joinByName joins two consecutive changes of a list into the changed items and the removed names, each sorted by name.
func joinByName[T any](first, second []T, firstRemoved, secondRemoved []string, name func(T) string) (changed []T, removed []string) {
	changed = applyByName(first, second, secondRemoved, name)
	present := map[string]bool{}
	for _, item := range changed {
		present[name(item)] = true
	}
	for _, gone := range slices.Concat(firstRemoved, secondRemoved) {
		if !present[gone] {
			present[gone] = true
			removed = append(removed, gone)
		}
	}
	slices.Sort(removed)
	return changed, removed
}

// Apply returns the content after the delta. It does not modify c.
func (c Content) Apply(d Delta) Content {
	next := Content{
		HandBack: d.HandBack,
		Limits:   d.Limits,
		Routes:   applyByName(c.Routes, d.Routes, d.RemovedRoutes, routeName),
		Services: applyByName(c.Services, d.Services, d.RemovedServices, serviceName),
		Secrets:  applyByName(c.Secrets, d.Secrets, d.RemovedSecrets, secretName),
		Tenants:  applyByName(c.Tenants, d.Tenants, d.RemovedTenants, tenantName),
	}
	next.normalizeItems()
	return next
}

// diffByName merges two lists sorted by name. It returns the added and changed items of next, and the
// names that are in old only.
func diffByName[T any](old, next []T, name func(T) string, equal func(a, b *T) bool) (changed []T, removed []string) {
	j := 0
	for i := range next {
		wanted := name(next[i])
		for j < len(old) && name(old[j]) < wanted {
			removed = append(removed, name(old[j]))
			j++
		}
		if j < len(old) && name(old[j]) == wanted {
			if !equal(&old[j], &next[i]) {
				changed = append(changed, next[i])
			}
			j++
			continue
		}
		changed = append(changed, next[i])
	}
	for ; j < len(old); j++ {
		removed = append(removed, name(old[j]))
	}
	return changed, removed
}

// applyByName returns a list sorted by name: the items without the removed ones, and with the changed
// ones added or replaced. Without any change it returns items itself.
func applyByName[T any](items, changed []T, removed []string, name func(T) string) []T {
	if len(changed) == 0 && len(removed) == 0 {
		return items
	}
	changed = sortedBy(changed, name)
	removed = slices.Sorted(slices.Values(removed))
	result := make([]T, 0, len(items)+len(changed))
	for i := range items {
		current := name(items[i])
		for len(changed) > 0 && name(changed[0]) < current {
			result = append(result, changed[0])
			changed = changed[1:]
		}
		for len(removed) > 0 && removed[0] < current {
			removed = removed[1:]
		}
		replaced := len(changed) > 0 && name(changed[0]) == current
		deleted := len(removed) > 0 && removed[0] == current
		if !replaced && !deleted {
			result = append(result, items[i])
		}
	}
	result = append(result, changed...)
	if len(result) == 0 {
		return nil
	}
	return result
}
