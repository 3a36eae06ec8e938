package wal

import (
	"io"
	"os"
	"path/filepath"
)

// File is an open file of a FileSystem. Writes append to it.
type File interface {
	io.Writer
	io.Closer
	// Sync returns once everything written is on stable storage. After an error,
	// nothing written since the last successful sync can be assumed durable.
	Sync() error
	// Truncate shortens the file to size bytes.
	Truncate(size int64) error
}

// FileSystem is the set of file operations that the log needs. Tests inject faults
// through it. Paths use the separators of the operating system.
type FileSystem interface {
	// MakeFolder creates a folder and its missing parents.
	MakeFolder(path string) error
	// Create opens an empty file for appending and replaces any existing one.
	Create(path string) (File, error)
	// Append opens an existing file for appending.
	Append(path string) (File, error)
	// ReadFile returns the whole content of a file. If the file does not exist, the
	// error satisfies errors.Is(err, fs.ErrNotExist).
	ReadFile(path string) ([]byte, error)
	// List returns the sorted names of the files in a folder.
	List(folder string) ([]string, error)
	// Rename atomically replaces the file at to.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(path string) error
	// SyncFolder makes creations, renames and removals in a folder durable.
	SyncFolder(folder string) error
}

// Permissions of the folders and files that the log creates.
const (
	folderPermission = 0o750
	filePermission   = 0o640
)

// OSFileSystem is the FileSystem of the operating system.
type OSFileSystem struct{}

// MakeFolder implements FileSystem.
func (OSFileSystem) MakeFolder(path string) error {
	return os.MkdirAll(path, folderPermission)
}

// Create implements FileSystem.
func (OSFileSystem) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, filePermission)
}

// Append implements FileSystem.
func (OSFileSystem) Append(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_APPEND, filePermission)
}

// ReadFile implements FileSystem.
func (OSFileSystem) ReadFile(path string) ([]byte, error) {
	return os.ReadFile(path)
}

// List implements FileSystem.
func (OSFileSystem) List(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		if entry.Type().IsRegular() {
			names = append(names, entry.Name())
		}
	}
	return names, nil
}

// Rename implements FileSystem.
func (OSFileSystem) Rename(from, to string) error {
	return os.Rename(from, to)
}

// Remove implements FileSystem.
func (OSFileSystem) Remove(path string) error {
	return os.Remove(path)
}

// SyncFolder implements FileSystem.
func (OSFileSystem) SyncFolder(folder string) error {
	handle, err := os.Open(filepath.Clean(folder))
	if err != nil {
		return err
	}
	syncError := handle.Sync()
	closeError := handle.Close()
	if syncError != nil {
		return syncError
	}
	return closeError
}

var _ FileSystem = OSFileSystem{}

// WriteAtomically replaces the content of the file name in folder by the parts. It writes and
// syncs a temporary file, renames it and syncs the folder, so that after a crash
// the file holds either the old or the new content.
func WriteAtomically(fileSystem FileSystem, folder, name string, parts ...[]byte) error {
	temporary := filepath.Join(folder, name+temporarySuffix)
	if err := writeSynced(fileSystem, temporary, parts); err != nil {
		return err
	}
	if err := fileSystem.Rename(temporary, filepath.Join(folder, name)); err != nil {
		return err
	}
	return fileSystem.SyncFolder(folder)
}

func writeSynced(fileSystem FileSystem, path string, parts [][]byte) error {
	file, err := fileSystem.Create(path)
	if err != nil {
		return err
	}
	for _, part := range parts {
		if _, err := file.Write(part); err != nil {
			_ = file.Close()
			return err
		}
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
