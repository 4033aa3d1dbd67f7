// Package machinelist reads the platform's list of machines and decides what in it is
// news. The list lags: it may show a machine as live that is known to leave, or not at
// all although it serves.
package machinelist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"bramblelift/pkg/distribution"
)

// Machine is one entry of the list.
type Machine struct {
	Service     string `json:"service"`
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Leaving     bool   `json:"leaving"`
}

// List is the platform's answer.
type List struct {
	Machines []Machine `json:"machines"`
}

const (
	maxListBytes = 32 << 20
	fetchTimeout = 2 * time.Second
	// missesToRemove is in how many lists in a row a machine must be missing.
	missesToRemove = 8
)

// Reader reads the list. It remembers the last one and asks for a newer one only, as
// HTTP allows (RFC 9110, 13.1.2): a list of thousands is long and mostly unchanged. It is
// not safe for concurrent use.
type Reader struct {
	client *http.Client
	url    string
	// tag is the server's name for last, empty if it gave none.
	tag  string
	last List
}

// NewReader returns a reader of the list at a URL.
func NewReader(client *http.Client, url string) *Reader {
	return &Reader{client: client, url: url}
}

// Read returns the list as the platform has it now.
func (r *Reader) Read(ctx context.Context) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, r.url, nil)
	if err != nil {
		return List{}, fmt.Errorf("platform list %s: %w", r.url, err)
	}
	if r.tag != "" {
		request.Header.Set("If-None-Match", r.tag)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return List{}, fmt.Errorf("platform list: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified && r.tag != "" {
		return r.last, nil
	}
	if response.StatusCode != http.StatusOK {
		return List{}, fmt.Errorf("platform list %s: status %s", r.url, response.Status)
	}
	var list List
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&list); err != nil {
		return List{}, fmt.Errorf("platform list %s: %w", r.url, err)
	}
	r.tag, r.last = response.Header.Get("ETag"), list
	return list, nil
}

// Tracker compares lists with what is held. The zero value is ready.
type Tracker struct {
	misses map[endpointKey]int
}

type endpointKey struct{ service, id string }

// Changes returns what a list brings to the held endpoints. An entry with an unusable
// address is left out. A machine that is missing is removed only after several lists
// in a row, and never if its service would be left with no live endpoint: an empty or
// cut list must not empty a pool.
func (t *Tracker) Changes(held distribution.EndpointTable, list List) []distribution.Endpoint {
	listed := map[endpointKey]bool{}
	var changes []distribution.Endpoint
	for _, machine := range list.Machines {
		endpoint, usable := machine.endpoint()
		if !usable {
			continue
		}
		listed[endpointKey{machine.Service, machine.ID}] = true
		old, found := held[machine.Service][machine.ID]
		if !found || endpoint.Supersedes(old) {
			changes = append(changes, endpoint)
		}
	}
	changes = append(changes, t.missing(held, listed)...)
	slices.SortFunc(changes, func(a, b distribution.Endpoint) int {
		return strings.Compare(a.Service+"\x00"+a.ID, b.Service+"\x00"+b.ID)
	})
	return changes
}

func (t *Tracker) missing(held distribution.EndpointTable, listed map[endpointKey]bool) []distribution.Endpoint {
	misses := map[endpointKey]int{}
	var gone []distribution.Endpoint
	for service, endpoints := range held {
		remaining := 0
		for id, endpoint := range endpoints {
			if listed[endpointKey{service, id}] && endpoint.State == distribution.Live {
				remaining++
			}
		}
		for id, endpoint := range endpoints {
			key := endpointKey{service, id}
			if endpoint.State == distribution.Removed || listed[key] {
				continue
			}
			misses[key] = t.misses[key] + 1
			if misses[key] >= missesToRemove && remaining > 0 {
				endpoint.State = distribution.Removed
				gone = append(gone, endpoint)
			}
		}
	}
	t.misses = misses
	return gone
}

func (m Machine) endpoint() (distribution.Endpoint, bool) {
	if _, err := netip.ParseAddrPort(m.Address); err != nil || m.Service == "" || m.ID == "" {
		return distribution.Endpoint{}, false
	}
	endpoint := distribution.Endpoint{
		Service: m.Service, ID: m.ID, Incarnation: m.Incarnation, Address: m.Address, Zone: m.Zone,
	}
	if m.Leaving {
		endpoint.State = distribution.Leaving
	}
	return endpoint, true
}
