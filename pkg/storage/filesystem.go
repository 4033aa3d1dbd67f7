package storage

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// Modes of what is written: the log holds secrets.
const (
	fileMode   = 0o600
	folderMode = 0o700
)

// File is an open file that is only appended to.
type File interface {
	io.WriteCloser
	// Sync makes what was written durable.
	Sync() error
	// Truncate cuts the file to size bytes; later writes follow there.
	Truncate(size int64) error
}

// FileSystem is the part of a file system that storage needs. The simulator
// provides one that loses what was not synced.
type FileSystem interface {
	// ReadFile returns a whole file; the error is fs.ErrNotExist if there is none.
	ReadFile(name string) ([]byte, error)
	// Create makes or empties a file.
	Create(name string) (File, error)
	// OpenAppend opens an existing file for appending.
	OpenAppend(name string) (File, error)
	// Rename replaces newName by oldName.
	Rename(oldName, newName string) error
	// SyncFolder makes creations and renames durable.
	SyncFolder() error
}

// Folder is a FileSystem in one folder of the operating system.
type Folder struct {
	path string
}

// OpenFolder creates the folder if need be.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	return &Folder{path: path}, nil
}

// ReadFile implements FileSystem.
func (f *Folder) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(f.path, name))
}

// Create implements FileSystem.
func (f *Folder) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

// OpenAppend implements FileSystem.
func (f *Folder) OpenAppend(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_WRONLY|os.O_APPEND, fileMode)
}

// Rename implements FileSystem.
func (f *Folder) Rename(oldName, newName string) error {
	return os.Rename(filepath.Join(f.path, oldName), filepath.Join(f.path, newName))
}

// SyncFolder implements FileSystem.
func (f *Folder) SyncFolder() error {
	folder, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// WriteFileAtomic replaces a file durably: after a crash it holds either the old
// content or the new.
func WriteFileAtomic(files FileSystem, name string, content []byte) error {
	if err := writeTemporary(files, name, content); err != nil {
		return err
	}
	return replaceByTemporary(files, name)
}

// writeTemporary makes the new content of a file durable beside it.
func writeTemporary(files FileSystem, name string, content []byte) error {
	temporary := name + temporarySuffix
	file, err := files.Create(temporary)
	if err != nil {
		return fmt.Errorf("create %s: %w", temporary, err)
	}
	if err := writeAndSync(file, content); err != nil {
		return fmt.Errorf("write %s: %w", temporary, err)
	}
	return nil
}

// replaceByTemporary durably gives a file the content that was written beside it.
func replaceByTemporary(files FileSystem, name string) error {
	temporary := name + temporarySuffix
	if err := files.Rename(temporary, name); err != nil {
		return fmt.Errorf("rename %s: %w", temporary, err)
	}
	if err := files.SyncFolder(); err != nil {
		return fmt.Errorf("sync folder of %s: %w", name, err)
	}
	return nil
}

const temporarySuffix = ".tmp"

func writeAndSync(file File, content []byte) error {
	_, err := file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}
