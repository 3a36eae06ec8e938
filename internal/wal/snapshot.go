package wal

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	snapshotFolder  = "snapshots"
	snapshotSuffix  = ".snapshot"
	temporarySuffix = ".temporary"
)

func snapshotName(group uint32, metadata *rockwindpb.SnapshotMetadata) string {
	return fmt.Sprintf("%08x-%016x-%016x%s", group, metadata.Index, metadata.Term, snapshotSuffix)
}

// SaveSnapshot writes a snapshot file and returns its metadata with size and
// checksum. The snapshot takes effect when an Update with this metadata is written.
// SaveSnapshot may run concurrently with Write.
func (l *Log) SaveSnapshot(group uint32, metadata *rockwindpb.SnapshotMetadata, content []byte) (*rockwindpb.SnapshotMetadata, error) {
	saved := proto.CloneOf(metadata)
	saved.Size = uint64(len(content))
	saved.Checksum = Checksum(content)
	description, err := proto.Marshal(saved)
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot metadata")
	}
	head := appendFrame(make([]byte, 0, frameHeaderBytes+len(description)), description)
	folder := filepath.Join(l.options.Folder, snapshotFolder)
	if err := WriteAtomically(l.options.FileSystem, folder, snapshotName(group, saved), head, content); err != nil {
		return nil, diskFault(err, "write snapshot")
	}
	return saved, nil
}

// LoadSnapshot reads a snapshot and verifies its checksum.
func (l *Log) LoadSnapshot(group uint32, metadata *rockwindpb.SnapshotMetadata) ([]byte, error) {
	path := filepath.Join(l.options.Folder, snapshotFolder, snapshotName(group, metadata))
	file, err := l.options.FileSystem.ReadFile(path)
	if err != nil {
		return nil, corruptFault(path, 0, "a snapshot cannot be read ("+err.Error()+")")
	}
	_, next, state := readFrame(file, 0)
	if state != frameValid {
		return nil, corruptFault(path, 0, "the head of a snapshot fails its checksum")
	}
	content := file[next:]
	if uint64(len(content)) != metadata.Size || Checksum(content) != metadata.Checksum {
		return nil, corruptFault(path, next, "a snapshot fails its checksum")
	}
	return content, nil
}

// removeOldSnapshots deletes the snapshot files of a group that are older than the
// newest one.
func (l *Log) removeOldSnapshots(group uint32, newest *rockwindpb.SnapshotMetadata) error {
	folder := filepath.Join(l.options.Folder, snapshotFolder)
	names, err := l.options.FileSystem.List(folder)
	if err != nil {
		return err
	}
	keep := snapshotName(group, newest)
	prefix := fmt.Sprintf("%08x-", group)
	for _, name := range names {
		if !strings.HasPrefix(name, prefix) || strings.HasSuffix(name, temporarySuffix) || name >= keep {
			continue
		}
		if err := l.options.FileSystem.Remove(filepath.Join(folder, name)); err != nil {
			return err
		}
	}
	return nil
}

// removeTemporaryFiles deletes incomplete files that a crash left behind.
func removeTemporaryFiles(fileSystem FileSystem, folder string) error {
	names, err := fileSystem.List(folder)
	if err != nil {
		return err
	}
	for _, name := range names {
		if !strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		if err := fileSystem.Remove(filepath.Join(folder, name)); err != nil {
			return err
		}
	}
	return nil
}
