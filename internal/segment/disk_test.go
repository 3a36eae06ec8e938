package segment_test

import (
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"

	"rockwind.example/rockwind/internal/segment"
)

// disk is a file system in memory. A crash keeps synced data and a random part of
// the unsynced writes.
type disk struct {
	mutex sync.Mutex
	files map[string]*diskFile
	full  bool
	// dead is set by a crash: later writes do not reach the disk that crash returned.
	dead bool
}

type diskFile struct {
	disk    *disk
	current []byte
	synced  []byte
	pending []pendingWrite
}

// pendingWrite is an unsynced write, or a truncation to offset if data is nil.
type pendingWrite struct {
	offset int64
	data   []byte
}

var errUnavailable = errors.New("file not found or disk crashed")

func newDisk() *disk {
	return &disk{files: make(map[string]*diskFile)}
}

func (d *disk) List() ([]string, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var names []string
	for name := range d.files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

func (d *disk) Create(name string) (segment.File, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.dead {
		return nil, errUnavailable
	}
	if d.full {
		return nil, syscall.ENOSPC
	}
	created := &diskFile{disk: d}
	d.files[name] = created
	return created, nil
}

func (d *disk) Open(name string) (segment.File, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	found, known := d.files[name]
	if !known {
		return nil, errUnavailable
	}
	return found, nil
}

func (d *disk) Rename(from, to string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	found, known := d.files[from]
	if !known || d.dead {
		return errUnavailable
	}
	delete(d.files, from)
	d.files[to] = found
	return nil
}

func (d *disk) Remove(name string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.files, name)
	return nil
}

func (d *disk) setFull(full bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.full = full
}

// crash returns the disk as it is after a crash: each unsynced write is applied
// entirely, partly or not at all.
func (d *disk) crash(random *rand.Rand) *disk {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.dead = true
	after := newDisk()
	names := make([]string, 0, len(d.files))
	for name := range d.files {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		file := d.files[name]
		survived := &diskFile{disk: after, current: slices.Clone(file.synced)}
		for _, write := range file.pending {
			if random.IntN(2) == 0 {
				continue
			}
			kept := len(write.data)
			if random.IntN(2) == 0 {
				kept = random.IntN(len(write.data) + 1)
			}
			survived.apply(pendingWrite{offset: write.offset, data: write.data[:kept]})
		}
		survived.synced = slices.Clone(survived.current)
		after.files[name] = survived
	}
	return after
}

// damage flips a bit of one synced byte.
func (d *disk) damage(random *rand.Rand) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var names []string
	for name, file := range d.files {
		if len(file.synced) > 0 {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return
	}
	slices.Sort(names)
	file := d.files[names[random.IntN(len(names))]]
	position := random.IntN(len(file.synced))
	file.current[position] ^= 0x40
	file.synced[position] ^= 0x40
}

func (f *diskFile) apply(write pendingWrite) {
	if write.data == nil {
		f.current = f.current[:min(int(write.offset), len(f.current))]
		return
	}
	end := int(write.offset) + len(write.data)
	if end > len(f.current) {
		f.current = append(f.current, make([]byte, end-len(f.current))...)
	}
	copy(f.current[write.offset:], write.data)
}

func (f *diskFile) ReadAt(into []byte, offset int64) (int, error) {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	if offset >= int64(len(f.current)) {
		return 0, io.EOF
	}
	count := copy(into, f.current[offset:])
	if count < len(into) {
		return count, io.EOF
	}
	return count, nil
}

func (f *diskFile) WriteAt(data []byte, offset int64) (int, error) {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	if f.disk.full {
		data = data[:len(data)/2]
	}
	write := pendingWrite{offset: offset, data: slices.Clone(data)}
	f.apply(write)
	f.pending = append(f.pending, write)
	if f.disk.full {
		return len(data), syscall.ENOSPC
	}
	return len(data), nil
}

func (f *diskFile) Truncate(size int64) error {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	write := pendingWrite{offset: size}
	f.apply(write)
	f.pending = append(f.pending, write)
	return nil
}

func (f *diskFile) Sync() error {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	if f.disk.dead {
		return errUnavailable
	}
	f.synced = slices.Clone(f.current)
	f.pending = nil
	return nil
}

func (f *diskFile) Size() (int64, error) {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	return int64(len(f.current)), nil
}

func (f *diskFile) Close() error { return nil }
