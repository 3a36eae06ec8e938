package wal

import (
	"crypto/rand"
	"encoding/binary"
	"io/fs"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/fault"
)

const identityName = "identity"

// loadIdentity reads the identity of the disk, or creates one if the disk has none.
// A new identity is durable before it is returned, so that no message carries an
// identity that a restart could change.
func loadIdentity(fileSystem FileSystem, folder string) (uint64, error) {
	path := filepath.Join(folder, identityName)
	content, err := fileSystem.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return createIdentity(fileSystem, folder)
	}
	if err != nil {
		return 0, errors.Wrap(err, "read disk identity")
	}
	payload, next, state := readFrame(content, 0)
	if state != frameValid || len(payload) != 8 || next != int64(len(content)) {
		return 0, corruptFault(path, 0, "the identity of this disk is damaged")
	}
	return binary.LittleEndian.Uint64(payload), nil
}

func createIdentity(fileSystem FileSystem, folder string) (uint64, error) {
	names, err := fileSystem.List(filepath.Join(folder, segmentFolder))
	if err != nil {
		return 0, errors.Wrap(err, "list log segments")
	}
	if len(names) > 0 {
		return 0, corruptFault(filepath.Join(folder, identityName), 0,
			"the identity of this disk is missing while its log is there")
	}
	identity := randomIdentity()
	content := appendFrame(nil, binary.LittleEndian.AppendUint64(nil, identity))
	if err := WriteAtomically(fileSystem, folder, identityName, content); err != nil {
		return 0, errors.Wrap(err, "write disk identity")
	}
	return identity, nil
}

func randomIdentity() uint64 {
	for {
		var content [8]byte
		// crypto/rand.Read never returns an error.
		_, _ = rand.Read(content[:])
		if identity := binary.LittleEndian.Uint64(content[:]); identity != 0 {
			return identity
		}
	}
}

// corruptFault reports a file whose content is not what was written.
func corruptFault(path string, offset int64, message string) *fault.Fault {
	return fault.Newf(fault.Corrupt,
		"stop this machine's control process, move its data folder away and start it with an empty one: "+
			"it joins its groups again and copies everything from the other replicas",
		"%s: file %s, offset %d", message, path, offset)
}
