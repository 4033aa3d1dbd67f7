package catalog

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/deflate"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/orders"
	"bramblelift/pkg/quarantine"
)

// savedCatalog is the snapshot format of a catalog. Consecutive bundles differ little, so each
// content is stored once, as a delta to the previous one. Everything else refers to contents by
// version number.
type savedCatalog struct {
	Head       uint64               `json:"head"`
	Contents   []savedContent       `json:"contents"`
	Versions   []savedVersion       `json:"versions"`
	Operations map[string]operation `json:"operations"`
	Order      []string             `json:"order"`
	Source     []byte               `json:"source,omitempty"`
	State      savedState           `json:"state"`
}

type savedContent struct {
	Version uint64       `json:"version"`
	Delta   bundle.Delta `json:"delta"`
}

type savedVersion struct {
	Version
	HasContent bool `json:"has_content,omitempty"`
}

// savedBundle is a bundle without its content, which is in savedCatalog.Contents.
type savedBundle struct {
	Manifest bundle.Manifest `json:"manifest"`
	Approval bundle.Approval `json:"approval"`
}

type savedState struct {
	Revision  uint64                     `json:"revision"`
	Active    *savedBundle               `json:"active,omitempty"`
	Staged    *savedBundle               `json:"staged,omitempty"`
	Recent    []savedBundle              `json:"recent,omitempty"`
	Endpoints distribution.EndpointTable `json:"endpoints,omitempty"`
	// Horizon is the revision up to which tombstones of endpoints may have been dropped.
	Horizon   uint64                `json:"horizon,omitempty"`
	Suspects  *quarantine.Table     `json:"suspects,omitempty"`
	Watchlist *quarantine.Watchlist `json:"watchlist,omitempty"`
	Orders    *orders.Table         `json:"orders,omitempty"`
}

// Snapshot encodes the catalog for Restore.
func (c *Catalog) Snapshot() ([]byte, error) {
	saved := savedCatalog{Head: c.Head, Operations: c.Operations, Order: c.Order, Source: c.Source, State: saveState(c.Distribution)}
	for _, number := range slices.Sorted(maps.Keys(c.Versions)) {
		version := savedVersion{Version: *c.Versions[number]}
		version.HasContent = version.Content != nil
		version.Content = nil
		saved.Versions = append(saved.Versions, version)
	}
	saved.Contents = saveContents(c.allContents())
	data, err := json.Marshal(saved)
	if err != nil {
		return nil, fmt.Errorf("snapshot catalog: %w", err)
	}
	return deflate.PackRecord(data)
}

// allContents returns the contents of the kept versions and of the distributed bundles, by version
// number.
func (c *Catalog) allContents() map[uint64]*bundle.Content {
	all := map[uint64]*bundle.Content{}
	for number, version := range c.Versions {
		if version.Content != nil {
			all[number] = version.Content
		}
	}
	for _, signed := range bundlesOf(c.Distribution) {
		all[signed.Manifest.Version] = &signed.Content
	}
	return all
}

func bundlesOf(state *distribution.State) []*bundle.Signed {
	var all []*bundle.Signed
	for _, signed := range append([]*bundle.Signed{state.Active, state.Staged}, state.Recent...) {
		if signed != nil {
			all = append(all, signed)
		}
	}
	return all
}

func saveContents(all map[uint64]*bundle.Content) []savedContent {
	var saved []savedContent
	previous := &bundle.Content{}
	for _, number := range slices.Sorted(maps.Keys(all)) {
		saved = append(saved, savedContent{Version: number, Delta: bundle.Diff(*previous, *all[number])})
		previous = all[number]
	}
	return saved
}

func saveState(state *distribution.State) savedState {
	saved := savedState{
		Revision: state.Revision, Active: saveBundle(state.Active), Staged: saveBundle(state.Staged),
		Endpoints: state.Endpoints, Horizon: state.Horizon, Suspects: state.Suspects, Watchlist: state.Watchlist,
		Orders: state.Orders,
	}
	for _, signed := range state.Recent {
		saved.Recent = append(saved.Recent, *saveBundle(signed))
	}
	return saved
}

func saveBundle(signed *bundle.Signed) *savedBundle {
	if signed == nil {
		return nil
	}
	return &savedBundle{Manifest: signed.Manifest, Approval: signed.Approval}
}

// Restore decodes the catalog of a snapshot. Without data it returns an empty catalog.
func Restore(record []byte) (*Catalog, error) {
	c := New()
	if len(record) == 0 {
		return c, nil
	}
	data, err := deflate.UnpackRecord(record, maxRecord)
	if err != nil {
		return nil, fmt.Errorf("restore catalog: %w", err)
	}
	var saved savedCatalog
	if err := json.Unmarshal(data, &saved); err != nil {
		return nil, fmt.Errorf("restore catalog: %w", err)
	}
	if err := c.load(saved); err != nil {
		return nil, fmt.Errorf("restore catalog: %w", err)
	}
	return c, nil
}

func (c *Catalog) load(saved savedCatalog) error {
	contents := map[uint64]*bundle.Content{}
	previous := bundle.Content{}
	for _, next := range saved.Contents {
		previous = previous.Apply(next.Delta)
		content := previous
		contents[next.Version] = &content
	}
	c.Head, c.Order, c.Source = saved.Head, saved.Order, saved.Source
	if saved.Operations != nil {
		c.Operations = saved.Operations
	}
	for _, next := range saved.Versions {
		version := next.Version
		if next.HasContent {
			version.Content = contents[version.Manifest.Version]
			if version.Content == nil {
				return fmt.Errorf("content of version %d is missing", version.Manifest.Version)
			}
		}
		c.Versions[version.Manifest.Version] = &version
	}
	return c.loadState(saved.State, contents)
}

func (c *Catalog) loadState(saved savedState, contents map[uint64]*bundle.Content) error {
	state := &distribution.State{
		Revision: saved.Revision, Endpoints: saved.Endpoints, Horizon: saved.Horizon, Suspects: saved.Suspects, Watchlist: saved.Watchlist,
		Orders: saved.Orders,
	}
	var err error
	if state.Active, err = loadBundle(saved.Active, contents); err != nil {
		return err
	}
	if state.Staged, err = loadBundle(saved.Staged, contents); err != nil {
		return err
	}
	for _, next := range saved.Recent {
		signed, err := loadBundle(&next, contents)
		if err != nil {
			return err
		}
		state.Recent = append(state.Recent, signed)
	}
	c.Distribution = state
	return nil
}

func loadBundle(saved *savedBundle, contents map[uint64]*bundle.Content) (*bundle.Signed, error) {
	if saved == nil {
		return nil, nil
	}
	content := contents[saved.Manifest.Version]
	if content == nil {
		return nil, fmt.Errorf("content of distributed version %d is missing", saved.Manifest.Version)
	}
	return &bundle.Signed{Manifest: saved.Manifest, Approval: saved.Approval, Content: *content}, nil
}
