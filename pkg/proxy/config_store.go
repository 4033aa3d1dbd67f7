package proxy

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"sync"
	"time"

	"bramblelift/pkg/catalog"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/storage"
)

const stateFile = "configuration.json"

// savedState is the content of the state file.
type savedState struct {
	distribution.State
	// Level is the compatibility level of the release that saved the state. An earlier release omits data that
	// it does not know, though the revision covers it; such a node needs the full state again.
	Level catalog.Level `json:"level"`
}

// StoreConfig configures a ConfigStore.
type StoreConfig struct {
	// Files is where the configuration is saved; with nil it is only held in memory.
	Files storage.FileSystem
	Group string
	// Verifier checks the approval of each version.
	Verifier distribution.ApprovalVerifier
	// OnActivate is called with each state that the node must serve calls with.
	OnActivate func(*distribution.State)
	// OnFailure is called when a state cannot be saved. The process must exit then, since a later
	// restart could load an older version than the one served.
	OnFailure func(error)
}

// ConfigStore holds the node's configuration. It saves each new state before it activates it
// through OnActivate. It implements stream.Target and is safe for concurrent use.
type ConfigStore struct {
	config StoreConfig

	mu     sync.Mutex
	holder *distribution.Holder
	// servable is set once the held state may be served: it was loaded from disk or confirmed.
	servable bool
}

// NewConfigStore returns a store with the configuration saved in config.Files, if there is one. It
// fails if the saved state cannot be read.
func NewConfigStore(config StoreConfig) (*ConfigStore, error) {
	s := &ConfigStore{config: config}
	state, err := s.load()
	if err != nil {
		return nil, err
	}
	s.servable = state != nil && state.Active != nil
	s.holder = distribution.NewHolder(config.Group, config.Verifier, state)
	return s, nil
}

func (s *ConfigStore) load() (*distribution.State, error) {
	if s.config.Files == nil {
		return nil, nil
	}
	content, err := s.config.Files.ReadFile(stateFile)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	// The process before may have been killed after it renamed the file and before it synced the folder.
	if err := s.config.Files.SyncDir(); err != nil {
		return nil, fmt.Errorf("sync folder of the saved configuration: %w", err)
	}
	var saved savedState
	if err := json.Unmarshal(content, &saved); err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	if saved.Level < catalog.NewestLevel {
		saved.Revision = 0
	}
	return &saved.State, nil
}

// Start activates a configuration that was loaded from disk.
func (s *ConfigStore) Start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activate()
}

// Position returns the revision and versions held, and implements stream.Target.
func (s *ConfigStore) Position() distribution.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.State().Position()
}

// Apply verifies, saves and activates an update, and implements stream.Target.
func (s *ConfigStore) Apply(update *distribution.Update) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.holder.State()
	if err := s.holder.Apply(update); err != nil {
		return err
	}
	if s.holder.State() == previous {
		return nil
	}
	if err := s.save(); err != nil {
		s.config.OnFailure(err)
		return err
	}
	s.activate()
	return nil
}

// Current advances the held revision and implements stream.Target. It saves nothing: resuming
// from a lower revision after a restart only makes the next update larger.
func (s *ConfigStore) Current(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder.AdvanceTo(revision)
}

// Confirmed makes the state servable after a server has confirmed it as current since the
// process started: it is no older than what an earlier process run served.
func (s *ConfigStore) Confirmed(time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.servable {
		return
	}
	s.servable = true
	s.activate()
}

// Serving reports whether a configuration is in force.
func (s *ConfigStore) Serving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servable && s.holder.State().Active != nil
}

func (s *ConfigStore) save() error {
	if s.config.Files == nil {
		return nil
	}
	content, err := json.Marshal(savedState{State: *s.holder.State(), Level: catalog.NewestLevel})
	if err != nil {
		return fmt.Errorf("save configuration: %w", err)
	}
	if err := storage.WriteFileAtomic(s.config.Files, stateFile, content); err != nil {
		return fmt.Errorf("save configuration: %w", err)
	}
	return nil
}

// activate passes the held state to OnActivate if it may be served. The caller holds s.mu.
func (s *ConfigStore) activate() {
	state := s.holder.State()
	if !s.servable || state.Active == nil {
		return
	}
	s.config.OnActivate(state)
}
