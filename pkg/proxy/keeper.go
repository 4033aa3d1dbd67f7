package proxy

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"sync"
	"time"

	"bramblelift/pkg/distribution"
	"bramblelift/pkg/routing"
	"bramblelift/pkg/storage"
)

const stateFile = "configuration.json"

// keeper holds the configuration: it makes each new one durable, then puts it in force
// through inForce. It implements stream.Target.
type keeper struct {
	files   storage.FileSystem
	inForce func(*routing.Table)
	// onFailure is called when durability is lost; the process must end, or it
	// could start again on an older version than it has served.
	onFailure func(error)

	mutex  sync.Mutex
	holder *distribution.Holder
	// open is set once the held state may be served.
	open bool
}

// newKeeper reads the last configuration, if there is a folder and one is in it.
func newKeeper(files storage.FileSystem, group string, verifier distribution.ApprovalVerifier) (*keeper, error) {
	k := &keeper{files: files}
	state, err := k.load()
	if err != nil {
		return nil, err
	}
	k.open = state != nil && state.Active != nil
	k.holder = distribution.NewHolder(group, verifier, state)
	return k, nil
}

func (k *keeper) load() (*distribution.State, error) {
	if k.files == nil {
		return nil, nil
	}
	content, err := k.files.ReadFile(stateFile)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	var state distribution.State
	if err := json.Unmarshal(content, &state); err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	return &state, nil
}

// start puts a configuration from disk in force.
func (k *keeper) start() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.publish()
}

// Position implements stream.Target.
func (k *keeper) Position() distribution.Position {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.holder.State().Position()
}

// Apply implements stream.Target.
func (k *keeper) Apply(update *distribution.Update) error {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	before := k.holder.State()
	if err := k.holder.Apply(update); err != nil {
		return err
	}
	if k.holder.State() == before {
		return nil
	}
	if err := k.save(); err != nil {
		k.onFailure(err)
		return err
	}
	k.publish()
	return nil
}

// Current implements stream.Target. A higher revision alone changes nothing that is
// in force and need not be durable: a lower one is only a longer resume.
func (k *keeper) Current(revision uint64) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.holder.Current(revision)
}

// confirmed takes in that the state was current at a moment on the process's clock,
// which starts with the process: whatever an earlier life held is included.
func (k *keeper) confirmed(time.Duration) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.open {
		return
	}
	k.open = true
	k.publish()
}

// serving reports whether a configuration is in force.
func (k *keeper) serving() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.open && k.holder.State().Active != nil
}

func (k *keeper) save() error {
	if k.files == nil {
		return nil
	}
	content, err := json.Marshal(k.holder.State())
	if err != nil {
		return fmt.Errorf("save configuration: %w", err)
	}
	if err := storage.WriteFileAtomic(k.files, stateFile, content); err != nil {
		return fmt.Errorf("save configuration: %w", err)
	}
	return nil
}

// publish puts the held state in force if it may be served; the mutex is held.
func (k *keeper) publish() {
	state := k.holder.State()
	if !k.open || state.Active == nil {
		return
	}
	k.inForce(routing.New(state))
}
