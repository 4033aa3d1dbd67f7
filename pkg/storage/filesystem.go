package storage

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// The log contains secrets, so only the owner may access it.
const (
	fileMode   = 0o600
	folderMode = 0o700
)

// File is a file open for appending.
type File interface {
	io.WriteCloser
	// Sync makes all written data durable.
	Sync() error
	// Truncate shortens the file to size bytes; later writes continue there.
	Truncate(size int64) error
}

// FileSystem is the part of a file system that storage uses. The simulator provides one that
// loses unsynced data.
type FileSystem interface {
	// ReadFile returns the content of a file, or an error that wraps fs.ErrNotExist.
	ReadFile(name string) ([]byte, error)
	// Create creates a file, or empties an existing one.
	Create(name string) (File, error)
	// OpenAppend opens an existing file for appending.
	OpenAppend(name string) (File, error)
	// Rename renames the file oldName to newName and replaces an existing file of that name.
	Rename(oldName, newName string) error
	// SyncDir makes created and renamed files durable.
	SyncDir() error
}

// Dir is a FileSystem in one folder of the operating system's file system.
type Dir struct {
	path string
}

// OpenDir returns the folder at path, and creates it if it does not exist.
func OpenDir(path string) (*Dir, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	return &Dir{path: path}, nil
}

// ReadFile implements FileSystem.ReadFile with a path relative to the folder.
func (f *Dir) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(f.path, name))
}

// Create implements FileSystem.Create; only the owner may access the file.
func (f *Dir) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

// OpenAppend implements FileSystem.OpenAppend and fails if there is no such file.
func (f *Dir) OpenAppend(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_WRONLY|os.O_APPEND, fileMode)
}

// Rename implements FileSystem.Rename within the folder.
func (f *Dir) Rename(oldName, newName string) error {
	return os.Rename(filepath.Join(f.path, oldName), filepath.Join(f.path, newName))
}

// SyncDir implements FileSystem.SyncDir with an fsync of the folder.
func (f *Dir) SyncDir() error {
	folder, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// WriteFileAtomic replaces a file durably. After a crash the file has either the old or the new
// content.
func WriteFileAtomic(fsys FileSystem, name string, content []byte) error {
	if err := writeTemporary(fsys, name, content); err != nil {
		return err
	}
	return renameTemporary(fsys, name)
}

// writeTemporary writes and syncs the new content of a file under a temporary name.
func writeTemporary(fsys FileSystem, name string, content []byte) error {
	temporary := name + temporarySuffix
	file, err := fsys.Create(temporary)
	if err != nil {
		return fmt.Errorf("create %s: %w", temporary, err)
	}
	if err := writeAndSync(file, content); err != nil {
		return fmt.Errorf("write %s: %w", temporary, err)
	}
	return nil
}

// renameTemporary durably replaces a file with its temporary one.
func renameTemporary(fsys FileSystem, name string) error {
	temporary := name + temporarySuffix
	if err := fsys.Rename(temporary, name); err != nil {
		return fmt.Errorf("rename %s: %w", temporary, err)
	}
	if err := fsys.SyncDir(); err != nil {
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
