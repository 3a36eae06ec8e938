package replica

import (
	"encoding/binary"
	"io/fs"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/wal"
)

// clusterFileName is the file that stores the cluster of a machine. It is synced
// before the machine takes part in any group.
const clusterFileName = "cluster"

const clusterHeaderBytes = 12

// cluster is the cluster that this machine belongs to, with its groups and their
// memberships at the time of founding or joining.
type cluster struct {
	id     string
	groups []*rockwindpb.FoundingGroup
}

// loadCluster reads the cluster file. It returns nil if the machine belongs to no
// cluster. It rejects a file of another disk: in a data folder that mixes files of
// several disks, the machine could vote twice in a term.
func loadCluster(fileSystem wal.FileSystem, folder string, disk uint64) (*cluster, error) {
	path := filepath.Join(folder, clusterFileName)
	content, err := fileSystem.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read cluster file")
	}
	if len(content) < clusterHeaderBytes || wal.Checksum(content[4:]) != binary.LittleEndian.Uint32(content) {
		return nil, damagedFolder("the file " + path + " fails its checksum")
	}
	if binary.LittleEndian.Uint64(content[4:]) != disk {
		return nil, damagedFolder("the file " + path + " was written with another disk identity")
	}
	stored := &rockwindpb.FoundRequest{}
	if err := proto.Unmarshal(content[clusterHeaderBytes:], stored); err != nil {
		return nil, damagedFolder("the file " + path + " cannot be read")
	}
	return &cluster{id: stored.GetClusterId(), groups: stored.GetGroups()}, nil
}

func saveCluster(fileSystem wal.FileSystem, folder string, disk uint64, c *cluster) error {
	body, err := proto.Marshal(&rockwindpb.FoundRequest{ClusterId: c.id, Groups: c.groups})
	if err != nil {
		return errors.Wrap(err, "encode cluster file")
	}
	content := make([]byte, clusterHeaderBytes, clusterHeaderBytes+len(body))
	binary.LittleEndian.PutUint64(content[4:], disk)
	content = append(content, body...)
	binary.LittleEndian.PutUint32(content, wal.Checksum(content[4:]))
	return wal.WriteAtomically(fileSystem, folder, clusterFileName, content)
}

func damagedFolder(message string) error {
	return fault.New(fault.Corrupt, message,
		"stop this machine's control process, move its data folder away and start it with an empty one: "+
			"it joins its groups again and copies everything from the other replicas")
}

// foundingMembership returns the membership that a group was founded with, or nil
// if this disk is not one of its voters.
func foundingMembership(membership *rockwindpb.Membership, disk uint64) *rockwindpb.Membership {
	member := memberByID(membership, disk)
	if member == nil || member.GetLearner() {
		return nil
	}
	return membership
}

func memberByID(membership *rockwindpb.Membership, id uint64) *rockwindpb.Member {
	for _, member := range membership.GetMembers() {
		if member.GetId() == id {
			return member
		}
	}
	return nil
}

func hasMachine(membership *rockwindpb.Membership, machine string) bool {
	for _, member := range membership.GetMembers() {
		if member.GetMachine() == machine {
			return true
		}
	}
	return false
}
