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

// currentOrders returns the orders in a replica's state.
func currentOrders(t *testing.T, server *Server) *orders.Table {
	t.Helper()
	var table *orders.Table
	is.New(t).NoErr(server.runOnLoop(context.Background(), func(time.Duration) { table = server.replica.State().Orders }))
	return table
}

// ownReplicaAddress returns the address of the only member.
func ownReplicaAddress(t *testing.T, server *Server) string {
	t.Helper()
	var address string
	is.New(t).NoErr(server.runOnLoop(context.Background(), func(time.Duration) { address = server.replica.Node().Membership().Members[0].Address }))
	return address
}

func TestOrdersAreIdempotent(t *testing.T) {
	is := is.New(t)
	server := startSingleReplica(t)
	first, err := server.Order(context.Background(), evacuate("a"))
	is.NoErr(err)
	is.True(currentOrders(t, server).Evacuated("a"))
	resent, err := server.Order(context.Background(), evacuate("a"))
	is.NoErr(err)
	is.Equal(resent.Revision, first.Revision)
	_, err = server.Order(context.Background(), orders.Change{Readmit: "a"})
	is.NoErr(err)
	is.True(!currentOrders(t, server).Evacuated("a"))
	_, err = server.Order(context.Background(), orders.Change{Readmit: "a"})
	is.NoErr(err)
}

// A command above a member's level must be rejected until the member is upgraded, except that optional
// fields of a content are removed for it.
func TestCommandsAboveAMembersLevelAreRejected(t *testing.T) {
	is := is.New(t)
	server := startSingleReplica(t)
	address := ownReplicaAddress(t, server)
	server.recordReplicaLevel(protocol.Hello{Address: address, KnowsSuspects: true})
	requireUnavailable := func(err error) {
		t.Helper()
		var opErr *catalog.OperationError
		is.True(errors.As(err, &opErr))
		is.Equal(opErr.Code, catalog.CodeUnavailable)
	}
	_, err := server.Order(context.Background(), evacuate("a"))
	requireUnavailable(err)
	is.True(!currentOrders(t, server).Evacuated("a"))

	content := bundle.Content{
		Services: []bundle.Service{{Name: "s", HealthPath: "/healthz", ColdStart: bundle.Duration(time.Second), ColdRate: 3}},
		Routes:   []bundle.Route{{Name: "r", PathPrefix: "/", Service: "s"}},
	}
	is.NoErr(server.Publish(context.Background(), Publication{Version: 1, Content: content, Source: []byte("1")}))
	is.Equal(activeService(t, server), bundle.Service{Name: "s"})
	content.Routes[0].Regions = []string{"east"}
	regions := Publication{Base: 1, Version: 2, Content: content, Source: []byte("2")}
	requireUnavailable(server.Publish(context.Background(), regions))
	content.Routes[0].Regions, content.Routes[0].Kind = nil, bundle.KindDownload
	requireUnavailable(server.Publish(context.Background(), Publication{Base: 1, Version: 2, Content: content, Source: []byte("2")}))
	is.Equal(activeService(t, server), bundle.Service{Name: "s"})

	server.recordReplicaLevel(protocol.Hello{Address: address, KnowsSuspects: true, Level: catalog.NewestLevel})
	is.NoErr(server.Publish(context.Background(), regions))
	is.Equal(activeService(t, server), content.Services[0])
	_, err = server.Order(context.Background(), evacuate("a"))
	is.NoErr(err)
}

func activeService(t *testing.T, server *Server) bundle.Service {
	t.Helper()
	var service bundle.Service
	is.New(t).NoErr(server.runOnLoop(context.Background(), func(time.Duration) {
		service = server.replica.State().Active.Content.Services[0]
	}))
	return service
}

func TestLowestReplicaLevel(t *testing.T) {
	is := is.New(t)
	var table replicaLevelTable
	is.Equal(table.lowest([]string{"a", "b"}), catalog.NewestLevel)
	is.True(table.record("a", catalog.LevelSuspects))
	is.True(!table.record("a", catalog.LevelSuspects))
	is.True(table.record("b", catalog.LevelBase))
	is.Equal(table.lowest([]string{"a", "b"}), catalog.LevelBase)
	is.Equal(table.lowest([]string{"a"}), catalog.LevelSuspects) // b isn't a member
	is.True(table.record("b", catalog.NewestLevel))
	is.True(!table.record("b", catalog.NewestLevel+1)) // a later release supports everything this one does
	is.Equal(table.lowest([]string{"a", "b"}), catalog.LevelSuspects)
	is.Equal(levelOf(protocol.Hello{}), catalog.LevelBase)
	is.Equal(levelOf(protocol.Hello{KnowsSuspects: true}), catalog.LevelSuspects)
	is.Equal(levelOf(protocol.Hello{KnowsSuspects: true, Level: catalog.LevelOrders}), catalog.LevelOrders)
}

// gobRoundTrip returns an announcement as another replica decodes it: gob omits zero values.
func gobRoundTrip(t *testing.T, sent protocol.Announce) protocol.Announce {
	t.Helper()
	var buffer bytes.Buffer
	var read protocol.Announce
	is.New(t).NoErr(gob.NewEncoder(&buffer).Encode(sent))
	is.New(t).NoErr(gob.NewDecoder(&buffer).Decode(&read))
	return read
}

// A content must be limited to the fields that every subscribed node can read, at any replica. Orders
// don't depend on the nodes' level.
func TestContentIsLimitedToTheNodesLevel(t *testing.T) {
	is := is.New(t)
	server := startSingleReplica(t)
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
	server.nodes.record(protocol.NodeReport{Node: "n", Connected: true}, time.Now())
	is.Equal(publish(), bundle.Service{Name: "s"})
	_, err := server.Order(context.Background(), evacuate("a"))
	is.NoErr(err)
	server.nodes.record(protocol.NodeReport{Node: "n"}, time.Now()) // it disconnected
	is.Equal(publish(), content.Services[0])
	server.nodes.record(protocol.NodeReport{Node: "n", Connected: true, Level: catalog.NewestLevel}, time.Now())
	is.Equal(publish(), content.Services[0])
	// Another replica reports a subscriber at LevelBase.
	server.handleAnnounce(gobRoundTrip(t, protocol.Announce{Earlier: &protocol.EarlierSubscribers{Count: 1}}))
	is.Equal(publish(), bundle.Service{Name: "s"})

	var reported subscriberLevels
	reported.refresh(catalog.LevelBase, time.Second)
	is.Equal(reported.lowest(time.Second+subscriberLevelTTL), catalog.LevelBase)
	is.Equal(reported.lowest(time.Second+subscriberLevelTTL+1), catalog.NewestLevel)
}
