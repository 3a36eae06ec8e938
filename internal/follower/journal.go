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

// Parts of the names of journal files.
const (
	journalPrefix = "changes-"
	journalSuffix = ".binpb"
)

// journal is the file of the changes since a full configuration was saved. A change is durable
// once its record, a length-prefixed ConfigurationChange, is synced. Records need no checksum,
// because each change carries the checksum of the resulting configuration.
type journal struct {
	path string
	// size is the length of the file, zero if it does not exist.
	size int64
	// damaged is set if the file may end with an incomplete or unusable record, so that nothing
	// can be appended.
	damaged bool
}

func journalPath(folder string, base uint64) string {
	return filepath.Join(folder, fmt.Sprintf("%s%020d%s", journalPrefix, base, journalSuffix))
}

func newJournal(folder string, base uint64) *journal {
	return &journal{path: journalPath(folder, base)}
}

// exists reports whether the file exists.
func (j *journal) exists() bool {
	_, err := os.Stat(j.path)
	return err == nil
}

// append returns once the change is synced. An error leaves the journal damaged.
func (j *journal) append(change *rockwindpb.ConfigurationChange) error {
	if j.damaged {
		return errors.New("the journal ends with an incomplete record")
	}
	j.damaged = true
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
	if j.size == 0 {
		if err := syncFolder(filepath.Dir(j.path)); err != nil {
			return err
		}
	}
	j.size += int64(written)
	j.damaged = false
	return nil
}

// replay applies the changes of the file to base, up to the first that is incomplete, is not
// consecutive or cannot be applied, which marks the journal as damaged. It syncs the file first,
// because a record that a killed process wrote may be readable without being durable.
func (j *journal) replay(base *configuration.Index) *configuration.Index {
	file, err := os.Open(j.path)
	if errors.Is(err, fs.ErrNotExist) {
		return base
	}
	if err != nil {
		j.damaged = true
		return base
	}
	defer file.Close()
	if err := file.Sync(); err != nil {
		j.damaged = true
		return base
	}
	changes := j.read(file, base.Number())
	if len(changes) == 0 {
		return base
	}
	// Applying one merged change is much cheaper than applying all in sequence.
	if merged, err := base.Apply(configuration.MergeChanges(changes)); err == nil {
		return merged
	}
	j.damaged = true
	for _, change := range changes {
		next, err := base.Apply(change)
		if err != nil {
			break
		}
		base = next
	}
	return base
}

// read returns the consecutive changes after a configuration number.
func (j *journal) read(file *os.File, number uint64) []*rockwindpb.ConfigurationChange {
	info, err := file.Stat()
	if err != nil {
		j.damaged = true
		return nil
	}
	j.size = info.Size()
	var changes []*rockwindpb.ConfigurationChange
	reader := bufio.NewReader(file)
	options := protodelim.UnmarshalOptions{MaxSize: j.size}
	for {
		if _, err := reader.Peek(1); err != nil {
			return changes
		}
		change := &rockwindpb.ConfigurationChange{}
		if err := options.UnmarshalFrom(reader, change); err != nil || change.GetFromNumber() != number || change.GetNumber() <= number {
			j.damaged = true
			return changes
		}
		number = change.GetNumber()
		changes = append(changes, change)
	}
}
