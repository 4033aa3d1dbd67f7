package control

import (
	"context"
	"errors"
	"testing"
	"time"

	"bramblelift/pkg/catalog"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/operator"
	"bramblelift/pkg/protocol"
	"bramblelift/pkg/quarantine"

	"github.com/matryer/is"
)

func crashEvidence(request string, instances ...string) quarantine.Evidence {
	var evidence quarantine.Evidence
	for _, instance := range instances {
		evidence.Ends = append(evidence.Ends, quarantine.End{
			Request: quarantine.Fingerprint(request), Instance: instance, Way: quarantine.Way{Caller: "shop", Service: "orders"}, Watched: true,
		})
	}
	return evidence
}

// watchlist returns the suspects on the replicated watchlist, and whether each is quarantined.
func watchlist(t *testing.T, server *Server) map[quarantine.Fingerprint]bool {
	t.Helper()
	known := map[quarantine.Fingerprint]bool{}
	err := server.runOnLoop(context.Background(), func(time.Duration) {
		if list := server.replica.State().Watchlist; list != nil {
			for _, entry := range list.Entries {
				known[entry.Request] = entry.Quarantined
			}
		}
	})
	is.New(t).NoErr(err)
	return known
}

// awaitStanding waits until a suspect is quarantined, or watched if quarantined is false.
func awaitStanding(t *testing.T, server *Server, request quarantine.Fingerprint, quarantined bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if held, found := watchlist(t, server)[request]; found && held == quarantined {
			return
		}
	}
	t.Fatalf("suspect %s did not reach quarantined=%t in time", request, quarantined)
}

// The leader must combine the evidence of several gates, quarantine only a request that never
// got a response, and lift the quarantine when an operator requests it.
func TestLeaderCombinesEvidenceOfAllGates(t *testing.T) {
	is := is.New(t)
	server := startSingleReplica(t)
	const fatal, answered = "0123456789abcdef0123456789abcdef01234567", "fedcba9876543210fedcba9876543210fedcba98"
	for _, instance := range []string{"i1", "i2", "i3"} {
		server.handleAnnounce(protocol.Announce{Evidence: ptr(crashEvidence(fatal, instance).Join(crashEvidence(answered, instance)))})
	}
	awaitStanding(t, server, answered, false)
	answer := quarantine.Evidence{Answers: []quarantine.Answer{{Request: answered, Way: quarantine.Way{Caller: "shop", Service: "orders"}}}}
	server.handleAnnounce(protocol.Announce{Evidence: &answer})
	awaitStanding(t, server, fatal, true)
	_, watched := watchlist(t, server)[answered]
	is.Equal(watched, false)

	client := operator.NewClient([]string{server.admin.Address()})
	var list operator.SuspectList
	is.NoErr(client.Do(context.Background(), "GET", operator.PathSuspects, nil, &list))
	is.Equal(len(list.Suspects), 2)
	is.Equal(list.Suspects[0].Standing, "quarantined")
	var result catalog.Result
	lift := func(fingerprint string) error {
		return client.Do(context.Background(), "POST", operator.PathSuspects+"/"+fingerprint+"/lift", nil, &result)
	}
	is.NoErr(lift(list.Suspects[0].Fingerprint))
	awaitStanding(t, server, fatal, false)
	var opErr *catalog.OperationError
	is.True(errors.As(lift(list.Suspects[0].Fingerprint), &opErr)) // it was lifted already
	is.Equal(opErr.Code, catalog.CodeUnknownSuspect)
}

func ptr[T any](value T) *T { return &value }

// A member of an earlier release skips entries about suspects, which would make its revisions diverge, so
// none may be proposed while there is one.
func TestNoSuspectEntriesWhileAMemberRunsAnEarlierRelease(t *testing.T) {
	is := is.New(t)
	server := startSingleReplica(t)
	var address string
	err := server.runOnLoop(context.Background(), func(time.Duration) { address = server.replica.Node().Membership().Members[0].Address })
	is.NoErr(err)
	server.recordReplicaLevel(protocol.Hello{Address: address})
	server.enqueueEvidence(crashEvidence("r", "i1", "i2"))
	time.Sleep(3 * evidenceBatchInterval)
	is.Equal(len(watchlist(t, server)), 0)
	server.recordReplicaLevel(protocol.Hello{Address: address, KnowsSuspects: true})
	server.enqueueEvidence(crashEvidence("r", "i1", "i2"))
	awaitStanding(t, server, "r", false)

	// Verdicts of the leader and of an operator are such entries, too.
	server.enqueueEvidence(crashEvidence("r", "i3"))
	time.Sleep(2 * evidenceBatchInterval)
	server.recordReplicaLevel(protocol.Hello{Address: address})
	time.Sleep(1500 * time.Millisecond)
	is.Equal(watchlist(t, server), map[quarantine.Fingerprint]bool{"r": false})
	server.recordReplicaLevel(protocol.Hello{Address: address, KnowsSuspects: true})
	awaitStanding(t, server, "r", true)
	server.recordReplicaLevel(protocol.Hello{Address: address})
	_, err = server.liftQuarantine(context.Background(), "r")
	var opErr *catalog.OperationError
	is.True(errors.As(err, &opErr))
	is.Equal(opErr.Code, catalog.CodeUnavailable)
	is.Equal(watchlist(t, server), map[quarantine.Fingerprint]bool{"r": true})
}

// Guards against a request that is never kept away, since back ends which start again under their IDs count as crashed for good.
func TestRestartedBackendsCanAnswer(t *testing.T) {
	is := is.New(t)
	server := startSingleReplica(t)
	publish := func(incarnation uint64) {
		endpoint := distribution.Endpoint{Service: "orders", ID: "i1", Incarnation: incarnation, Address: "10.0.0.1:1", State: distribution.Live}
		server.handleAnnounce(protocol.Announce{Endpoints: []distribution.Endpoint{endpoint}})
	}
	publish(1)
	server.handleAnnounce(protocol.Announce{Evidence: ptr(crashEvidence("fatal", "i1/1", "i1/2", "i1/3"))})
	awaitStanding(t, server, "fatal", false)
	publish(3)
	time.Sleep(1500 * time.Millisecond)
	is.Equal(watchlist(t, server), map[quarantine.Fingerprint]bool{"fatal": false}) // none that could answer
	publish(4)
	awaitStanding(t, server, "fatal", true)
}
