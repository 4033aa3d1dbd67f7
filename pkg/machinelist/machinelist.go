// Package machinelist reads the platform's machine list and computes the changes of endpoints from it. A
// machine in the list runs one back end, which the control plane stores as an endpoint. The list lags: it
// may show a leaving machine as live, or omit one that serves.
package machinelist

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"bramblelift/pkg/distribution"
	"bramblelift/pkg/roundtrip"
)

// Machine is an entry of the list. It describes one back end.
type Machine struct {
	Service     string `json:"service"`
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Leaving     bool   `json:"leaving"`
}

// List is the response of the platform.
type List struct {
	Machines []Machine `json:"machines"`
}

const (
	maxListBytes = 32 << 20
	fetchTimeout = 2 * time.Second
	// removeAfterMisses is the number of consecutive lists that must lack a machine before it is removed.
	removeAfterMisses = 8
)

// Reader reads the list. It keeps the latest one and revalidates it with its entity tag (RFC 9110, 13.1.2),
// because a list of thousands of machines rarely changes. It is not safe for concurrent use.
type Reader struct {
	client *http.Client
	url    string
	// etag is the entity tag of last, empty if the server sent none.
	etag string
	last List
}

// NewReader returns a reader for the list at a URL.
func NewReader(client *http.Client, url string) *Reader {
	return &Reader{client: client, url: url}
}

// Read returns the platform's current list.
func (r *Reader) Read(ctx context.Context) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, r.url, nil)
	if err != nil {
		return List{}, fmt.Errorf("build request for platform list %s: %w", r.url, err)
	}
	if r.etag != "" {
		request.Header.Set("If-None-Match", r.etag)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return List{}, fmt.Errorf("fetch platform list: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified && r.etag != "" {
		return r.last, nil
	}
	if response.StatusCode != http.StatusOK {
		return List{}, fmt.Errorf("fetch platform list %s: status %s", r.url, response.Status)
	}
	data, err := roundtrip.ReadAll(response, maxListBytes)
	if err != nil {
		return List{}, fmt.Errorf("read platform list %s: %w", r.url, err)
	}
	var list List
	if err := json.Unmarshal(data, &list); err != nil {
		return List{}, fmt.Errorf("decode platform list %s: %w", r.url, err)
	}
	r.etag, r.last = response.Header.Get("ETag"), list
	return list, nil
}

// Tracker computes the changes between the known endpoints and successive lists. The zero value is ready to use.
type Tracker struct {
	misses map[endpointKey]int
}

type endpointKey struct{ service, id string }

// Changes returns the endpoints that are new, changed or removed according to a list, compared with the
// current ones. It skips entries without a service, an ID or a usable address. A machine is removed only
// after it was missing from removeAfterMisses consecutive lists, and never if its service would have no live
// endpoint left, so that an empty or truncated list can't remove all back ends.
func (t *Tracker) Changes(current distribution.EndpointTable, list List) []distribution.Endpoint {
	listed := map[endpointKey]bool{}
	var changes []distribution.Endpoint
	for _, machine := range list.Machines {
		endpoint, usable := machine.endpoint()
		if !usable {
			continue
		}
		listed[endpointKey{machine.Service, machine.ID}] = true
		old, found := current[machine.Service][machine.ID]
		if !found || endpoint.Supersedes(old) {
			changes = append(changes, endpoint)
		}
	}
	changes = append(changes, t.findMissing(current, listed)...)
	slices.SortFunc(changes, func(a, b distribution.Endpoint) int {
		return strings.Compare(a.Service+"\x00"+a.ID, b.Service+"\x00"+b.ID)
	})
	return changes
}

// findMissing counts the misses of the current endpoints and returns those to remove.
func (t *Tracker) findMissing(current distribution.EndpointTable, listed map[endpointKey]bool) []distribution.Endpoint {
	misses := map[endpointKey]int{}
	var removed []distribution.Endpoint
	for service, endpoints := range current {
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
			if misses[key] >= removeAfterMisses && remaining > 0 {
				endpoint.State = distribution.Removed
				removed = append(removed, endpoint)
			}
		}
	}
	t.misses = misses
	return removed
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
