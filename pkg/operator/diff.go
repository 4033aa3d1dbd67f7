package operator

import (
	"encoding/json"

	"bramblelift/pkg/bundle"
)

// DiffContents lists the differences between two contents. Secrets and keys appear as digests.
func DiffContents(old, next bundle.Content) []Change {
	delta := bundle.Diff(old, next)
	var changes []Change
	if old.HandBack != next.HandBack {
		changes = append(changes, Change{Kind: "bundle", Name: "hand_back", Action: "changed", Before: encodeJSON(old.HandBack), After: encodeJSON(next.HandBack)})
	}
	for _, route := range delta.Routes {
		before, found := findRoute(old, route.Name)
		changes = append(changes, changeOf("route", route.Name, found, encodeJSON(before), encodeJSON(route)))
	}
	for _, service := range delta.Services {
		before, found := old.Service(service.Name)
		changes = append(changes, changeOf("service", service.Name, found, encodeJSON(before), encodeJSON(service)))
	}
	for _, secret := range delta.Secrets {
		before, found := old.Secret(secret.Name)
		changes = append(changes, changeOf("secret", secret.Name, found, before.ShortDigest(), secret.ShortDigest()))
	}
	for _, tenant := range delta.Tenants {
		before, found := old.Tenant(tenant.Name)
		changes = append(changes, changeOf("tenant", tenant.Name, found, encodeJSON(before), encodeJSON(tenant)))
	}
	changes = append(changes, removals("route", delta.RemovedRoutes)...)
	changes = append(changes, removals("service", delta.RemovedServices)...)
	changes = append(changes, removals("secret", delta.RemovedSecrets)...)
	return append(changes, removals("tenant", delta.RemovedTenants)...)
}

func findRoute(content bundle.Content, name string) (bundle.Route, bool) {
	for _, route := range content.Routes {
		if route.Name == name {
			return route, true
		}
	}
	return bundle.Route{}, false
}

func changeOf(kind, name string, found bool, before, after string) Change {
	if !found {
		return Change{Kind: kind, Name: name, Action: "added", After: after}
	}
	return Change{Kind: kind, Name: name, Action: "changed", Before: before, After: after}
}

func removals(kind string, names []string) []Change {
	var changes []Change
	for _, name := range names {
		changes = append(changes, Change{Kind: kind, Name: name, Action: "removed"})
	}
	return changes
}

func encodeJSON(value any) string {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(encoded)
}
