package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Machine is one entry of the platform's machine list.
type Machine struct {
	Service     string `json:"service"`
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Leaving     bool   `json:"leaving"`
}

// Platform simulates the platform API: it serves the machine list and the bundle files of
// the configuration source.
type Platform struct {
	listener net.Listener
	server   *http.Server

	mu sync.Mutex
	// lag is the delay after which a new list is served.
	lag     time.Duration
	lists   []publishedList
	bundles map[string]string
	down    bool
	// rawList and rawBundle are written in place of every list and bundle, nil for none.
	rawList, rawBundle *RawResponse
	requestCount       int
	bytes              int64
}

type publishedList struct {
	at       time.Time
	machines []Machine
}

// StartPlatform starts the platform API on a free port of 127.0.0.1. It serves each machine
// list after the given lag.
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

// ListURL returns the URL of the machine list.
func (p *Platform) ListURL() string { return "http://" + p.listener.Addr().String() + "/machines" }

// SourceURL returns the base URL of the bundle files.
func (p *Platform) SourceURL() string { return "http://" + p.listener.Addr().String() + "/bundles" }

// SetMachines replaces the machine list; readers see it after the lag.
func (p *Platform) SetMachines(machines []Machine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, publishedList{at: time.Now(), machines: append([]Machine(nil), machines...)})
}

// SetBundle adds or replaces a bundle file in the configuration source.
func (p *Platform) SetBundle(name, text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bundles[name] = text
}

// SetDown sets whether every request fails with status 503.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// RespondRaw makes the platform write raw responses in place of the machine list and of bundles; nil ends that.
func (p *Platform) RespondRaw(list, bundle *RawResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rawList, p.rawBundle = list, bundle
}

// platformHeaders are names for raw responses, which the platform's readers do not look at.
var platformHeaders = RawHeaders{RequestID: "X-Id", NotRun: "X-Not-Run"}

// RequestCount returns the number of requests for the machine list and for bundles.
func (p *Platform) RequestCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.requestCount
}

// Bytes returns the number of machine-list bytes served.
func (p *Platform) Bytes() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bytes
}

// Stop closes the listener and all connections.
func (p *Platform) Stop() { _ = p.server.Close() }

func (p *Platform) serveMachines(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.requestCount++
	down, raw := p.down, p.rawList
	machines, revision := []Machine{}, 0
	for i, list := range p.lists {
		if time.Since(list.at) >= p.lag {
			machines, revision = list.machines, i+1
		}
	}
	p.mu.Unlock()
	if raw != nil {
		raw.Replace(w, platformHeaders, "1")
		return
	}
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	etag := fmt.Sprintf("%q", fmt.Sprint("list-", revision))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
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
	down, raw := p.down, p.rawBundle
	p.requestCount++
	p.mu.Unlock()
	switch {
	case raw != nil:
		raw.Replace(w, platformHeaders, "1")
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case !found:
		w.WriteHeader(http.StatusNotFound)
	default:
		_, _ = w.Write([]byte(text))
	}
}
