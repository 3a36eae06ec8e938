package replica

import (
	"github.com/apex/log"

	"rockwind.example/rockwind/internal/replica/pieces"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/wal"
)

// shortEntryEncoder encodes entries for members by reference to earlier entries in
// their logs, during one leadership. The result of an item repeats its progress,
// which is then not sent again (docs/design/item-progress.md). It is used only by
// the owner goroutine. The zero value assumes that no member supports short
// entries.
//
// Logs, states and snapshots hold complete entries, so they do not depend on the
// version of a member. A message that cannot be expanded is treated as lost.
type shortEntryEncoder struct {
	coder   *pieces.Encoder
	members map[uint64]shortEntryMember
}

// shortEntryMember is what the encoder knows about a member.
type shortEntryMember struct {
	// supported is set if its last reply said that it accepts short entries.
	supported bool
	// firstReference is the index of the first entry that references may use.
	firstReference uint64
}

// noteReply records whether the sender of a reply supports short entries. The sender
// may have been upgraded or downgraded since its last reply.
func (s *shortEntryEncoder) noteReply(message *rockwindpb.Message) {
	if !isReply(message) {
		return
	}
	member := s.members[message.GetFrom()]
	if member.supported == message.GetTakesShort() {
		return
	}
	if s.members == nil {
		s.members = make(map[uint64]shortEntryMember)
	}
	member.supported = message.GetTakesShort()
	s.members[message.GetFrom()] = member
}

func isReply(message *rockwindpb.Message) bool {
	switch message.GetKind() {
	case rockwindpb.MessageKind_MESSAGE_KIND_APPEND_REPLY, rockwindpb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY:
		return true
	}
	return false
}

// encodeOutgoing returns the message as it is to be sent.
func (s *shortEntryEncoder) encodeOutgoing(message *rockwindpb.Message) *rockwindpb.Message {
	if isReply(message) {
		message.TakesShort = true
		return message
	}
	if message.GetKind() != rockwindpb.MessageKind_MESSAGE_KIND_APPEND || len(message.GetEntries()) == 0 {
		return message
	}
	return s.encodeEntries(message)
}

// encodeEntries encodes entries by reference if the member supports it and it saves
// space.
func (s *shortEntryEncoder) encodeEntries(message *rockwindpb.Message) *rockwindpb.Message {
	member := s.members[message.GetTo()]
	if !member.supported {
		return message
	}
	if s.coder == nil {
		s.coder = &pieces.Encoder{}
	}
	saves := false
	shortened := make([]*rockwindpb.ShortEntry, 0, len(message.GetEntries()))
	for _, entry := range message.GetEntries() {
		short := &rockwindpb.ShortEntry{Term: entry.GetTerm(), Index: entry.GetIndex(), Kind: entry.GetKind(), Checksum: wal.Checksum(entry.GetData())}
		var parts []*rockwindpb.Piece
		var oldest uint64
		// The search for references in a large entry would delay the heartbeats of the leader, and the window
		// can't hold the entry.
		if len(entry.GetData()) <= pieces.WindowBytes {
			parts, oldest = s.coder.Encode(entry.GetIndex(), entry.GetData())
		}
		if oldest != 0 && oldest >= member.firstReference {
			short.Pieces, saves = parts, true
		} else {
			short.Pieces = []*rockwindpb.Piece{{Literal: entry.GetData()}}
		}
		shortened = append(shortened, short)
	}
	if !saves {
		return message
	}
	return &rockwindpb.Message{
		Kind: rockwindpb.MessageKind_MESSAGE_KIND_SHORT_APPEND, From: message.GetFrom(), To: message.GetTo(), Term: message.GetTerm(),
		LogTerm: message.GetLogTerm(), Index: message.GetIndex(), Commit: message.GetCommit(), ShortEntries: shortened,
	}
}

// expandAppend converts a short append to a regular one. If that is impossible, the
// result has no entries, and the leader is asked for complete ones.
func (o *owner) expandAppend(message *rockwindpb.Message) *rockwindpb.Message {
	appended := &rockwindpb.Message{
		Kind: rockwindpb.MessageKind_MESSAGE_KIND_APPEND, From: message.GetFrom(), To: message.GetTo(), Term: message.GetTerm(),
		LogTerm: message.GetLogTerm(), Index: message.GetIndex(), Commit: message.GetCommit(),
	}
	// Logs that agree on the entry before the first one agree on all referenced
	// entries. If they do not, the Raft node rejects the append anyway.
	if !o.node.Matches(message.GetIndex(), message.GetLogTerm()) {
		return appended
	}
	entries, found := o.expandEntries(message)
	if !found {
		log.WithField("group", o.id).WithField("index", message.GetIndex()).Info("entries refer to what is not held, whole ones are asked for")
		o.host.transport.send(o.replyRoute(message.GetFrom()), o.id, &rockwindpb.Message{
			Kind: rockwindpb.MessageKind_MESSAGE_KIND_WANT_WHOLE, From: message.GetTo(), To: message.GetFrom(), Term: message.GetTerm(),
		})
		return appended
	}
	appended.Entries = entries
	return appended
}

// expandEntries restores the complete entries of a message; found is false if a
// referenced entry is missing or a checksum differs.
func (o *owner) expandEntries(message *rockwindpb.Message) (entries []*rockwindpb.Entry, found bool) {
	first := message.GetIndex() + 1
	earlier := func(index uint64) ([]byte, bool) {
		if index >= first {
			if index-first >= uint64(len(entries)) {
				return nil, false
			}
			return entries[index-first].GetData(), true
		}
		held, err := o.node.Entry(index)
		return held.GetData(), err == nil
	}
	for position, short := range message.GetShortEntries() {
		if short.GetIndex() != first+uint64(position) {
			return nil, false
		}
		data, held := pieces.Decode(short.GetIndex(), short.GetPieces(), earlier)
		if !held || wal.Checksum(data) != short.GetChecksum() {
			return nil, false
		}
		entries = append(entries, &rockwindpb.Entry{Term: short.GetTerm(), Index: short.GetIndex(), Kind: short.GetKind(), Data: data})
	}
	return entries, true
}

// handleFullEntriesRequest resends complete entries to a member that could not expand short
// ones, and limits further references to entries that follow.
func (o *owner) handleFullEntriesRequest(message *rockwindpb.Message) {
	status := o.node.Status()
	member, known := o.shortEntries.members[message.GetFrom()]
	if !known || message.GetTerm() != status.Term {
		return
	}
	member.firstReference = status.LastIndex + 1
	o.shortEntries.members[message.GetFrom()] = member
	o.node.ReportUnreachable(message.GetFrom())
}
