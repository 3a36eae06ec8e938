package ledger

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// storedFile is an uploaded file; its bodies are in segments.
type storedFile struct {
	definition *rockwindpb.StoredFile
	// kept is the time from which the retention counts.
	kept int64
}

// putFile stores the directory entry of a file; a resend answers the first.
func (l *Ledger) putFile(now int64, request *rockwindpb.PutFileRequest) (*rockwindpb.PutFileResponse, *fault.Fault) {
	file := request.GetFile()
	if shard, valid := ShardOfFile(file.GetId()); !valid || shard != l.shard {
		return nil, fault.Newf(fault.InvalidArgument, "store the file in the shard that its identifier names",
			"%q is no identifier of a file of shard %d", file.GetId(), l.shard)
	}
	if file.Tenant == "" {
		return nil, fault.New(fault.InvalidArgument, "the file names no tenant", "name the tenant")
	}
	if earlier, found := l.files[file.Id]; found {
		return answerEarlierFile(earlier, file)
	}
	added := &storedFile{definition: proto.CloneOf(file), kept: now}
	added.definition.CreatedUnixMs = now
	l.files[file.Id] = added
	l.fileDue.add(now, file.Id)
	return &rockwindpb.PutFileResponse{File: proto.CloneOf(added.definition)}, nil
}

func answerEarlierFile(earlier *storedFile, file *rockwindpb.StoredFile) (*rockwindpb.PutFileResponse, *fault.Fault) {
	first := earlier.definition
	if first.Tenant != file.Tenant || !bytes.Equal(first.Digest, file.Digest) {
		return nil, fault.Newf(fault.Conflict, "store the file under a new identifier",
			"the file identifier %s is taken", file.Id)
	}
	return &rockwindpb.PutFileResponse{File: proto.CloneOf(first)}, nil
}
