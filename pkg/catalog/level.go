package catalog

import (
	"slices"

	"bramblelift/pkg/bundle"
)

// Level is the compatibility level of log entries, raised whenever a release adds a kind of entry or
// content. A replica skips entries above its own level, and its revisions then fall behind those of
// the others, so that nodes that connect to it would miss changes. A leader therefore proposes
// nothing above the lowest level of the members.
type Level int

const (
	// LevelBase covers versions and endpoints.
	LevelBase Level = iota
	// LevelSuspects adds evidence about requests that crash back ends, and verdicts on them.
	LevelSuspects
	// LevelOrders adds operators' orders, and contents that set Route.Regions, KindDownload, Service.HealthPath,
	// ColdStart or ColdRate.
	LevelOrders
	// LevelTenants adds contents with tenants and public routes.
	LevelTenants
)

// NewestLevel is the highest level that this program supports.
const NewestLevel = LevelTenants

// Level returns the level that a replica must support to apply the command.
func (c Command) Level() Level {
	switch {
	case c.Orders != nil:
		return LevelOrders
	case c.Suspects != nil:
		return LevelSuspects
	case c.Create != nil:
		return c.Create.level
	case c.Publish != nil:
		return c.Publish.level
	}
	return LevelBase
}

// requiredLevel returns the lowest level that supports all fields of a content. A program of a lower level
// drops the fields it does not know and computes another digest.
func requiredLevel(content bundle.Content) Level {
	if len(content.Tenants) > 0 || slices.ContainsFunc(content.Routes, func(r bundle.Route) bool { return r.Public }) {
		return LevelTenants
	}
	if slices.ContainsFunc(content.Routes, needsOrdersLevel) || slices.ContainsFunc(content.Services, usesHealthOrColdStart) {
		return LevelOrders
	}
	return LevelBase
}

func needsOrdersLevel(route bundle.Route) bool {
	return len(route.Regions) > 0 || route.Kind == bundle.KindDownload
}

func usesHealthOrColdStart(service bundle.Service) bool {
	return service.HealthPath != "" || service.ColdStart != 0 || service.ColdRate != 0
}

// WithoutOptionalFields returns the content without those fields above the level that calls can be served without:
// health paths and the limits of cold back ends. Fields that calls must not be served without, such as
// a route's regions and kind, are kept, and the result may still require a higher level.
func WithoutOptionalFields(content bundle.Content, level Level) bundle.Content {
	if level >= LevelOrders || !slices.ContainsFunc(content.Services, usesHealthOrColdStart) {
		return content
	}
	content.Services = slices.Clone(content.Services)
	for i := range content.Services {
		service := &content.Services[i]
		service.HealthPath, service.ColdStart, service.ColdRate = "", 0, 0
	}
	return content
}
