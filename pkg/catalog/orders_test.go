package catalog

import (
	"reflect"
	"slices"
	"testing"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/orders"
	"bramblelift/pkg/quarantine"

	"github.com/matryer/is"
)

// Orders must survive a change of leader and a restart from a snapshot.
func TestOrdersSurviveSnapshots(t *testing.T) {
	is := is.New(t)
	c := New()
	for _, change := range []orders.Change{
		{Evacuate: &orders.Evacuation{Zone: "a", AtMillis: 5}}, {Evacuate: &orders.Evacuation{Zone: "b"}}, {Readmit: "b"},
	} {
		encoded, err := Command{Orders: &change}.Encode()
		is.NoErr(err)
		decoded, err := DecodeCommand(encoded)
		is.NoErr(err)
		c.Apply(decoded)
	}
	data, err := c.Snapshot()
	is.NoErr(err)
	restored, err := Restore(data)
	is.NoErr(err)
	is.Equal(restored.State().Orders, c.State().Orders)
	is.Equal(restored.State().Orders.Evacuations, []orders.Evacuation{{Zone: "a", AtMillis: 5}})
	is.Equal(restored.State().Revision, uint64(3))
}

func TestLevelsOfCommands(t *testing.T) {
	is := is.New(t)
	plain := bundle.Content{Services: []bundle.Service{{Name: "s"}}, Routes: []bundle.Route{{Name: "r", PathPrefix: "/", Service: "s"}}}
	change := func(edit func(*bundle.Content)) bundle.Content {
		c := plain
		c.Services, c.Routes = []bundle.Service{plain.Services[0]}, []bundle.Route{plain.Routes[0]}
		edit(&c)
		return c
	}
	withHealthPath := change(func(c *bundle.Content) { c.Services[0].HealthPath = "/healthz" })
	withRegions := change(func(c *bundle.Content) { c.Routes[0].Regions = []string{"east"} })
	for _, test := range []struct {
		content bundle.Content
		level   Level
	}{
		{plain, LevelBase}, {withHealthPath, LevelOrders}, {withRegions, LevelOrders},
		{change(func(c *bundle.Content) { c.Services[0].ColdRate = 3 }), LevelOrders},
		{change(func(c *bundle.Content) { c.Services[0].ColdStart = 3 }), LevelOrders},
		{change(func(c *bundle.Content) { c.Routes[0].Kind = bundle.KindDownload }), LevelOrders},
		{change(func(c *bundle.Content) { c.Routes[0].Public = true }), LevelTenants},
		{change(func(c *bundle.Content) { c.Tenants = []bundle.Tenant{{Name: "t"}} }), LevelTenants},
	} {
		publish := New().NewPublish(0, 1, test.content, bundle.Digest{}, nil)
		is.Equal(Command{Publish: publish}.Level(), test.level)
		is.Equal(Command{Create: &publish.Create}.Level(), test.level)
	}
	is.Equal(Command{Orders: &orders.Change{}}.Level(), LevelOrders)
	is.Equal(Command{Suspects: &quarantine.Change{}}.Level(), LevelSuspects)
	is.Equal(Command{Endpoints: &Endpoints{}}.Level(), LevelBase)

	is.Equal(WithoutOptionalFields(withHealthPath, LevelSuspects), plain)
	is.Equal(withHealthPath.Services[0].HealthPath, "/healthz") // the argument is not modified
	is.Equal(WithoutOptionalFields(withHealthPath, LevelOrders), withHealthPath)
	is.Equal(WithoutOptionalFields(withRegions, LevelSuspects), withRegions) // calls must not be served without them
}

// A content field must not be added without a level: replicas of an earlier release would drop it and
// compute other digests.
func TestEveryContentFieldHasALevel(t *testing.T) {
	is := is.New(t)
	base := map[reflect.Type][]string{
		reflect.TypeFor[bundle.Content](): {"HandBack", "Limits", "Routes", "Services", "Secrets"},
		// LevelTenants covers all fields of a tenant.
		reflect.TypeFor[bundle.Tenant](): {"Name", "Keys", "Rate", "Burst", "Priority", "Regions"},
		reflect.TypeFor[bundle.Limits](): {"MaxHeaderBytes", "MaxBodyBytes", "HeaderTimeout", "IdleTimeout"},
		reflect.TypeFor[bundle.Route](): {
			"Name", "Group", "Host", "PathPrefix", "Sources", "Service", "Shares", "HandBackService", "Secret", "Timeout", "Once", "Kind",
			"MaxAttempts", "Priority", "TargetLatency",
		},
		reflect.TypeFor[bundle.Service]():  {"Name", "MaxConcurrency", "MaxConnections", "Endpoints"},
		reflect.TypeFor[bundle.Endpoint](): {"ID", "Incarnation", "Address", "Zone"},
		reflect.TypeFor[bundle.Share]():    {"Service", "Weight"},
		reflect.TypeFor[bundle.Secret]():   {"Name", "Value"},
	}
	// These are the fields that requiredLevel checks.
	levelled := map[string]bool{"Route.Regions": true, "Service.HealthPath": true, "Service.ColdStart": true, "Service.ColdRate": true,
		"Content.Tenants": true, "Route.Public": true}
	for kind, known := range base {
		for i := range kind.NumField() {
			name := kind.Field(i).Name
			if !slices.Contains(known, name) && !levelled[kind.Name()+"."+name] {
				t.Errorf("%s.%s has no level", kind.Name(), name)
			}
		}
	}
	is.Equal(len(levelled), 6)
}
