package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Machine is one entry of the platform's list.
type Machine struct {
	Service     string `json:"service"`
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Leaving     bool   `json:"leaving"`
}

// Platform serves the list of machines and the bundles of the configuration source.
type Platform struct {
	listener net.Listener
	server   *http.Server

	mu sync.Mutex
	// lag is how old the served list is.
	lag      time.Duration
	versions []timedList
	bundles  map[string]string
	down     bool
	reads    int
	bytes    int64
}

type timedList struct {
	at       time.Time
	machines []Machine
}

// StartPlatform starts the stand-in on a free port of 127.0.0.1.
func StartPlatform(lag time.Duration) (*Platform, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start platform: %w", err)
	}
	p := &Platform{listener: listener, lag: lag, bundles: map[string]string{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", p.serveMachines)
	mux.HandleFunc("GET /bundles/{name}", p.serveBundle)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// ListURL returns where the list is served.
func (p *Platform) ListURL() string { return "http://" + p.listener.Addr().String() + "/machines" }

// SourceURL returns where bundles are served.
func (p *Platform) SourceURL() string { return "http://" + p.listener.Addr().String() + "/bundles" }

// SetMachines replaces the list; readers see it after the lag.
func (p *Platform) SetMachines(machines []Machine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.versions = append(p.versions, timedList{at: time.Now(), machines: append([]Machine(nil), machines...)})
}

// SetBundle puts a bundle file into the configuration source.
func (p *Platform) SetBundle(name, text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bundles[name] = text
}

// SetDown makes every read fail, or work again.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// Reads returns how many reads there were.
func (p *Platform) Reads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// Bytes returns how many bytes of lists were served.
func (p *Platform) Bytes() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bytes
}

// Stop ends the stand-in.
func (p *Platform) Stop() { _ = p.server.Close() }

func (p *Platform) serveMachines(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.reads++
	down := p.down
	machines, number := []Machine{}, 0
	for i, version := range p.versions {
		if time.Since(version.at) >= p.lag {
			machines, number = version.machines, i+1
		}
	}
	p.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	tag := fmt.Sprintf("%q", fmt.Sprint("list-", number))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	text, err := json.Marshal(map[string]any{"machines": machines})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	p.mu.Lock()
	p.bytes += int64(len(text))
	p.mu.Unlock()
	_, _ = w.Write(text)
}

func (p *Platform) serveBundle(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	text, found := p.bundles[r.PathValue("name")]
	down := p.down
	p.reads++
	p.mu.Unlock()
	switch {
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case !found:
		w.WriteHeader(http.StatusNotFound)
	default:
		_, _ = w.Write([]byte(text))
	}
}
