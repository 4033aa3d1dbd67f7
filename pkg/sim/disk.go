package sim

import (
	"errors"
	"io/fs"
	"maps"
	"slices"

	"bramblelift/pkg/storage"
)

// errDisk is returned by a sync that was made to fail.
var errDisk = errors.New("simulated sync failure")

// inode is the content of a file; its first synced bytes are durable.
type inode struct {
	content []byte
	synced  int
}

// disk is a storage.FileSystem that loses unsynced data when its machine crashes.
type disk struct {
	simulation *simulation
	// folder is the directory as processes see it, durableFolder the one that survives a
	// crash.
	folder        map[string]*inode
	durableFolder map[string]*inode
	// failSync makes the next sync fail.
	failSync bool
	// full makes every write fail; a prefix of the data may still be written.
	full  bool
	syncs int
}

// errFull is returned by writes to a full disk.
var errFull = errors.New("simulated disk is full")

func newDisk(sim *simulation) *disk {
	return &disk{simulation: sim, folder: map[string]*inode{}, durableFolder: map[string]*inode{}}
}

// crash discards unsynced data. Unsynced directory changes are lost in half of the
// crashes; an arbitrary prefix of a file's unsynced bytes may survive.
func (d *disk) crash() {
	if d.simulation.chance(0.5) {
		d.folder = cloneFolder(d.durableFolder)
	}
	for _, file := range sortedFiles(d.folder) {
		unsynced := len(file.content) - file.synced
		if unsynced > 0 {
			kept := file.synced + d.simulation.random.IntN(unsynced+1)
			file.content = file.content[:kept]
			file.synced = kept
		}
	}
	d.durableFolder = cloneFolder(d.folder)
	d.failSync = false
}

// wipe deletes everything, as if the machine was replaced by an empty one.
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

// SyncDir implements storage.FileSystem.
func (d *disk) SyncDir() error {
	if err := d.syncError(); err != nil {
		return err
	}
	d.durableFolder = cloneFolder(d.folder)
	return nil
}

func (d *disk) syncError() error {
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
		written := f.disk.simulation.random.IntN(len(data) + 1)
		f.inode.content = append(f.inode.content, data[:written]...)
		return written, errFull
	}
	f.inode.content = append(f.inode.content, data...)
	return len(data), nil
}

// Sync implements storage.File.
func (f *openFile) Sync() error {
	if err := f.disk.syncError(); err != nil {
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

// sortedFiles returns the files sorted by name, because the order of random draws must
// not depend on map iteration order.
func sortedFiles(folder map[string]*inode) []*inode {
	var files []*inode
	for _, name := range slices.Sorted(maps.Keys(folder)) {
		files = append(files, folder[name])
	}
	return files
}
