package proxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"bramblelift/pkg/admin"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/exchange"
	"bramblelift/pkg/gate"
	"bramblelift/pkg/link"
	"bramblelift/pkg/protocol"
	"bramblelift/pkg/registration"
	"bramblelift/pkg/routing"
	"bramblelift/pkg/wire"
)

// openGate sets up the gate in front of the back end beside the node, if the settings name one.
func (s *Server) openGate() error {
	if s.settings.GateListen == "" {
		return nil
	}
	s.gate = gate.New(gate.Config{
		Headers: s.settings.Headers, Now: s.clock.Elapsed, OnCall: s.observer.gateCall,
		RegionServes: func(r *http.Request) bool { return s.forwarder.ServedIn(s.settings.Zone, r) },
		Link:         s.link, ResponsePacer: s.responsePacer, ResponseBuffer: s.responseBuffer,
		Quarantine: &s.quarantine, OnCrash: s.onCrash, OnSuspectResponse: s.onWatchedResponse,
		OnClosing: s.onClosingChange,
		OnSender:  func(service string, sender exchange.Sender) { s.forwarder.UpdateReport(service, sender) },
		OnCold:    s.observer.logColdChange, OnColdProbeFailed: s.observer.logColdUnknown, OnLimit: s.observer.logLimitChange,
		OnLeaving: s.onBackendLeaving, OnInvalidResponse: s.observer.logInvalidResponse,
		ConfirmedAt: func() (time.Duration, bool) { return s.controlClient.ConfirmedAt() }, StopsAt: s.stopsAtTime,
	})
	s.observer.registerGate(s.admin.Registry, s.gate)
	s.observer.registerBackend(s.admin.Registry, s.gate)
	s.backendRegistry = registration.New(registration.Config{
		Gate: s.gate, GateAddress: s.settings.GateAdvertise, Service: s.settings.Service,
		OnAnnouncement: func() { s.controlClient.PingSoon() }, OnStateChange: s.logBackend, OnHeld: s.logHeldBackend,
		HoldUnconfirmed: true, Now: s.clock.Elapsed,
	})
	var err error
	if s.gateListener, err = wire.Listen(s.settings.GateListen); err != nil {
		return fmt.Errorf("listen for other nodes: %w", err)
	}
	s.gateServer = s.newServer(s.gate, nil, closeNoticeToNodes())
	return nil
}

// backendHost returns the IP address of the back end beside the node, or the zero Addr if it is unknown.
func (s *Server) backendHost() netip.Addr {
	address, err := netip.ParseAddrPort(s.settings.BackendAddress)
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr().Unmap()
}

// openPlatformListener opens the listener for the deployment's platform, if the settings name one.
func (s *Server) openPlatformListener(newPlatformHandler func(*Server) http.Handler) error {
	if s.settings.InterfaceListen == "" || newPlatformHandler == nil {
		return nil
	}
	var err error
	if s.platformListener, err = net.Listen("tcp", s.settings.InterfaceListen); err != nil {
		return fmt.Errorf("listen for the deployment's interface: %w", err)
	}
	s.platformServer = admin.NewServer(newPlatformHandler(s), platformRequestTimeout)
	return nil
}

const (
	// platformRequestTimeout bounds a whole request of the deployment's platform; heartbeats are small.
	platformRequestTimeout = 10 * time.Second
	// platformShutdownTimeout is how long a stopping node waits for such requests.
	platformShutdownTimeout = 200 * time.Millisecond
)

// recordTimeout bounds the wait for the control plane to record that a back end leaves. Back ends wait one second for
// a response and then send their request again.
const recordTimeout = 900 * time.Millisecond

// ErrNotRecorded is returned while the control plane has not recorded that a back end leaves. The node sends it no new
// calls, but an acknowledgement would be forgotten if the node were killed.
var ErrNotRecorded = errors.New("the control plane has not recorded yet that the back end leaves")

// Heartbeat processes a heartbeat of the back end beside the node. Its zone defaults to the node's. Only if it returns no
// error may the heartbeat be acknowledged; a draining one is recorded by the control plane first.
func (s *Server) Heartbeat(ctx context.Context, h registration.Heartbeat) error {
	if h.Zone == "" {
		h.Zone = s.settings.Zone
	}
	if s.backendRegistry == nil {
		return nil
	}
	record, err := s.backendRegistry.HandleHeartbeat(h)
	if err != nil {
		s.HeartbeatRejected(h.ID, err)
		return err
	}
	return s.awaitRecord(ctx, h.ID, record)
}

// awaitRecord waits until the control plane has recorded that a back end leaves.
func (s *Server) awaitRecord(ctx context.Context, id string, record registration.Record) error {
	if record.Recorded() {
		return nil
	}
	defer s.controlClient.Await()()
	start := s.clock.Elapsed()
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if err := record.Wait(ctx); err != nil {
		s.logger.Log("event", "leaving_not_recorded", "instance", id, "waited", s.clock.Elapsed()-start, "server", s.controlClient.Server(), "error", err)
		return fmt.Errorf("back end %s: %w", id, ErrNotRecorded)
	}
	return nil
}

// HeartbeatRejected counts and logs a rejected heartbeat, for instance of a service unknown here.
func (s *Server) HeartbeatRejected(id string, err error) {
	s.observer.heartbeatsRejected.Inc()
	s.logger.Log("event", "heartbeat_refused", "instance", id, "error", err)
}

// KnowsService reports whether a service may have a back end beside the node: it is named in the settings or the
// configuration. Without a configuration every service is accepted.
func (s *Server) KnowsService(name string) bool {
	return name == s.settings.Service || s.forwarder == nil || s.forwarder.KnowsService(name)
}

// DeregisterBackend removes a back end that deregistered itself. Only if it returns no error, after the control plane
// has recorded the departure, may the departure be acknowledged.
func (s *Server) DeregisterBackend(ctx context.Context, id string) error {
	if s.backendRegistry == nil {
		return nil
	}
	return s.awaitRecord(ctx, id, s.backendRegistry.RecordDeparture(id, time.Now()))
}

// onConfirmed records that the control plane has confirmed the node's state.
func (s *Server) onConfirmed(at time.Duration) {
	s.store.Confirmed(at)
	if s.backendRegistry != nil {
		s.backendRegistry.Confirm()
	}
}

// onEndedBackends applies what the control plane has recorded of announced back ends.
func (s *Server) onEndedBackends(ended []distribution.Endpoint) {
	if s.backendRegistry != nil {
		s.backendRegistry.ApplyEnded(ended)
	}
}

// onBackendLeaving records that the back end beside the node stated in a response that it leaves.
func (s *Server) onBackendLeaving(id string, incarnation uint64) {
	s.logger.Log("event", "backend_leaving", "instance", id, "incarnation", incarnation)
	s.backendRegistry.RecordLeaving(id, incarnation)
}

func (s *Server) logBackend(h registration.Heartbeat) {
	states := map[registration.State]string{
		registration.Ready: "ready", registration.Draining: "draining", registration.Departed: "gone",
	}
	s.logger.Log("event", "backend", "instance", h.ID, "state", states[h.State], "sequence", h.Sequence, "capacity", h.Capacity)
}

func (s *Server) logHeldBackend(h registration.Heartbeat) {
	s.logger.Log("event", "backend_held", "instance", h.ID, "sequence", h.Sequence, "reason", "the control plane has not confirmed the state since the start")
}

// announce returns what the node reports to the control plane with the next ping.
func (s *Server) announce() protocol.Announce {
	announcement := protocol.Announce{Closed: s.closedGateReport()}
	if s.backendRegistry != nil {
		announcement.Endpoints = s.backendRegistry.PendingAnnouncements()
	}
	if evidence := s.suspects.Pending(s.clock.Elapsed()); !evidence.Empty() {
		announcement.Evidence = &evidence
	}
	announcement.Rollouts = s.rolloutReports()
	announcement.Quotas = s.quotaReport()
	return announcement
}

// serveListeners starts serving other nodes and the deployment's platform.
func (s *Server) serveListeners(wg *sync.WaitGroup) {
	if s.gateServer != nil {
		wg.Go(func() { s.logServeError("gate", s.gateServer.Serve(s.link.Listener(link.Nodes, s.gateListener))) })
	}
	if s.platformListener != nil {
		wg.Go(func() {
			s.logServeError("interface", s.platformServer.Serve(s.platformListener))
		})
	}
}

func (s *Server) logServeError(listener string, err error) {
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		s.logger.Log("event", "listener_ended", "listener", listener, "error", err)
	}
}

// stopGate makes the gate reject calls of other nodes, so that they choose another back end.
func (s *Server) stopGate() {
	if s.gate == nil {
		return
	}
	s.gate.Stop()
	s.gateServer.AnnounceClose()
}

// gateServers returns the server of the gate, if the node has one.
func (s *Server) gateServers() []drainableServer {
	if s.gateServer == nil {
		return nil
	}
	return []drainableServer{s.gateServer}
}

// closePlatformServer closes the server for the platform, after the requests in progress if those end soon. It is closed
// last, so that the back end can send heartbeats during the drain.
func (s *Server) closePlatformServer() {
	if s.platformServer == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), platformShutdownTimeout)
	defer cancel()
	if s.platformServer.Shutdown(ctx) != nil {
		_ = s.platformServer.Close()
	}
}

// setColdBounds passes the service's limits after a cold start to the gate.
func (s *Server) setColdBounds(table *routing.Table) {
	if s.gate == nil {
		return
	}
	for _, service := range table.Services {
		if service.Name == s.settings.Service {
			s.gate.SetColdBounds(gate.ColdBounds{Start: service.ColdStart, Rate: service.ColdRate, HealthPath: service.HealthPath})
		}
	}
}
