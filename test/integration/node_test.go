package integration

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"bramblelift/pkg/bench/check"
	"bramblelift/pkg/bench/fleet"
	"bramblelift/pkg/bench/history"
	"bramblelift/pkg/bench/load"
	"bramblelift/pkg/bench/standin"

	"github.com/matryer/is"
)

// TestNodesKeepVersionAfterMassRestart guards against nodes without disks that start
// with an older version after all relays and nodes were killed together.
func TestNodesKeepVersionAfterMassRestart(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, func(config *fleet.Config) {
		config.ProxyData = false
		config.Proxies = 12
	})
	s.startRecordingVersions()
	s.publish()
	accepted := s.publish()
	is.NoErr(s.awaitVersion(s.Proxies, accepted))
	s.recordVersions()
	var group sync.WaitGroup
	for _, node := range append(s.Relays, s.Proxies...) {
		group.Go(node.Kill)
	}
	group.Wait()
	for _, node := range append(s.Proxies, s.Relays...) {
		is.NoErr(node.Start())
	}
	is.NoErr(s.awaitVersion(s.Proxies, accepted))
	s.recordVersions()
	s.checkHistory()
}

// TestOnceCallsRunAtMostOnceWhenBackEndsCrash guards against repeated execution, and
// wrong outcomes, when back ends crash before, after or while they respond to a call.
func TestOnceCallsRunAtMostOnceWhenBackEndsCrash(t *testing.T) {
	s := startSystem(t, nil)
	for number, backend := range s.backends.All {
		backend.SetFault(func(callID string, stage standin.Stage) bool {
			return (len(callID)+int(callID[len(callID)-1])+number)%5 == int(stage)
		})
	}
	stop := s.startLoad(s.Proxies, 1)
	for i := range 60 {
		s.callWithKey(i)
	}
	time.Sleep(2 * time.Second)
	stop()
	summary := load.Summarize(s.history.Records())
	is := is.New(t)
	is.True(summary.Answered > 100)
	is.True(summary.Refused+summary.Failed > 20) // the crashes affected calls
	s.checkHistory()
}

// callWithKey sends a call with an Idempotency-Key header, which makes http.Transport
// treat a request as repeatable.
func (s *system) callWithKey(number int) {
	call := history.Call{ID: fmt.Sprintf("key-%d", number), Once: true}
	request, err := http.NewRequest(http.MethodPost, "http://"+s.Proxies[0].Address+"/pedidos/orders/x", bytes.NewReader([]byte("order")))
	is.New(s.t).NoErr(err)
	request.GetBody = nil
	request.Header.Set("Idempotency-Key", call.ID)
	request.Header.Set(standin.HeaderCallID, call.ID)
	call.Start = time.Now()
	response, err := http.DefaultTransport.RoundTrip(request)
	call.End = time.Now()
	if err != nil {
		call.Error = err.Error()
	} else {
		call.Status = response.StatusCode
		call.Outcome = response.Header.Get("Request-Outcome")
		call.Complete = true // only the number of executions is checked here
		response.Body.Close()
	}
	s.history.AddCall(call)
}

// TestLeavingBackEndGetsNoNewCallsWithoutControl guards against nodes that send new calls
// to a back end whose responses report that it is leaving, while the control plane is down.
func TestLeavingBackEndGetsNoNewCallsWithoutControl(t *testing.T) {
	s := startSystem(t, nil)
	for _, node := range append(s.Controls, s.Relays...) {
		node.Kill()
	}
	stop := s.startLoad(s.Proxies, 2)
	time.Sleep(300 * time.Millisecond)
	s.backends.All[0].Drain()
	time.Sleep(leaveBound + time.Second)
	stop()
	is.New(t).True(load.Summarize(s.history.Records()).Answered > 100)
	s.checkHistory()
}

// TestBackEndLeavingInPlatformListGetsNoNewCalls guards against nodes that ignore the
// platform's list when the back end's responses don't report that it is leaving.
func TestBackEndLeavingInPlatformListGetsNoNewCalls(t *testing.T) {
	s := startSystem(t, nil)
	stop := s.startLoad(s.Proxies, 3)
	time.Sleep(300 * time.Millisecond)
	s.backends.All[1].DrainSilently()
	machines := s.backends.Machines()
	machines[1].Leaving = true
	s.platform.SetMachines(machines)
	time.Sleep(leaveBound + time.Second)
	stop()
	s.checkHistory()
}

// TestPlannedStopCompletesCallsInFlight guards against calls that fail when a node, a
// relay and the leader are stopped under load.
func TestPlannedStopCompletesCallsInFlight(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, nil)
	node := s.Proxies[0]
	var group sync.WaitGroup
	from := time.Now()
	for i := range 10 {
		group.Go(func() { s.slowCall(node, i) })
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	group.Go(func() {
		load.Run(ctx, load.Config{Services: s.profile.Services, Nodes: []string{node.Address}, Callers: 8, Pause: 5 * time.Millisecond, Timeout: callTimeout, Seed: 4}, s.history)
	})
	time.Sleep(150 * time.Millisecond)
	leader, err := s.Leader()
	is.NoErr(err)
	for _, process := range []*fleet.Member{leader, s.Relays[0], node} {
		group.Go(func() { is.NoErr(process.Stop(callTimeout)) })
	}
	group.Wait()
	for _, violation := range check.PlannedStop(s.history.Records(), from, time.Now()) {
		t.Error(violation)
	}
	is.True(load.Summarize(s.history.Records()).Answered > 20)
	accepted := s.publish() // the remaining processes keep working
	is.NoErr(s.awaitVersion(s.Proxies[1:], accepted))
	s.checkHistory()
}

func (s *system) slowCall(node *fleet.Member, number int) {
	call := history.Call{ID: fmt.Sprintf("slow-%d", number), Node: node.Name, Start: time.Now()}
	request, err := http.NewRequest(http.MethodGet, "http://"+node.Address+"/pedidos/stock/x", nil)
	is.New(s.t).NoErr(err)
	request.Header.Set(standin.HeaderCallID, call.ID)
	request.Header.Set(standin.HeaderWorkMillis, "1200")
	response, err := http.DefaultTransport.RoundTrip(request)
	call.End = time.Now()
	if err != nil {
		call.Error = err.Error()
	} else {
		call.Status, call.Complete = response.StatusCode, true
		response.Body.Close()
	}
	s.history.AddCall(call)
}

// TestLateResponsesReachNoOtherCall guards against a response that arrives after its
// caller's timeout and is delivered to another call.
func TestLateResponsesReachNoOtherCall(t *testing.T) {
	s := startSystem(t, nil)
	shortClient := &http.Client{Timeout: 30 * time.Millisecond}
	longClient := &http.Client{Timeout: callTimeout}
	var group sync.WaitGroup
	for caller := range 8 {
		group.Go(func() {
			for i := range 40 {
				call := history.Call{ID: fmt.Sprintf("caller-%d-%d", caller, i)}
				chosen := longClient
				if i%2 == 0 {
					chosen = shortClient
				}
				load.Send(chosen, http.MethodGet, "http://"+s.Proxies[caller%len(s.Proxies)].Address+"/catalogo/prices/x", nil, 3000, &call)
				s.history.AddCall(call)
			}
		})
	}
	for _, backend := range s.backends.All {
		backend.SetFault(func(callID string, stage standin.Stage) bool {
			if stage == standin.BeforeResponse && callID[len(callID)-1]%3 == 0 {
				time.Sleep(50 * time.Millisecond)
			}
			return false
		})
	}
	group.Wait()
	s.checkHistory()
}
