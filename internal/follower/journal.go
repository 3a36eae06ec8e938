package follower

import (
	"bufio"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Names of the files of changes.
const (
	journalPrefix = "changes-"
	journalSuffix = ".binpb"
)

// journal is the changes that were put in force after a whole configuration was
// saved. A change is durable once its record, a length and a ConfigurationChange,
// is synced. Every change carries the checksum of the whole after it, so records
// need none of their own.
type journal struct {
	path string
	// bytes is the length of the file; zero means that there is none yet.
	bytes int64
	// broken tells that the end of the file is not known to be whole, so that
	// nothing can be appended.
	broken bool
}

func journalPath(folder string, base uint64) string {
	return filepath.Join(folder, fmt.Sprintf("%s%020d%s", journalPrefix, base, journalSuffix))
}

func newJournal(folder string, base uint64) *journal {
	return &journal{path: journalPath(folder, base)}
}

// exists tells whether there is a file of changes.
func (j *journal) exists() bool {
	_, err := os.Stat(j.path)
	return err == nil
}

// append returns once the change is synced. After an error the journal is broken.
func (j *journal) append(change *rockwindpb.ConfigurationChange) error {
	if j.broken {
		return errors.New("the changes on disk end in the middle of one")
	}
	j.broken = true
	file, err := os.OpenFile(j.path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, filePermissions)
	if err != nil {
		return err
	}
	written, err := protodelim.MarshalTo(file, change)
	if err == nil {
		err = file.Sync()
	}
	if err = errors.CombineErrors(err, file.Close()); err != nil {
		return err
	}
	if j.bytes == 0 {
		if err := syncFolder(filepath.Dir(j.path)); err != nil {
			return err
		}
	}
	j.bytes += int64(written)
	j.broken = false
	return nil
}

// replay returns the configuration after the changes in the file, up to the first
// that is torn, does not follow on, or does not fit. Where there is such a one the
// journal is broken. The file is synced first: a process that was killed in a write
// may have left a record that can be read and would not outlast a power cut.
func (j *journal) replay(base *configuration.Index) *configuration.Index {
	file, err := os.Open(j.path)
	if errors.Is(err, fs.ErrNotExist) {
		return base
	}
	if err != nil {
		j.broken = true
		return base
	}
	defer file.Close()
	if err := file.Sync(); err != nil {
		j.broken = true
		return base
	}
	changes := j.read(file, base.Number())
	if len(changes) == 0 {
		return base
	}
	// One merged change costs a fraction of one after the other.
	if merged, err := base.Apply(configuration.Merge(changes)); err == nil {
		return merged
	}
	j.broken = true
	for _, change := range changes {
		next, err := base.Apply(change)
		if err != nil {
			break
		}
		base = next
	}
	return base
}

// read returns the changes that follow on from a number.
func (j *journal) read(file *os.File, number uint64) []*rockwindpb.ConfigurationChange {
	info, err := file.Stat()
	if err != nil {
		j.broken = true
		return nil
	}
	j.bytes = info.Size()
	var changes []*rockwindpb.ConfigurationChange
	reader := bufio.NewReader(file)
	options := protodelim.UnmarshalOptions{MaxSize: j.bytes}
	for {
		if _, err := reader.Peek(1); err != nil {
			return changes
		}
		change := &rockwindpb.ConfigurationChange{}
		if err := options.UnmarshalFrom(reader, change); err != nil || change.GetFromNumber() != number || change.GetNumber() <= number {
			j.broken = true
			return changes
		}
		number = change.GetNumber()
		changes = append(changes, change)
	}
}
