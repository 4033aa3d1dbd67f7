// Package metrics counts what the daemons send each other.
package metrics

import (
	"sync/atomic"

	"bramblelift/pkg/protocol"
	"bramblelift/pkg/wire"

	"github.com/prometheus/client_golang/prometheus"
)

// Names of links, by who is at the other end.
const (
	LinkUnknown = "unknown"
	LinkReplica = "replica"
	LinkRelay   = "relay"
	LinkControl = "control"
	LinkNode    = "node"
)

// Link names the other end of a connection, once it is known.
type Link struct {
	name atomic.Pointer[string]
}

// Set names the link.
func (l *Link) Set(name string) { l.name.Store(&name) }

func (l *Link) get() string {
	if name := l.name.Load(); name != nil {
		return *name
	}
	return LinkUnknown
}

// Traffic counts the bytes of frames by link, kind and direction.
type Traffic struct {
	bytes  *prometheus.CounterVec
	frames *prometheus.CounterVec
}

// NewTraffic registers the counters.
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

// Observe returns the observer of one connection.
func (t *Traffic) Observe(link *Link) wire.Observer {
	return func(kind wire.Kind, direction wire.Direction, size int) {
		name, kindName := link.get(), protocol.KindName(kind)
		t.bytes.WithLabelValues(name, kindName, string(direction)).Add(float64(size))
		t.frames.WithLabelValues(name, kindName, string(direction)).Inc()
	}
}
