package sim

import (
	"errors"
	"io/fs"
	"maps"
	"slices"

	"bramblelift/pkg/storage"
)

// errDisk is a simulated failure of a sync.
var errDisk = errors.New("simulated disk failure")

// inode is a file's content: all of it, and how much of it is durable.
type inode struct {
	content []byte
	synced  int
}

// disk is a storage.FileSystem that forgets what was not synced when its machine
// crashes.
type disk struct {
	world *world
	// folder is what processes see, durableFolder what a crash leaves.
	folder        map[string]*inode
	durableFolder map[string]*inode
	// failSync makes the next sync fail.
	failSync bool
	// full makes the disk refuse every write; some of one may get there.
	full  bool
	syncs int
}

// errFull is what a full disk says.
var errFull = errors.New("simulated disk is full")

func newDisk(w *world) *disk {
	return &disk{world: w, folder: map[string]*inode{}, durableFolder: map[string]*inode{}}
}

// crash loses what was not synced. Of a file's unsynced end any part may have reached
// the platter.
func (d *disk) crash() {
	if d.world.chance(0.5) {
		d.folder = cloneFolder(d.durableFolder)
	}
	for _, file := range sortedFiles(d.folder) {
		unsynced := len(file.content) - file.synced
		if unsynced > 0 {
			kept := file.synced + d.world.random.IntN(unsynced+1)
			file.content = file.content[:kept]
			file.synced = kept
		}
	}
	d.durableFolder = cloneFolder(d.folder)
	d.failSync = false
}

// wipe loses everything, as a replaced machine does.
func (d *disk) wipe() {
	d.folder = map[string]*inode{}
	d.durableFolder = map[string]*inode{}
	d.failSync, d.full = false, false
}

// ReadFile implements storage.FileSystem.
func (d *disk) ReadFile(name string) ([]byte, error) {
	file, found := d.folder[name]
	if !found {
		return nil, fs.ErrNotExist
	}
	return append([]byte(nil), file.content...), nil
}

// Create implements storage.FileSystem.
func (d *disk) Create(name string) (storage.File, error) {
	file := &inode{}
	d.folder[name] = file
	return &openFile{disk: d, inode: file}, nil
}

// OpenAppend implements storage.FileSystem.
func (d *disk) OpenAppend(name string) (storage.File, error) {
	file, found := d.folder[name]
	if !found {
		return nil, fs.ErrNotExist
	}
	return &openFile{disk: d, inode: file}, nil
}

// Rename implements storage.FileSystem.
func (d *disk) Rename(oldName, newName string) error {
	file, found := d.folder[oldName]
	if !found {
		return fs.ErrNotExist
	}
	delete(d.folder, oldName)
	d.folder[newName] = file
	return nil
}

// SyncFolder implements storage.FileSystem.
func (d *disk) SyncFolder() error {
	if err := d.syncFails(); err != nil {
		return err
	}
	d.durableFolder = cloneFolder(d.folder)
	return nil
}

func (d *disk) syncFails() error {
	d.syncs++
	if d.failSync {
		d.failSync = false
		return errDisk
	}
	return nil
}

type openFile struct {
	disk  *disk
	inode *inode
}

// Write implements storage.File.
func (f *openFile) Write(data []byte) (int, error) {
	if f.disk.full {
		taken := f.disk.world.random.IntN(len(data) + 1)
		f.inode.content = append(f.inode.content, data[:taken]...)
		return taken, errFull
	}
	f.inode.content = append(f.inode.content, data...)
	return len(data), nil
}

// Sync implements storage.File.
func (f *openFile) Sync() error {
	if err := f.disk.syncFails(); err != nil {
		return err
	}
	f.inode.synced = len(f.inode.content)
	return nil
}

// Truncate implements storage.File.
func (f *openFile) Truncate(size int64) error {
	f.inode.content = f.inode.content[:size]
	f.inode.synced = min(f.inode.synced, int(size))
	return nil
}

// Close implements storage.File.
func (f *openFile) Close() error { return nil }

func cloneFolder(folder map[string]*inode) map[string]*inode {
	clone := make(map[string]*inode, len(folder))
	for name, file := range folder {
		clone[name] = file
	}
	return clone
}

// sortedFiles returns the files in the order of their names: random choices must not
// depend on the order of a map.
func sortedFiles(folder map[string]*inode) []*inode {
	var files []*inode
	for _, name := range slices.Sorted(maps.Keys(folder)) {
		files = append(files, folder[name])
	}
	return files
}
