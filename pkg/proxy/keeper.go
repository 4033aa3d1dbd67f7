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

// savedState is a state as it is on the disk.
type savedState struct {
	distribution.State
	// Level is that of the program that saved it. An earlier one left out what it did not know, though the
	// state's revision includes it: control must tell such a node all from the beginning.
	Level catalog.Level `json:"level"`
}

// KeeperConfig sets up a Keeper.
type KeeperConfig struct {
	// Files is where the configuration is made durable; nil for nowhere.
	Files storage.FileSystem
	Group string
	// Verifier checks approvals.
	Verifier distribution.ApprovalVerifier
	// InForce takes each state that calls are to be answered by.
	InForce func(*distribution.State)
	// OnFailure is called when durability is lost; the process must end, or it
	// could start again on an older version than it has served.
	OnFailure func(error)
}

// Keeper holds the configuration: it makes each new one durable, then puts it in force
// through InForce. It implements stream.Target.
type Keeper struct {
	config KeeperConfig

	mu     sync.Mutex
	holder *distribution.Holder
	// open is set once the held state may be served.
	open bool
}

// NewKeeper reads the last configuration, if there is a folder and one is in it.
func NewKeeper(config KeeperConfig) (*Keeper, error) {
	k := &Keeper{config: config}
	state, err := k.load()
	if err != nil {
		return nil, err
	}
	k.open = state != nil && state.Active != nil
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

// Start puts a configuration from disk in force.
func (k *Keeper) Start() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.publish()
}

// Position implements stream.Target.
func (k *Keeper) Position() distribution.Position {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder.State().Position()
}

// Apply implements stream.Target.
func (k *Keeper) Apply(update *distribution.Update) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.holder.State()
	if err := k.holder.Apply(update); err != nil {
		return err
	}
	if k.holder.State() == before {
		return nil
	}
	if err := k.save(); err != nil {
		k.config.OnFailure(err)
		return err
	}
	k.publish()
	return nil
}

// Current implements stream.Target. A higher revision alone changes nothing that is
// in force and need not be durable: a lower one is only a longer resume.
func (k *Keeper) Current(revision uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.holder.Current(revision)
}

// Confirmed takes in that the state was current at a moment on the process's clock,
// which starts with the process: whatever an earlier life held is included.
func (k *Keeper) Confirmed(time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.open {
		return
	}
	k.open = true
	k.publish()
}

// Serving reports whether a configuration is in force.
func (k *Keeper) Serving() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.open && k.holder.State().Active != nil
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

// publish puts the held state in force if it may be served; the mutex is held.
func (k *Keeper) publish() {
	state := k.holder.State()
	if !k.open || state.Active == nil {
		return
	}
	k.config.InForce(state)
}
