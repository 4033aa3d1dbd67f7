package control

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"testing"
	"time"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/catalog"
	"bramblelift/pkg/orders"
	"bramblelift/pkg/protocol"

	"github.com/matryer/is"
)

func evacuate(zone string) orders.Change {
	return orders.Change{Evacuate: &orders.Evacuation{Zone: zone}}
}

// heldOrders returns the orders of a replica.
func heldOrders(t *testing.T, server *Server) *orders.Table {
	t.Helper()
	var table *orders.Table
	is.New(t).NoErr(server.inspect(context.Background(), func(time.Duration) { table = server.replica.State().Orders }))
	return table
}

// ownReplicaAddress is that of the only member.
func ownReplicaAddress(t *testing.T, server *Server) string {
	t.Helper()
	var address string
	is.New(t).NoErr(server.inspect(context.Background(), func(time.Duration) { address = server.replica.Node().Membership().Members[0].Address }))
	return address
}

func TestOrdersAreAgreedOnAndSentAgainChangeNothing(t *testing.T) {
	is := is.New(t)
	server := startSingle(t)
	first, err := server.Order(context.Background(), evacuate("a"))
	is.NoErr(err)
	is.True(heldOrders(t, server).Evacuated("a"))
	again, err := server.Order(context.Background(), evacuate("a"))
	is.NoErr(err)
	is.Equal(again.Revision, first.Revision)
	_, err = server.Order(context.Background(), orders.Change{Readmit: "a"})
	is.NoErr(err)
	is.True(!heldOrders(t, server).Evacuated("a"))
	_, err = server.Order(context.Background(), orders.Change{Readmit: "a"})
	is.NoErr(err)
}

// A replica of the earlier release passes over orders and computes other digests of what is new in
// contents. Hints are left out for its sake; what matters is refused, and can be sent again later.
func TestNothingAboveTheLeastLevelOfTheMembers(t *testing.T) {
	is := is.New(t)
	server := startSingle(t)
	address := ownReplicaAddress(t, server)
	server.noteLevel(protocol.Hello{Address: address, KnowsSuspects: true})
	refused := func(err error) {
		t.Helper()
		var refusal *catalog.OperationError
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Code, catalog.CodeUnavailable)
	}
	_, err := server.Order(context.Background(), evacuate("a"))
	refused(err)
	is.True(!heldOrders(t, server).Evacuated("a"))

	content := bundle.Content{
		Services: []bundle.Service{{Name: "s", HealthPath: "/healthz", ColdStart: bundle.Duration(time.Second), ColdRate: 3}},
		Routes:   []bundle.Route{{Name: "r", PathPrefix: "/", Service: "s"}},
	}
	is.NoErr(server.Publish(context.Background(), Publication{Version: 1, Content: content, Source: []byte("1")}))
	is.Equal(activeService(t, server), bundle.Service{Name: "s"})
	content.Routes[0].Regions = []string{"east"}
	regions := Publication{Base: 1, Version: 2, Content: content, Source: []byte("2")}
	refused(server.Publish(context.Background(), regions))
	content.Routes[0].Regions, content.Routes[0].Kind = nil, bundle.KindDownload
	refused(server.Publish(context.Background(), Publication{Base: 1, Version: 2, Content: content, Source: []byte("2")}))
	is.Equal(activeService(t, server), bundle.Service{Name: "s"})

	server.noteLevel(protocol.Hello{Address: address, KnowsSuspects: true, Level: catalog.NewestLevel})
	is.NoErr(server.Publish(context.Background(), regions))
	is.Equal(activeService(t, server), content.Services[0])
	_, err = server.Order(context.Background(), evacuate("a"))
	is.NoErr(err)
}

func activeService(t *testing.T, server *Server) bundle.Service {
	t.Helper()
	var service bundle.Service
	is.New(t).NoErr(server.inspect(context.Background(), func(time.Duration) {
		service = server.replica.State().Active.Content.Services[0]
	}))
	return service
}

func TestLevelsOfReplicas(t *testing.T) {
	is := is.New(t)
	var table levelTable
	is.Equal(table.least([]string{"a", "b"}), catalog.NewestLevel)
	is.True(table.note("a", catalog.LevelSuspects))
	is.True(!table.note("a", catalog.LevelSuspects))
	is.True(table.note("b", catalog.LevelBase))
	is.Equal(table.least([]string{"a", "b"}), catalog.LevelBase)
	is.Equal(table.least([]string{"a"}), catalog.LevelSuspects) // b is no member
	is.True(table.note("b", catalog.NewestLevel))
	is.True(!table.note("b", catalog.NewestLevel+1)) // a later release knows all that this one does
	is.Equal(table.least([]string{"a", "b"}), catalog.LevelSuspects)
	is.Equal(levelOf(protocol.Hello{}), catalog.LevelBase)
	is.Equal(levelOf(protocol.Hello{KnowsSuspects: true}), catalog.LevelSuspects)
	is.Equal(levelOf(protocol.Hello{KnowsSuspects: true, Level: catalog.LevelOrders}), catalog.LevelOrders)
}

// overTheWire returns what another replica reads of an announcement: gob leaves out what is zero.
func overTheWire(t *testing.T, sent protocol.Announce) protocol.Announce {
	t.Helper()
	var buffer bytes.Buffer
	var read protocol.Announce
	is.New(t).NoErr(gob.NewEncoder(&buffer).Encode(sent))
	is.New(t).NoErr(gob.NewDecoder(&buffer).Decode(&read))
	return read
}

// A node of the earlier release takes none of a content that it cannot read whole, whichever replica it
// comes to; orders do not wait for it, since gates correct it.
func TestContentsThatEarlierNodesCanRead(t *testing.T) {
	is := is.New(t)
	server := startSingle(t)
	content := bundle.Content{
		Services: []bundle.Service{{Name: "s", HealthPath: "/healthz"}},
		Routes:   []bundle.Route{{Name: "r", PathPrefix: "/", Service: "s"}},
	}
	version := uint64(0)
	publish := func() bundle.Service {
		t.Helper()
		version++
		p := Publication{Base: version - 1, Version: version, Content: content, Source: []byte{byte(version)}}
		is.NoErr(server.Publish(context.Background(), p))
		return activeService(t, server)
	}
	is.Equal(publish(), content.Services[0])
	server.nodes.take(protocol.NodeReport{Node: "n", Connected: true}, time.Now())
	is.Equal(publish(), bundle.Service{Name: "s"})
	_, err := server.Order(context.Background(), evacuate("a"))
	is.NoErr(err)
	server.nodes.take(protocol.NodeReport{Node: "n"}, time.Now()) // it is gone
	is.Equal(publish(), content.Services[0])
	server.nodes.take(protocol.NodeReport{Node: "n", Connected: true, Level: catalog.NewestLevel}, time.Now())
	is.Equal(publish(), content.Services[0])
	server.takeAnnounced(overTheWire(t, protocol.Announce{Earlier: &protocol.EarlierSubscribers{Count: 1}})) // it is at another replica
	is.Equal(publish(), bundle.Service{Name: "s"})

	var told subscriberLevel
	told.note(catalog.LevelBase, time.Second)
	is.Equal(told.least(time.Second+subscriberLevelMemory), catalog.LevelBase)
	is.Equal(told.least(time.Second+subscriberLevelMemory+1), catalog.NewestLevel)
}
