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

// KeeperConfig configures a Keeper.
type KeeperConfig struct {
	// Files is where the configuration is saved; with nil it is only held in memory.
	Files storage.FileSystem
	Group string
	// Verifier checks the approval of each version.
	Verifier distribution.ApprovalVerifier
	// InForce is called with each state that the node must serve calls with.
	InForce func(*distribution.State)
	// OnFailure is called when a state cannot be saved. The process must exit then, since a later
	// restart could load an older version than the one served.
	OnFailure func(error)
}

// Keeper holds the node's configuration. It saves each new state before it activates it
// through InForce. It implements stream.Target and is safe for concurrent use.
type Keeper struct {
	config KeeperConfig

	mu     sync.Mutex
	holder *distribution.Holder
	// servable is set once the held state may be served: it was loaded from disk or confirmed.
	servable bool
}

// NewKeeper returns a keeper with the configuration saved in config.Files, if there is one. It
// fails if the saved state cannot be read.
func NewKeeper(config KeeperConfig) (*Keeper, error) {
	k := &Keeper{config: config}
	state, err := k.load()
	if err != nil {
		return nil, err
	}
	k.servable = state != nil && state.Active != nil
	k.holder = distribution.NewHolder(config.Group, config.Verifier, state)
	return k, nil
}

func (k *Keeper) load() (*distribution.State, error) {
	if k.config.Files == nil {
		return nil, nil
	}
	content, err := k.config.Files.ReadFile(stateFile)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
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
func (k *Keeper) Start() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.activate()
}

// Position returns the revision and versions held, and implements stream.Target.
func (k *Keeper) Position() distribution.Position {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder.State().Position()
}

// Apply verifies, saves and activates an update, and implements stream.Target.
func (k *Keeper) Apply(update *distribution.Update) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	previous := k.holder.State()
	if err := k.holder.Apply(update); err != nil {
		return err
	}
	if k.holder.State() == previous {
		return nil
	}
	if err := k.save(); err != nil {
		k.config.OnFailure(err)
		return err
	}
	k.activate()
	return nil
}

// Current advances the held revision and implements stream.Target. It saves nothing: resuming
// from a lower revision after a restart only makes the next update larger.
func (k *Keeper) Current(revision uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.holder.AdvanceTo(revision)
}

// Confirmed makes the state servable after a server has confirmed it as current since the
// process started: it is no older than what an earlier process run served.
func (k *Keeper) Confirmed(time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.servable {
		return
	}
	k.servable = true
	k.activate()
}

// Serving reports whether a configuration is in force.
func (k *Keeper) Serving() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.servable && k.holder.State().Active != nil
}

func (k *Keeper) save() error {
	if k.config.Files == nil {
		return nil
	}
	content, err := json.Marshal(savedState{State: *k.holder.State(), Level: catalog.NewestLevel})
	if err != nil {
		return fmt.Errorf("save configuration: %w", err)
	}
	if err := storage.WriteFileAtomic(k.config.Files, stateFile, content); err != nil {
		return fmt.Errorf("save configuration: %w", err)
	}
	return nil
}

// activate passes the held state to InForce if it may be served. The caller holds k.mu.
func (k *Keeper) activate() {
	state := k.holder.State()
	if !k.servable || state.Active == nil {
		return
	}
	k.config.InForce(state)
}
