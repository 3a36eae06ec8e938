package segment

import (
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// FileSystem gives access to the folder with the segment files. Create, Rename and
// Remove are durable when they return.
type FileSystem interface {
	List() ([]string, error)
	Create(name string) (File, error)
	Open(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
}

// File is one segment file.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	Truncate(size int64) error
	Sync() error
	Size() (int64, error)
}

const (
	folderMode = 0o750
	fileMode   = 0o640
)

// osFileSystem implements FileSystem with a folder of the operating system.
type osFileSystem struct {
	path string
}

// NewFileSystem returns a FileSystem for a folder, which is created if it does not
// exist.
func NewFileSystem(path string) (FileSystem, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, errors.Wrap(err, "create segment folder")
	}
	created := osFileSystem{path: path}
	if err := syncFolder(filepath.Dir(path)); err != nil {
		return nil, err
	}
	return created, created.sync()
}

// List implements FileSystem.
func (f osFileSystem) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, errors.Wrap(err, "list segments")
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

// Create implements FileSystem.
func (f osFileSystem) Create(name string) (File, error) {
	created, err := os.OpenFile(filepath.Join(f.path, name), os.O_RDWR|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "create segment")
	}
	if err := f.sync(); err != nil {
		return nil, errors.CombineErrors(err, created.Close())
	}
	return osFile{created}, nil
}

// Open implements FileSystem.
func (f osFileSystem) Open(name string) (File, error) {
	opened, err := os.OpenFile(filepath.Join(f.path, name), os.O_RDWR, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "open segment")
	}
	return osFile{opened}, nil
}

// Rename implements FileSystem.
func (f osFileSystem) Rename(from, to string) error {
	if err := os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to)); err != nil {
		return errors.Wrap(err, "rename segment")
	}
	return f.sync()
}

// Remove implements FileSystem.
func (f osFileSystem) Remove(name string) error {
	if err := os.Remove(filepath.Join(f.path, name)); err != nil {
		return errors.Wrap(err, "remove segment")
	}
	return f.sync()
}

func (f osFileSystem) sync() error {
	return syncFolder(f.path)
}

func syncFolder(path string) error {
	opened, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open folder")
	}
	err = opened.Sync()
	return errors.Wrap(errors.CombineErrors(err, opened.Close()), "sync folder")
}

// osFile implements File with a file of the operating system.
type osFile struct {
	*os.File
}

// Size implements File.
func (p osFile) Size() (int64, error) {
	information, err := p.Stat()
	if err != nil {
		return 0, errors.Wrap(err, "read segment size")
	}
	return information.Size(), nil
}
