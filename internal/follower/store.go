package follower

import (
	"bytes"
	"fmt"
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

// keptFiles is how many configurations stay on disk: the one in force and the
// one before, in case the newest file cannot be read any more.
const keptFiles = 2

const (
	folderPermissions = 0o750
	filePermissions   = 0o640
)

// store keeps configurations on disk, a file each.
type store struct {
	folder string
}

func openStore(folder string) (*store, error) {
	if err := os.MkdirAll(folder, folderPermissions); err != nil {
		return nil, errors.Wrap(err, "create the folder for configurations")
	}
	return &store{folder: folder}, nil
}

// load returns the newest configuration that is intact, or the empty one, and
// the errors of files that are not.
func (s *store) load() (*configuration.Index, []error) {
	var damaged []error
	for _, number := range s.numbers() {
		index, err := s.read(number)
		if err == nil {
			return index, damaged
		}
		damaged = append(damaged, err)
	}
	return configuration.Empty(), damaged
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

// save returns once the configuration is synced under its own name. Older files
// but one are removed afterwards.
func (s *store) save(index *configuration.Index) error {
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
	}
}
