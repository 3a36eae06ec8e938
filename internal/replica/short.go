package replica

import (
	"github.com/apex/log"

	"rockwind.example/rockwind/internal/replica/pieces"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/wal"
)

// shortener tells entries to members by reference to entries that they hold, in one leadership.
// The zero value has heard of no member that understands it. It belongs to the owner goroutine.
// The result of an item repeats its progress: it takes 0.5 KB on a link instead of 7.2 KB, and an
// item with its progress half as much as before (docs/design/item-progress.md).
//
// Logs, states and snapshots hold whole entries, so it doesn't matter to them which version a
// member has, had or will have. A message that cannot be made whole is one that was lost.
type shortener struct {
	coder   *pieces.Coder
	members map[uint64]shortMember
}

// shortMember is what is known of a member.
type shortMember struct {
	// takes tells that its last reply said that it understands short entries.
	takes bool
	// from is the index of the first entry that it may be referred to.
	from uint64
}

// heard notes what a reply tells of its sender, who may have been replaced by another version.
func (s *shortener) heard(message *rockwindpb.Message) {
	if !isReply(message) {
		return
	}
	member := s.members[message.GetFrom()]
	if member.takes == message.GetTakesShort() {
		return
	}
	if s.members == nil {
		s.members = make(map[uint64]shortMember)
	}
	member.takes = message.GetTakesShort()
	s.members[message.GetFrom()] = member
}

func isReply(message *rockwindpb.Message) bool {
	switch message.GetKind() {
	case rockwindpb.MessageKind_MESSAGE_KIND_APPEND_REPLY, rockwindpb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY:
		return true
	}
	return false
}

// outgoing is the message as it is sent.
func (s *shortener) outgoing(message *rockwindpb.Message) *rockwindpb.Message {
	if isReply(message) {
		message.TakesShort = true
		return message
	}
	if message.GetKind() != rockwindpb.MessageKind_MESSAGE_KIND_APPEND || len(message.GetEntries()) == 0 {
		return message
	}
	return s.shorten(message)
}

// shorten tells entries by reference where that saves something and the member can use it.
func (s *shortener) shorten(message *rockwindpb.Message) *rockwindpb.Message {
	member := s.members[message.GetTo()]
	if !member.takes {
		return message
	}
	if s.coder == nil {
		s.coder = &pieces.Coder{}
	}
	saves := false
	told := make([]*rockwindpb.ShortEntry, 0, len(message.GetEntries()))
	for _, entry := range message.GetEntries() {
		short := &rockwindpb.ShortEntry{Term: entry.GetTerm(), Index: entry.GetIndex(), Kind: entry.GetKind(), Checksum: wal.Checksum(entry.GetData())}
		cut, oldest := s.coder.Code(entry.GetIndex(), entry.GetData())
		if oldest != 0 && oldest >= member.from {
			short.Pieces, saves = cut, true
		} else {
			short.Pieces = []*rockwindpb.Piece{{Literal: entry.GetData()}}
		}
		told = append(told, short)
	}
	if !saves {
		return message
	}
	return &rockwindpb.Message{
		Kind: rockwindpb.MessageKind_MESSAGE_KIND_SHORT_APPEND, From: message.GetFrom(), To: message.GetTo(), Term: message.GetTerm(),
		LogTerm: message.GetLogTerm(), Index: message.GetIndex(), Commit: message.GetCommit(), ShortEntries: told,
	}
}

// whole makes an append of a short one. Where that cannot be, it has no entries, as if they had
// been lost, and the leader is asked for whole ones.
func (o *owner) whole(message *rockwindpb.Message) *rockwindpb.Message {
	appended := &rockwindpb.Message{
		Kind: rockwindpb.MessageKind_MESSAGE_KIND_APPEND, From: message.GetFrom(), To: message.GetTo(), Term: message.GetTerm(),
		LogTerm: message.GetLogTerm(), Index: message.GetIndex(), Commit: message.GetCommit(),
	}
	// Logs that agree on the entry before the first one agree on all that is referred to. Where
	// they don't, the core refuses the append, and there is nothing to be made whole.
	if !o.node.Matches(message.GetIndex(), message.GetLogTerm()) {
		return appended
	}
	entries, found := o.join(message)
	if !found {
		log.WithField("group", o.id).WithField("index", message.GetIndex()).Info("entries refer to what is not held, whole ones are asked for")
		o.host.transport.send(o.route(message.GetFrom()), o.id, &rockwindpb.Message{
			Kind: rockwindpb.MessageKind_MESSAGE_KIND_WANT_WHOLE, From: message.GetTo(), To: message.GetFrom(), Term: message.GetTerm(),
		})
		return appended
	}
	appended.Entries = entries
	return appended
}

// join makes the entries of a message whole; found is false where one cannot be.
func (o *owner) join(message *rockwindpb.Message) (entries []*rockwindpb.Entry, found bool) {
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
		data, held := pieces.Join(short.GetIndex(), short.GetPieces(), earlier)
		if !held || wal.Checksum(data) != short.GetChecksum() {
			return nil, false
		}
		entries = append(entries, &rockwindpb.Entry{Term: short.GetTerm(), Index: short.GetIndex(), Kind: short.GetKind(), Data: data})
	}
	return entries, true
}

// sendWhole has a member get whole entries that it could not make whole, and refers to nothing
// before what comes from now on.
func (o *owner) sendWhole(message *rockwindpb.Message) {
	status := o.node.Status()
	member, known := o.short.members[message.GetFrom()]
	if !known || message.GetTerm() != status.Term {
		return
	}
	member.from = status.LastIndex + 1
	o.short.members[message.GetFrom()] = member
	o.node.ReportUnreachable(message.GetFrom())
}
