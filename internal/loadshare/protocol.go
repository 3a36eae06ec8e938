package loadshare

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// repeatInterval is the time after which a digest is sent although nothing has
	// changed: receivers forget a sender that is silent for long.
	repeatInterval = 400 * time.Millisecond
	// delegateFor is how long the delegate of another group counts as such after its last
	// digest. Afterwards all relays and standbys of that group are told.
	delegateFor = 700 * time.Millisecond
	// relaysSilentAfter is how long a process hears no sum of its group until it takes all relays for
	// silent: longer than a repeat and a turn. With two turns in a group of 50 the members know of each
	// other again within a second. Where only the delegate is lost, its follower is there
	// after delegateFor, and standbys may fill the time between.
	relaysSilentAfter = 600 * time.Millisecond
)

// Datagram is a bundle of digests with those that it goes to.
type Datagram struct {
	Receivers []netip.AddrPort
	Bundle    *rockwindpb.LoadBundle
	// CrossZone tells that the receivers are of other groups.
	CrossZone bool
}

// Protocol decides what a process tells whom, and what it takes from others. It does no
// I/O and reads no clock; times are durations since an origin of the caller's choice. It
// belongs to one goroutine at a time.
type Protocol struct {
	name     string
	started  int64
	layout   *Layout
	sequence uint64
	history  history
	// own, inside and outside are what was told last of this process, to the members of
	// its group and to the other groups.
	own, inside, outside sending
	// delegates are those of the other groups, by group.
	delegates map[string]delegate
	// relayAt is when a relay of this group was heard last, and missed tells that the relays
	// were silent at the last turn.
	relayAt time.Duration
	missed  bool
	// grouped tells that the layout had groups at the last turn.
	grouped bool
}

// delegate is a process that told the sum of its group.
type delegate struct {
	name string
	at   time.Duration
}

// NewProtocol returns the protocol of the named process, whose life began at the given
// time in Unix milliseconds, on a site without other processes.
func NewProtocol(name string, startedUnixMs int64) *Protocol {
	return &Protocol{
		name: name, started: startedUnixMs, layout: NewLayout(nil, name), delegates: make(map[string]delegate),
	}
}

// SetLayout replaces the processes that digests go to.
func (p *Protocol) SetLayout(layout *Layout) { p.layout = layout }

// Layout is the layout in force.
func (p *Protocol) Layout() *Layout { return p.layout }

// Tick returns what is to be sent now.
func (p *Protocol) Tick(source Source, now time.Duration) []Datagram {
	var sent []Datagram
	if grouped := !p.layout.Mesh(); grouped != p.grouped {
		// Relays have not told anything in a mesh, nor before this process knew the site.
		p.grouped, p.relayAt = grouped, now
	}
	silent := p.relaysSilent(now)
	if silent != p.missed {
		// Others are told from now on, who know nothing of this process yet.
		p.missed, p.own = silent, sending{}
	}
	if own := source.Own(); p.own.due(own, now) {
		p.sign(own)
		fit(source, own)
		p.history.add(own)
		sent = append(sent, datagrams(p.layout.Receivers(silent), false, own)...)
	}
	if !p.isDelegate(source, now) {
		return sent
	}
	sum := source.Sum(p.layout.Members())
	sum.Group, sum.Members = p.layout.Group(), uint32(len(p.layout.members))
	sent = append(sent, p.tellMembers(source, proto.CloneOf(sum), now)...)
	sum.Stamps = nil
	return append(sent, p.tellOthers(source, sum, now)...)
}

// relaysSilent tells whether this process takes all relays of its group for silent.
func (p *Protocol) relaysSilent(now time.Duration) bool {
	return p.grouped && !p.layout.IsRelay() && now-p.relayAt > relaysSilentAfter
}

// RelayStatus tells whether this process took all relays of its group for silent at its last turn,
// and whether it is one of those that stand in for them.
func (p *Protocol) RelayStatus() (missed, standby bool) { return p.missed, p.layout.IsStandby() }

// isDelegate tells whether this process is the delegate of its group.
func (p *Protocol) isDelegate(source Source, now time.Duration) bool {
	if p.layout.IsDelegate(source.Heard) {
		return true
	}
	return p.relaysSilent(now) && p.layout.IsActingDelegate(source.Heard)
}

// tellMembers tells the members of the group its sum and that of all others.
func (p *Protocol) tellMembers(source Source, sum *rockwindpb.LoadDigest, now time.Duration) []Datagram {
	elsewhere := source.SumOtherGroups(p.layout.Group())
	elsewhere.Group, elsewhere.Elsewhere = p.layout.Group(), true
	told := bundle(sum, elsewhere)
	if !p.inside.due(told, now) {
		return nil
	}
	p.sign(sum)
	p.sign(elsewhere)
	fit(source, sum)
	fit(source, elsewhere)
	return datagrams(p.layout.MemberAddresses(), false, sum, elsewhere)
}

// tellOthers tells the other groups the sum of this one.
func (p *Protocol) tellOthers(source Source, sum *rockwindpb.LoadDigest, now time.Duration) []Datagram {
	soon := p.outside.last != nil && now-p.outside.at < p.layout.GroupInterval()
	told := bundle(sum)
	if soon || !p.outside.due(told, now) {
		return nil
	}
	p.sign(sum)
	fit(source, sum)
	return datagrams(p.otherDelegates(now), true, sum)
}

// sign names this process as the sender of a digest.
func (p *Protocol) sign(digest *rockwindpb.LoadDigest) {
	p.sequence++
	digest.Sender, digest.Sequence, digest.StartedUnixMs = p.name, p.sequence, p.started
}

func bundle(digests ...*rockwindpb.LoadDigest) *rockwindpb.LoadBundle {
	return &rockwindpb.LoadBundle{Digests: digests}
}

// otherDelegates lists whom the sum of this group goes to: in each other group the
// delegate, which may be a standby, or all relays and standbys where none was heard lately:
// two groups without relays would not find each other otherwise.
func (p *Protocol) otherDelegates(now time.Duration) []netip.AddrPort {
	var receivers []netip.AddrPort
	for _, group := range p.layout.OtherGroups() {
		known, found := p.delegates[group.name]
		member, placed := group.candidate(known.name)
		if found && placed && now-known.at <= delegateFor {
			receivers = append(receivers, member.address)
			continue
		}
		for _, candidate := range group.candidates() {
			receivers = append(receivers, candidate.address)
		}
	}
	return receivers
}

// Receive hands the source what a datagram tells of others.
func (p *Protocol) Receive(source Source, received *rockwindpb.LoadBundle, now time.Duration) {
	for _, digest := range received.GetDigests() {
		if digest.GetSender() == "" || digest.GetSender() == p.name || !consistent(digest) {
			continue
		}
		if p.wanted(source, digest, now) {
			source.Take(digest)
		}
	}
}

// wanted tells whether a digest says something that this process does not know better. It
// takes this process's own part out of the sum of its group.
func (p *Protocol) wanted(source Source, digest *rockwindpb.LoadDigest, now time.Duration) bool {
	switch group := digest.GetGroup(); {
	case group == "":
		// Who hears a relay knows of the members by its sum.
		return p.layout.Mesh() || p.layout.IsRelay() || p.relaysSilent(now)
	case group != p.layout.Group():
		p.delegates[group] = delegate{name: digest.GetSender(), at: now}
		return !digest.GetElsewhere() && (!p.layout.IsStandby() || p.relaysSilent(now))
	case p.layout.HasStandby(digest.GetSender()):
		return p.wantedOfStandby(source, digest, now)
	}
	p.relayAt = now
	switch {
	case digest.GetElsewhere():
		return !p.layout.IsDelegate(source.Heard)
	case p.layout.IsRelay():
		// Members tell the relays themselves.
		return false
	}
	p.history.takeOut(digest)
	return true
}

// wantedOfStandby is wanted for what a standby tells of this group, or of all others.
func (p *Protocol) wantedOfStandby(source Source, digest *rockwindpb.LoadDigest, now time.Duration) bool {
	switch {
	case !p.relaysSilent(now):
		return false
	case digest.GetElsewhere():
		return !p.isDelegate(source, now)
	case p.layout.IsStandby():
		// Members tell the standbys themselves.
		return false
	}
	p.history.takeOut(digest)
	return true
}

// consistent tells whether the lists of a digest run beside each other.
func consistent(digest *rockwindpb.LoadDigest) bool {
	servers := len(digest.GetServers())
	return len(digest.GetInflight()) == servers && len(digest.GetUnread()) == servers &&
		len(digest.GetBatch()) == servers && len(digest.GetSuspects()) == servers && consistentPaces(digest)
}

// consistentPaces tells whether the lists of paces run beside the servers, or are all empty.
func consistentPaces(digest *rockwindpb.LoadDigest) bool {
	paced := len(digest.GetToldPaces())
	return (paced == 0 || paced == len(digest.GetServers())) &&
		len(digest.GetToldVoices()) == paced && len(digest.GetSeenPaces()) == paced && len(digest.GetSeenVoices()) == paced
}

// sending remembers what was sent last.
type sending struct {
	last proto.Message
	at   time.Duration
}

// due tells whether something has to be sent: it differs from what was sent last, or that
// was sent long ago. It counts as sent then. The sender signs it afterwards.
func (s *sending) due(next proto.Message, now time.Duration) bool {
	if s.last != nil && proto.Equal(s.last, next) && now-s.at < repeatInterval {
		return false
	}
	s.last, s.at = proto.Clone(next), now
	return true
}
