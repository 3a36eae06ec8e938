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

// keptFiles is how many whole configurations stay on disk: the newest and the one
// before, whose changes lead to the newest, in case that cannot be read any more.
const keptFiles = 2

// A whole configuration is saved in place of more changes where these take more
// than shortJournalBytes and more than one journalPart of the whole.
const (
	shortJournalBytes = 64 << 10
	journalPart       = 4
)

const (
	folderPermissions = 0o750
	filePermissions   = 0o640
)

// store keeps the configuration in force on disk: a whole one in a file, and the
// changes since in another. A change of a large configuration thus costs a small
// write and one sync.
type store struct {
	folder string
	// factor, from 1 to 2, keeps daemons that follow the same changes from saving
	// whole configurations at the same time.
	factor float64
	// changes belongs to the newest whole configuration, which is of wholeBytes. It
	// is nil while there is none.
	changes    *journal
	wholeBytes int64
	// shortJournal is the size up to which a journal is never too long.
	shortJournal int64
}

func openStore(folder string, random *rand.Rand) (*store, error) {
	if folder == "" {
		return &store{}, nil
	}
	if err := os.MkdirAll(folder, folderPermissions); err != nil {
		return nil, errors.Wrap(err, "create the folder for configurations")
	}
	// What a killed process left is to be in force: it must be durable first.
	if err := syncFolder(folder); err != nil {
		return nil, errors.Wrap(err, "sync the folder of configurations")
	}
	return &store{folder: folder, factor: 1 + random.Float64(), shortJournal: shortJournalBytes}, nil
}

// load returns the newest configuration that is intact, or the empty one, and
// the errors of files that are not.
func (s *store) load() (*configuration.Index, []error) {
	if s.folder == "" {
		return configuration.Empty(), nil
	}
	var damaged []error
	for _, number := range s.numbers() {
		base, err := s.read(number)
		if err != nil {
			damaged = append(damaged, err)
			continue
		}
		return s.replayFrom(base), damaged
	}
	return configuration.Empty(), damaged
}

// replayFrom returns the configuration after the changes since a whole one. Where
// a newer whole one is damaged, its journal goes on where that of the older ends.
func (s *store) replayFrom(base *configuration.Index) *configuration.Index {
	s.changes = newJournal(s.folder, base.Number())
	current := s.changes.replay(base)
	for next := newJournal(s.folder, current.Number()); next.exists() && next.path != s.changes.path; next = newJournal(s.folder, current.Number()) {
		s.changes = next
		current = next.replay(current)
	}
	return current
}

// save returns once the configuration is synced, which a change has led to.
func (s *store) save(change *rockwindpb.ConfigurationChange, next *configuration.Index) error {
	if s.folder == "" {
		return nil
	}
	if change.GetFull() || s.changes == nil || s.changes.broken {
		return s.saveWhole(next)
	}
	return s.changes.append(change)
}

// compact saves the whole configuration where the changes since the last one have
// grown long. The configuration is durable without it.
func (s *store) compact(current *configuration.Index) error {
	if s.changes == nil || float64(s.changes.bytes) <= s.factor*float64(max(s.shortJournal, s.wholeBytes/journalPart)) {
		return nil
	}
	return s.saveWhole(current)
}

// numbers lists the numbers of the files, the highest first.
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
	s.wholeBytes = int64(len(data))
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

// saveWhole returns once the configuration is synced under its own name. Older
// files but one are removed afterwards.
func (s *store) saveWhole(index *configuration.Index) error {
	record := &rockwindpb.FollowerRecord{Configuration: index.Configuration(), Checksum: index.Checksum()}
	data, err := proto.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode the configuration")
	}
	temporary := filepath.Join(s.folder, temporaryFile)
	if err := writeSynced(temporary, data); err != nil {
		return errors.Wrap(err, "write the configuration")
	}
	if err := os.Rename(temporary, s.path(index.Number())); err != nil {
		return errors.Wrap(err, "name the configuration's file")
	}
	if err := syncFolder(s.folder); err != nil {
		return errors.Wrap(err, "sync the folder of configurations")
	}
	s.wholeBytes = int64(len(data))
	s.changes = newJournal(s.folder, index.Number())
	// A journal of the same base would be one of another configuration that had
	// the same number.
	err = os.Remove(s.changes.path)
	s.changes.broken = err != nil && !errors.Is(err, fs.ErrNotExist)
	s.removeOld(index.Number())
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

// removeOld keeps the file just written and the newest one below it. Files with
// higher numbers were found damaged, or they would be in force.
func (s *store) removeOld(current uint64) {
	kept := 0
	for _, number := range s.numbers() {
		if number <= current && kept < keptFiles {
			kept++
			continue
		}
		// A file that stays behind does no harm; the next save tries again.
		_ = os.Remove(s.path(number))
		_ = os.Remove(journalPath(s.folder, number))
	}
}
