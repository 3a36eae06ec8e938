package follower

import (
	"bytes"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Names of the files in the folder.
const (
	filePrefix    = "configuration-"
	fileSuffix    = ".binpb"
	temporaryFile = "configuration.tmp"
)

// keptFullFiles is the number of full configurations on disk: the latest, and the previous one
// with the journal that leads to the latest, in case the latest is unreadable.
const keptFullFiles = 2

// A full configuration is saved once the journal is larger than minCompactionBytes and than one
// journalFraction-th of the full configuration.
const (
	minCompactionBytes = 64 << 10
	journalFraction    = 4
)

const (
	folderPermissions = 0o750
	filePermissions   = 0o640
)

// store keeps the current configuration on disk: a full configuration in one file and the changes
// since then in a journal. A change of a large configuration thus costs a small write and one
// sync.
type store struct {
	folder string
	// compactionFactor, between 1 and 2, keeps daemons that receive the same changes from saving
	// full configurations at the same time.
	compactionFactor float64
	// journal belongs to the latest full configuration, whose file has fullSize bytes. It is nil
	// if there is no full configuration.
	journal  *journal
	fullSize int64
	// minCompactionSize is the size up to which the journal is not compacted.
	minCompactionSize int64
}

func openStore(folder string, random *rand.Rand) (*store, error) {
	if folder == "" {
		return &store{}, nil
	}
	if err := os.MkdirAll(folder, folderPermissions); err != nil {
		return nil, errors.Wrap(err, "create the folder for configurations")
	}
	// Files that a killed process left may become current, so they must be durable first.
	if err := syncFolder(folder); err != nil {
		return nil, errors.Wrap(err, "sync the folder of configurations")
	}
	return &store{folder: folder, compactionFactor: 1 + random.Float64(), minCompactionSize: minCompactionBytes}, nil
}

// load returns the latest intact configuration, or the empty one, and the errors of damaged files.
func (s *store) load() (*configuration.Index, []error) {
	if s.folder == "" {
		return configuration.Empty(), nil
	}
	var fileErrs []error
	for _, number := range s.numbers() {
		base, err := s.read(number)
		if err != nil {
			fileErrs = append(fileErrs, err)
			continue
		}
		return s.replayJournals(base), fileErrs
	}
	return configuration.Empty(), fileErrs
}

// replayJournals returns the configuration after the changes since a full one. If a newer full
// configuration is damaged, its journal continues where that of the older one ends.
func (s *store) replayJournals(base *configuration.Index) *configuration.Index {
	s.journal = newJournal(s.folder, base.Number())
	current := s.journal.replay(base)
	for next := newJournal(s.folder, current.Number()); next.exists() && next.path != s.journal.path; next = newJournal(s.folder, current.Number()) {
		s.journal = next
		current = next.replay(current)
	}
	return current
}

// save returns once the configuration that results from a change is durable.
func (s *store) save(change *rockwindpb.ConfigurationChange, next *configuration.Index) error {
	if s.folder == "" {
		return nil
	}
	if change.GetFull() || s.journal == nil || s.journal.damaged {
		return s.saveFull(next)
	}
	return s.journal.append(change)
}

// compact saves the full configuration if the journal has become long. The configuration is
// already durable.
func (s *store) compact(current *configuration.Index) error {
	if s.journal == nil || float64(s.journal.size) <= s.compactionFactor*float64(max(s.minCompactionSize, s.fullSize/journalFraction)) {
		return nil
	}
	return s.saveFull(current)
}

// numbers lists the configuration numbers of the files in descending order.
func (s *store) numbers() []uint64 {
	entries, err := os.ReadDir(s.folder)
	if err != nil {
		return nil
	}
	var numbers []uint64
	for _, entry := range entries {
		text, found := strings.CutPrefix(entry.Name(), filePrefix)
		if !found {
			continue
		}
		number, err := strconv.ParseUint(strings.TrimSuffix(text, fileSuffix), 10, 64)
		if err == nil {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	slices.Reverse(numbers)
	return numbers
}

func (s *store) path(number uint64) string {
	return filepath.Join(s.folder, fmt.Sprintf("%s%020d%s", filePrefix, number, fileSuffix))
}

func (s *store) read(number uint64) (*configuration.Index, error) {
	data, err := os.ReadFile(s.path(number))
	if err != nil {
		return nil, errors.Wrap(err, "read the configuration on disk")
	}
	s.fullSize = int64(len(data))
	record := &rockwindpb.FollowerRecord{}
	if err := proto.Unmarshal(data, record); err != nil {
		return nil, errors.Wrapf(err, "decode %s", s.path(number))
	}
	index, err := configuration.NewIndex(record.GetConfiguration())
	if err != nil {
		return nil, errors.Wrapf(err, "decode %s", s.path(number))
	}
	if index.Number() != number || !bytes.Equal(index.Checksum(), record.GetChecksum()) {
		return nil, errors.Newf("%s does not match its checksum", s.path(number))
	}
	return index, nil
}

// saveFull returns once the configuration is synced under its final name. It then removes old
// files.
func (s *store) saveFull(index *configuration.Index) error {
	record := &rockwindpb.FollowerRecord{Configuration: index.Configuration(), Checksum: index.Checksum()}
	data, err := proto.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode the configuration")
	}
	tempPath := filepath.Join(s.folder, temporaryFile)
	if err := writeSynced(tempPath, data); err != nil {
		return errors.Wrap(err, "write the configuration")
	}
	if err := os.Rename(tempPath, s.path(index.Number())); err != nil {
		return errors.Wrap(err, "rename the configuration file")
	}
	if err := syncFolder(s.folder); err != nil {
		return errors.Wrap(err, "sync the folder of configurations")
	}
	s.fullSize = int64(len(data))
	s.journal = newJournal(s.folder, index.Number())
	// An existing journal with this base belongs to another configuration of the same number.
	err = os.Remove(s.journal.path)
	s.journal.damaged = err != nil && !errors.Is(err, fs.ErrNotExist)
	s.removeOldFiles(index.Number())
	return nil
}

func writeSynced(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, filePermissions)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	return errors.CombineErrors(err, file.Close())
}

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.CombineErrors(folder.Sync(), folder.Close())
}

// removeOldFiles keeps the file just written and the latest one before it. Files with higher
// numbers are damaged, otherwise they would be current.
func (s *store) removeOldFiles(current uint64) {
	kept := 0
	for _, number := range s.numbers() {
		if number <= current && kept < keptFullFiles {
			kept++
			continue
		}
		// A failure is harmless: the next save tries again.
		_ = os.Remove(s.path(number))
		_ = os.Remove(journalPath(s.folder, number))
	}
}
