// Package metrics counts the traffic between the daemons, in frames and bytes.
package metrics

import (
	"sync/atomic"

	"bramblelift/pkg/protocol"
	"bramblelift/pkg/wire"

	"github.com/prometheus/client_golang/prometheus"
)

// Values of the label "link": the role of the peer of a connection.
const (
	LinkUnknown = "unknown"
	LinkReplica = "replica"
	LinkRelay   = "relay"
	LinkControl = "control"
	LinkNode    = "node"
)

// PeerRole holds the role of the peer of a connection, LinkUnknown until it is set. It is safe for
// concurrent use.
type PeerRole struct {
	name atomic.Pointer[string]
}

// Set sets the peer's role, one of the Link constants.
func (r *PeerRole) Set(name string) { r.name.Store(&name) }

func (r *PeerRole) get() string {
	if name := r.name.Load(); name != nil {
		return *name
	}
	return LinkUnknown
}

// Traffic counts frames and their bytes by link, kind and direction.
type Traffic struct {
	bytes  *prometheus.CounterVec
	frames *prometheus.CounterVec
}

// NewTraffic returns a Traffic whose counters are registered with registry.
func NewTraffic(registry prometheus.Registerer) *Traffic {
	labels := []string{"link", "kind", "direction"}
	t := &Traffic{
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramblelift_control_bytes_total",
			Help: "Bytes of frames between the system's own processes, framing included.",
		}, labels),
		frames: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramblelift_control_frames_total",
			Help: "Frames between the system's own processes.",
		}, labels),
	}
	registry.MustRegister(t.bytes, t.frames)
	return t
}

// Observe returns an observer that counts the frames of one connection.
func (t *Traffic) Observe(role *PeerRole) wire.Observer {
	return func(kind wire.Kind, direction wire.Direction, size int) {
		name, kindName := role.get(), protocol.KindName(kind)
		t.bytes.WithLabelValues(name, kindName, string(direction)).Add(float64(size))
		t.frames.WithLabelValues(name, kindName, string(direction)).Inc()
	}
}
