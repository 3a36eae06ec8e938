package loadshare

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/topology"
)

const (
	// repeatInterval is the time after which an unchanged digest is sent again: receivers drop
	// a sender that is silent for long.
	repeatInterval = 400 * time.Millisecond
	// delegateTimeout is how long the delegate of another group is remembered after its last
	// digest. Afterwards digests go to all relays and standbys of that group.
	delegateTimeout = 700 * time.Millisecond
	// relayTimeout is how long a process waits for a sum of its group before it considers all
	// relays silent. It exceeds a repeat and an interval. Plus two intervals of a group of 50, the
	// members know each other's loads again within a second. If only the delegate fails, the next
	// relay replaces it after delegateTimeout; standbys may act in between.
	relayTimeout = 600 * time.Millisecond
)

// Datagram is a bundle of digests with its receivers.
type Datagram struct {
	Receivers []netip.AddrPort
	Bundle    *rockwindpb.LoadBundle
	// CrossZone is set if the receivers belong to other groups.
	CrossZone bool
}

// Protocol decides what a process sends to whom, and what it accepts from others. It does no
// I/O and reads no clock: times are durations since an origin of the caller's choice. It is
// not safe for concurrent use.
type Protocol struct {
	name     string
	started  int64
	layout   *Layout
	sequence uint64
	history  history
	// lastOwn, lastMembers and lastGroups are what was last sent of this process's own load, to
	// the members of its group and to the other groups.
	lastOwn, lastMembers, lastGroups lastSent
	// delegates are those of the other groups, by group.
	delegates map[string]delegate
	// regions is the exchange between regions.
	regions regionExchange
	// relaySeenAt is when the last digest of a relay of this group arrived, and silent whether
	// the relays were silent at the last tick.
	relaySeenAt time.Duration
	silent      bool
	// grouped is whether the layout had groups at the last tick.
	grouped bool
}

// delegate is a process that sent the sum of its group.
type delegate struct {
	name string
	at   time.Duration
	// region is the region that it gave as its own; empty if it takes no part in the exchange between regions.
	region string
}

// NewProtocol returns the protocol of the named process, started at the given time in Unix
// milliseconds, on a site without other processes.
func NewProtocol(name string, startedUnixMs int64) *Protocol {
	return &Protocol{
		name: name, started: startedUnixMs, layout: NewLayout(nil, name, topology.Map{}), delegates: make(map[string]delegate),
		regions: newRegionExchange(),
	}
}

// SetLayout replaces the layout.
func (p *Protocol) SetLayout(layout *Layout) { p.layout = layout }

// Layout returns the current layout.
func (p *Protocol) Layout() *Layout { return p.layout }

// Tick returns the datagrams that are due.
func (p *Protocol) Tick(source Source, now time.Duration) []Datagram {
	var sent []Datagram
	if grouped := !p.layout.Mesh(); grouped != p.grouped {
		// In a mesh, or before this process knew the site, relays have not sent anything.
		p.grouped, p.relaySeenAt = grouped, now
	}
	silent := p.relaysSilent(now)
	if silent != p.silent {
		// The set of receivers changes, so the digest is due again.
		p.silent, p.lastOwn = silent, lastSent{}
	}
	if own := source.Own(); p.lastOwn.due(own, now) {
		p.sign(own)
		trimToFit(source, own)
		p.history.add(own)
		sent = append(sent, datagrams(p.layout.Receivers(silent), false, own)...)
	}
	if !p.isDelegate(source, now) {
		return sent
	}
	sum := source.Sum(p.layout.Members())
	// Each covered process other than this one has a stamp. Listed processes without a recent digest are not
	// counted, so that the others learn of their loss.
	sum.Group, sum.Members = p.layout.Group(), uint32(len(sum.GetStamps())+1)
	sent = append(sent, p.sendToMembers(source, proto.CloneOf(sum), now)...)
	sum.Stamps = nil
	sum.Region = p.layout.region
	sent = append(sent, p.sendToOtherGroups(source, sum, now)...)
	return append(sent, p.sendToOtherRegions(source, now)...)
}

// relaysSilent reports whether this process considers all relays of its group silent.
func (p *Protocol) relaysSilent(now time.Duration) bool {
	return p.grouped && !p.layout.IsRelay() && now-p.relaySeenAt > relayTimeout
}

// RelayStatus reports whether all relays of the group were silent at the last tick, and whether
// this process is one of the standbys that replace them.
func (p *Protocol) RelayStatus() (silent, standby bool) { return p.silent, p.layout.IsStandby() }

// isDelegate reports whether this process acts as the delegate of its group.
func (p *Protocol) isDelegate(source Source, now time.Duration) bool {
	if p.layout.IsDelegate(source.RecentlySeen) {
		return true
	}
	return p.relaysSilent(now) && p.layout.IsActingDelegate(source.RecentlySeen)
}

// sendToMembers sends the members of the group its sum and that of all other groups.
func (p *Protocol) sendToMembers(source Source, sum *rockwindpb.LoadDigest, now time.Duration) []Datagram {
	elsewhere := source.SumOtherGroups(p.layout.Group())
	elsewhere.Group, elsewhere.Elsewhere = p.layout.Group(), true
	content := bundle(sum, elsewhere)
	if !p.lastMembers.due(content, now) {
		return nil
	}
	p.sign(sum)
	p.sign(elsewhere)
	trimToFit(source, sum)
	trimToFit(source, elsewhere)
	return datagrams(p.layout.MemberAddresses(), false, sum, elsewhere)
}

// sendToOtherGroups sends the sum of this group to the other groups.
func (p *Protocol) sendToOtherGroups(source Source, sum *rockwindpb.LoadDigest, now time.Duration) []Datagram {
	tooSoon := p.lastGroups.last != nil && now-p.lastGroups.at < p.layout.GroupInterval()
	content := bundle(sum)
	if tooSoon || !p.lastGroups.due(content, now) {
		return nil
	}
	p.sign(sum)
	trimToFit(source, sum)
	return datagrams(p.otherDelegates(now), true, sum)
}

// sign sets this process as the sender of a digest, with the next sequence number.
func (p *Protocol) sign(digest *rockwindpb.LoadDigest) {
	p.sequence++
	digest.Sender, digest.Sequence, digest.StartedUnixMs = p.name, p.sequence, p.started
}

func bundle(digests ...*rockwindpb.LoadDigest) *rockwindpb.LoadBundle {
	return &rockwindpb.LoadBundle{Digests: digests}
}

// otherDelegates returns the receivers of this group's sum: the known delegate of each other
// group, which may be a standby, or all its relays and standbys if none is known. Otherwise two
// groups without relays would never find each other.
func (p *Protocol) otherDelegates(now time.Duration) []netip.AddrPort {
	var receivers []netip.AddrPort
	for _, group := range p.layout.OtherGroups() {
		if !p.inRegionExchange(group, now) {
			receivers = append(receivers, p.delegateAddresses(group, now)...)
		}
	}
	return receivers
}

// delegateAddresses returns the address of a group's delegate, or those of all its relays and standbys if it is
// not known.
func (p *Protocol) delegateAddresses(group Group, now time.Duration) []netip.AddrPort {
	if known, found := p.knownDelegate(group, now); found {
		member, _ := group.candidate(known.name)
		return []netip.AddrPort{member.address}
	}
	return group.candidateAddresses()
}

// knownDelegate returns the delegate of a group if it sent a digest recently and is still a candidate.
func (p *Protocol) knownDelegate(group Group, now time.Duration) (delegate, bool) {
	known, found := p.delegates[group.name]
	_, current := group.candidate(known.name)
	return known, found && current && now-known.at <= delegateTimeout
}

// Receive passes the accepted digests of a datagram to the source.
func (p *Protocol) Receive(source Source, received *rockwindpb.LoadBundle, now time.Duration) {
	for _, digest := range received.GetDigests() {
		if digest.GetSender() == "" || digest.GetSender() == p.name || !consistent(digest) || len(digest.GetZones()) > 0 {
			continue
		}
		if p.accepts(source, digest, now) {
			source.Take(digest)
		}
	}
	for _, digest := range received.GetRegions() {
		p.receiveRegion(source, digest, now)
	}
}

// accepts reports whether a digest is the best information available to this process. It
// subtracts this process's own load from the sum of its group.
func (p *Protocol) accepts(source Source, digest *rockwindpb.LoadDigest, now time.Duration) bool {
	switch group := digest.GetGroup(); {
	case group == "":
		// While a relay is alive, its sum covers the members.
		return p.layout.Mesh() || p.layout.IsRelay() || p.relaysSilent(now)
	case group != p.layout.Group():
		p.noteNewcomer(group, digest.GetSender(), now)
		p.delegates[group] = delegate{name: digest.GetSender(), at: now, region: digest.GetRegion()}
		return !digest.GetElsewhere() && (!p.layout.IsStandby() || p.relaysSilent(now))
	case p.layout.HasStandby(digest.GetSender()):
		return p.acceptsFromStandby(source, digest, now)
	}
	p.relaySeenAt = now
	switch {
	case digest.GetElsewhere():
		return !p.layout.IsDelegate(source.RecentlySeen)
	case p.layout.IsRelay():
		// Relays receive the members' digests directly.
		return false
	}
	p.history.subtractOwn(digest)
	return true
}

// acceptsFromStandby is accepts for digests of this group's standbys.
func (p *Protocol) acceptsFromStandby(source Source, digest *rockwindpb.LoadDigest, now time.Duration) bool {
	switch {
	case !p.relaysSilent(now):
		return false
	case digest.GetElsewhere():
		return !p.isDelegate(source, now)
	case p.layout.IsStandby():
		// Standbys receive the members' digests directly.
		return false
	}
	p.history.subtractOwn(digest)
	return true
}

// consistent reports whether the lists of a digest have equal lengths.
func consistent(digest *rockwindpb.LoadDigest) bool {
	servers, far := len(digest.GetServers()), len(digest.GetFar())
	return (far == 0 || far == servers) && len(digest.GetInflight()) == servers && len(digest.GetUnread()) == servers &&
		len(digest.GetBatch()) == servers && len(digest.GetSuspects()) == servers && consistentPaces(digest)
}

// consistentPaces reports whether the lists of paces are all empty or as long as that of servers.
func consistentPaces(digest *rockwindpb.LoadDigest) bool {
	paced := len(digest.GetToldPaces())
	return (paced == 0 || paced == len(digest.GetServers())) &&
		len(digest.GetToldVoices()) == paced && len(digest.GetSeenPaces()) == paced && len(digest.GetSeenVoices()) == paced
}

// lastSent is what was last sent to one set of receivers.
type lastSent struct {
	last proto.Message
	at   time.Duration
}

// due reports whether a message must be sent because it differs from the last one or the last one
// is too old. If so, it is recorded as sent. Callers sign it afterwards.
func (s *lastSent) due(next proto.Message, now time.Duration) bool {
	if s.last != nil && proto.Equal(s.last, next) && now-s.at < repeatInterval {
		return false
	}
	s.last, s.at = proto.Clone(next), now
	return true
}
