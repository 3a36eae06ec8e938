package ledger

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// storedFile is the metadata of an uploaded file. The content is stored in segments.
type storedFile struct {
	definition *rockwindpb.StoredFile
	// retentionStart is the time from which the retention counts.
	retentionStart int64
}

// putFile stores the metadata of a file. A repeated request returns the stored
// metadata.
func (l *Ledger) putFile(now int64, request *rockwindpb.PutFileRequest) (*rockwindpb.PutFileResponse, *fault.Fault) {
	file := request.GetFile()
	if shard, valid := ShardOfFile(file.GetId()); !valid || shard != l.shard {
		return nil, fault.Newf(fault.InvalidArgument, "store the file in the shard named in its identifier",
			"%q is not a file identifier of shard %d", file.GetId(), l.shard)
	}
	if file.Tenant == "" {
		return nil, fault.New(fault.InvalidArgument, "the file has no tenant", "name the tenant")
	}
	if existing, exists := l.files[file.Id]; exists {
		return answerDuplicateFile(existing, file)
	}
	added := &storedFile{definition: proto.CloneOf(file), retentionStart: now}
	added.definition.CreatedUnixMs = now
	l.files[file.Id] = added
	l.fileRetention.add(now, file.Id)
	return &rockwindpb.PutFileResponse{File: proto.CloneOf(added.definition)}, nil
}

func answerDuplicateFile(existing *storedFile, file *rockwindpb.StoredFile) (*rockwindpb.PutFileResponse, *fault.Fault) {
	original := existing.definition
	if original.Tenant != file.Tenant || !bytes.Equal(original.Digest, file.Digest) {
		return nil, fault.Newf(fault.Conflict, "store the file under a new identifier",
			"the file identifier %s is already in use", file.Id)
	}
	return &rockwindpb.PutFileResponse{File: proto.CloneOf(original)}, nil
}
