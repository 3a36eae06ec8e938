// Package faultfs is an in-memory disk for tests. It distinguishes written from synced
// data and injects crashes, torn writes, full disks, failed or slow syncs, and flipped
// bits.
package faultfs

import (
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/wal"
)

const sectorBytes = 512

// ErrSync is the error of an injected sync failure.
var ErrSync = errors.New("injected sync failure")

// Disk is an in-memory wal.FileSystem. It is safe for concurrent use.
type Disk struct {
	mutex sync.Mutex
	// generation increases with each crash and invalidates the files opened before.
	generation int
	current    map[string]*content
	durable    map[string]*content
	folders    map[string]bool
	capacity   int64
	failSync   bool
	delay      func()
	syncs      int
}

// content is the data of a file, as written and as last synced.
type content struct {
	written []byte
	synced  []byte
}

// New returns an empty disk of unlimited capacity.
func New() *Disk {
	return &Disk{
		current:  map[string]*content{},
		durable:  map[string]*content{},
		folders:  map[string]bool{},
		capacity: 1 << 62,
	}
}

// SetCapacity limits the total size of all files.
func (d *Disk) SetCapacity(bytes int64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.capacity = bytes
}

// Used returns the total size of all files.
func (d *Disk) Used() int64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.used()
}

// FailSync sets whether syncs of files fail.
func (d *Disk) FailSync(fail bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.failSync = fail
}

// DelaySync calls delay before each sync of a file; nil removes the delay.
func (d *Disk) DelaySync(delay func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.delay = delay
}

// Syncs returns the number of file syncs, including failed ones.
func (d *Disk) Syncs() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.syncs
}

// Crash simulates a power failure. Any part of an unsynced suffix may survive, with
// sectors that read as zeros, and an unsynced create, rename or remove may survive or
// be lost. Open files fail afterwards.
func (d *Disk) Crash(random *rand.Rand) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.generation++
	survivors := map[string]*content{}
	for _, path := range d.names() {
		chosen, found := d.durable[path]
		if random.IntN(2) == 0 {
			chosen, found = d.current[path]
		}
		if found {
			survivors[path] = chosen
		}
	}
	d.current = map[string]*content{}
	d.durable = map[string]*content{}
	for _, path := range sortedKeys(survivors) {
		bytes := contentAfterCrash(survivors[path], random)
		file := &content{written: bytes, synced: slices.Clone(bytes)}
		d.current[path] = file
		d.durable[path] = file
	}
}

// KillProcess simulates the death of the process but not of the machine: written data
// survives, and open files fail afterwards.
func (d *Disk) KillProcess() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.generation++
}

// Wipe deletes all files. Open files fail afterwards.
func (d *Disk) Wipe() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.generation++
	d.current = map[string]*content{}
	d.durable = map[string]*content{}
}

// Paths returns the sorted paths of all files.
func (d *Disk) Paths() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return sortedKeys(d.current)
}

// FlipBit inverts one bit of a file.
func (d *Disk) FlipBit(path string, bit int64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.current[path].written[bit/8] ^= 1 << (bit % 8)
}

// contentAfterCrash returns the data of a file that survives a crash.
func contentAfterCrash(file *content, random *rand.Rand) []byte {
	common := 0
	for common < min(len(file.written), len(file.synced)) && file.written[common] == file.synced[common] {
		common++
	}
	if common < len(file.synced) {
		// The file was truncated or replaced without a sync.
		if random.IntN(2) == 0 {
			return slices.Clone(file.synced)
		}
		return slices.Clone(file.written)
	}
	end := common + random.IntN(len(file.written)-common+1)
	bytes := slices.Clone(file.written[:end])
	for start := common; start < end; {
		stop := min((start/sectorBytes+1)*sectorBytes, end)
		if random.IntN(4) == 0 {
			clear(bytes[start:stop])
		}
		start = stop
	}
	return bytes
}

func (d *Disk) names() []string {
	all := map[string]*content{}
	for path, file := range d.durable {
		all[path] = file
	}
	for path, file := range d.current {
		all[path] = file
	}
	return sortedKeys(all)
}

func sortedKeys(files map[string]*content) []string {
	paths := make([]string, 0, len(files))
	for path := range files {
		paths = append(paths, path)
	}
	slices.Sort(paths)
	return paths
}

func (d *Disk) used() int64 {
	var total int64
	for _, file := range d.current {
		total += int64(len(file.written))
	}
	return total
}

// MakeFolder implements wal.FileSystem.
func (d *Disk) MakeFolder(path string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.folders[filepath.Clean(path)] = true
	return nil
}

// Create implements wal.FileSystem.
func (d *Disk) Create(path string) (wal.File, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	file := &content{}
	d.current[filepath.Clean(path)] = file
	return &handle{disk: d, generation: d.generation, file: file}, nil
}

// Append implements wal.FileSystem.
func (d *Disk) Append(path string) (wal.File, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	file, found := d.current[filepath.Clean(path)]
	if !found {
		return nil, fs.ErrNotExist
	}
	return &handle{disk: d, generation: d.generation, file: file}, nil
}

// ReadFile implements wal.FileSystem.
func (d *Disk) ReadFile(path string) ([]byte, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	file, found := d.current[filepath.Clean(path)]
	if !found {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(file.written), nil
}

// List implements wal.FileSystem.
func (d *Disk) List(folder string) ([]string, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var names []string
	for _, path := range sortedKeys(d.current) {
		if filepath.Dir(path) == filepath.Clean(folder) {
			names = append(names, filepath.Base(path))
		}
	}
	return names, nil
}

// Rename implements wal.FileSystem.
func (d *Disk) Rename(from, to string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	file, found := d.current[filepath.Clean(from)]
	if !found {
		return fs.ErrNotExist
	}
	delete(d.current, filepath.Clean(from))
	d.current[filepath.Clean(to)] = file
	return nil
}

// Remove implements wal.FileSystem.
func (d *Disk) Remove(path string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if _, found := d.current[filepath.Clean(path)]; !found {
		return fs.ErrNotExist
	}
	delete(d.current, filepath.Clean(path))
	return nil
}

// SyncFolder implements wal.FileSystem.
func (d *Disk) SyncFolder(folder string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, path := range d.names() {
		if filepath.Dir(path) != filepath.Clean(folder) {
			continue
		}
		if file, found := d.current[path]; found {
			d.durable[path] = file
			continue
		}
		delete(d.durable, path)
	}
	return nil
}

// handle is an open file.
type handle struct {
	disk       *Disk
	generation int
	file       *content
}

func (h *handle) check() error {
	if h.generation != h.disk.generation {
		return errors.New("the process that opened this file was killed")
	}
	return nil
}

// Write implements wal.File. On a full disk it writes the part that fits.
func (h *handle) Write(bytes []byte) (int, error) {
	h.disk.mutex.Lock()
	defer h.disk.mutex.Unlock()
	if err := h.check(); err != nil {
		return 0, err
	}
	room := max(h.disk.capacity-h.disk.used(), 0)
	if room < int64(len(bytes)) {
		h.file.written = append(h.file.written, bytes[:room]...)
		return int(room), syscall.ENOSPC
	}
	h.file.written = append(h.file.written, bytes...)
	return len(bytes), nil
}

// Sync implements wal.File.
func (h *handle) Sync() error {
	h.disk.mutex.Lock()
	delay := h.disk.delay
	h.disk.mutex.Unlock()
	if delay != nil {
		delay()
	}
	h.disk.mutex.Lock()
	defer h.disk.mutex.Unlock()
	if err := h.check(); err != nil {
		return err
	}
	h.disk.syncs++
	if h.disk.failSync {
		return ErrSync
	}
	h.file.synced = slices.Clone(h.file.written)
	return nil
}

// Truncate implements wal.File.
func (h *handle) Truncate(size int64) error {
	h.disk.mutex.Lock()
	defer h.disk.mutex.Unlock()
	if err := h.check(); err != nil {
		return err
	}
	h.file.written = slices.Clone(h.file.written[:size])
	return nil
}

// Close implements wal.File.
func (h *handle) Close() error {
	return nil
}

var _ wal.FileSystem = (*Disk)(nil)
