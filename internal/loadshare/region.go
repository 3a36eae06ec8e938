package loadshare

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// regionDelegateTimeout is how long the delegate of another region is remembered after its last digest, which
	// covers a lost one. Afterwards digests go to all relays and standbys of that region.
	regionDelegateTimeout = time.Second
	// newcomerWindow is the age up to which the digests of other regions are sent to a new delegate. It exceeds the
	// interval of unchanged digests, and is shorter than the time after which a delegate is replaced: the sender of
	// an older digest may have stopped.
	newcomerWindow = 500 * time.Millisecond
	// seenTimeout is how long a digest is remembered so that copies of it are not forwarded again.
	seenTimeout = 5 * time.Second
	// usualPace and paceTolerance define which paces of a region are usual, in hundredths. These are not sent to
	// other regions, where a server without a pace counts as usual.
	usualPace     = 100
	paceTolerance = 25
	// minTenantFraction is the divisor of the work of all tenants that gives the least work with which the entry of a
	// tenant without waiting requests is sent to other regions.
	minTenantFraction = 50
)

// regionExchange is the state of the exchange between regions.
type regionExchange struct {
	// last is the last digest sent to the other regions.
	last lastSent
	// delegates holds the delegates of the other regions, by region.
	delegates map[string]delegate
	// seen holds the newest digest of each delegate of another region, by its name.
	seen map[string]seenDigest
	// forwards are the received digests that have not been sent to the other groups of the region yet.
	forwards []*rockwindpb.LoadDigest
	// newcomers are the other groups of the region whose delegates are new.
	newcomers []string
}

type seenDigest struct {
	started  int64
	sequence uint64
	at       time.Duration
	// digest is the digest as it was received, or nil if this process was not a delegate.
	digest *rockwindpb.LoadDigest
}

func newRegionExchange() regionExchange {
	return regionExchange{delegates: make(map[string]delegate), seen: make(map[string]seenDigest)}
}

// inRegionExchange reports whether a group of another region gets the sum of this region instead of that of this
// group. A group whose delegate takes no part in the exchange between regions does not.
func (p *Protocol) inRegionExchange(group Group, now time.Duration) bool {
	if !p.layout.Regional() || group.region == "" || group.region == p.layout.region {
		return false
	}
	known, found := p.knownDelegate(group, now)
	return !found || known.region == group.region
}

// coveredGroups returns the other groups of the region that the sum of the region covers: those whose delegates have
// sent digests recently and do not send their sums to other regions themselves.
func (p *Protocol) coveredGroups(now time.Duration) []Group {
	var covered []Group
	for _, group := range p.layout.nearGroups {
		if known, found := p.knownDelegate(group, now); found && known.region == p.layout.region {
			covered = append(covered, group)
		}
	}
	return covered
}

// isRegionDelegate reports whether this process, which is the delegate of its group, is also the delegate of its
// region: no covered group precedes its own by name.
func (p *Protocol) isRegionDelegate(covered []Group) bool {
	return p.layout.Regional() && !slices.ContainsFunc(covered, func(group Group) bool { return group.name < p.layout.group })
}

// sendToOtherRegions sends the sum of this region to the other regions, and forwards the digests of other regions to
// the groups of this one.
func (p *Protocol) sendToOtherRegions(source Source, now time.Duration) []Datagram {
	forwards := p.regions.forwards
	p.regions.forwards = nil
	sent := p.sendToNewcomers(now)
	covered := p.coveredGroups(now)
	if !p.isRegionDelegate(covered) {
		return sent
	}
	if receivers := p.nearDelegates(now); len(forwards) > 0 && len(receivers) > 0 {
		sent = append(sent, regionDatagrams(receivers, forwards...)...)
	}
	if p.regions.last.last != nil && now-p.regions.last.at < p.layout.RegionInterval() {
		return sent
	}
	sum := p.regionSum(source, covered)
	if receivers := p.regionReceivers(now); len(receivers) > 0 && p.regions.last.due(sum, now) {
		p.sign(sum)
		sent = append(sent, regionDatagrams(receivers, sum)...)
	}
	return sent
}

// noteNewcomer records a group of this region whose sum is sent by another delegate than before.
func (p *Protocol) noteNewcomer(group, sender string, now time.Duration) {
	if last := p.delegates[group]; last.name == sender && now-last.at <= delegateTimeout {
		return
	}
	near := slices.ContainsFunc(p.layout.nearGroups, func(each Group) bool { return each.name == group })
	if near && !slices.Contains(p.regions.newcomers, group) {
		p.regions.newcomers = append(p.regions.newcomers, group)
	}
}

// sendToNewcomers sends the recent digests of other regions to new delegates, which would otherwise lack the loads of
// other regions until the next digests.
func (p *Protocol) sendToNewcomers(now time.Duration) []Datagram {
	newcomers := p.regions.newcomers
	p.regions.newcomers = nil
	recent := p.regions.recent(now)
	if len(recent) == 0 {
		return nil
	}
	var sent []Datagram
	for _, group := range p.layout.nearGroups {
		if slices.Contains(newcomers, group.name) {
			sent = append(sent, regionDatagrams(p.delegateAddresses(group, now), recent...)...)
		}
	}
	return sent
}

// recent returns the newest digests of the delegates of other regions within newcomerWindow, in the order of the
// delegates' names.
func (r *regionExchange) recent(now time.Duration) []*rockwindpb.LoadDigest {
	var recent []*rockwindpb.LoadDigest
	for _, sender := range slices.Sorted(maps.Keys(r.seen)) {
		if seen := r.seen[sender]; seen.digest != nil && now-seen.at <= newcomerWindow {
			recent = append(recent, seen.digest)
		}
	}
	return recent
}

// regionSum returns the sum of this group and the covered ones.
func (p *Protocol) regionSum(source Source, covered []Group) *rockwindpb.LoadDigest {
	zones, members := []uint32{balance.ZoneHash(p.layout.group)}, len(p.layout.members)
	var groups []string
	for _, group := range covered {
		groups = append(groups, group.name)
		zones = append(zones, balance.ZoneHash(group.name))
		members += group.size
	}
	sum := source.SumRegion(p.layout.Members(), groups)
	sum.Region, sum.Zones = p.layout.region, zones
	if sum.GetMembers() == 0 {
		sum.Members = uint32(members)
	}
	dropInsignificant(source, sum)
	trimToFit(source, sum)
	compact(sum)
	return sum
}

// nearDelegates returns the delegates of the other groups of this region.
func (p *Protocol) nearDelegates(now time.Duration) []netip.AddrPort {
	var receivers []netip.AddrPort
	for _, group := range p.layout.nearGroups {
		receivers = append(receivers, p.delegateAddresses(group, now)...)
	}
	return receivers
}

// regionReceivers returns the delegates of the other regions. For a region without a known delegate these are the
// relays and standbys of all its groups that may take part.
func (p *Protocol) regionReceivers(now time.Duration) []netip.AddrPort {
	var receivers []netip.AddrPort
	for _, region := range p.layout.otherRegions {
		known, found := p.regions.delegates[region.name]
		if found && now-known.at <= regionDelegateTimeout {
			if member, current := region.candidate(known.name); current {
				receivers = append(receivers, member.address)
				continue
			}
		}
		for _, group := range region.groups {
			if p.inRegionExchange(group, now) {
				receivers = append(receivers, group.candidateAddresses()...)
			}
		}
	}
	return receivers
}

// candidate returns the named candidate of any group of the region.
func (r Region) candidate(name string) (Member, bool) {
	for _, group := range r.groups {
		if member, found := group.candidate(name); found {
			return member, true
		}
	}
	return Member{}, false
}

// receiveRegion accepts the digest of another region, directly from its delegate or forwarded by that of this one.
func (p *Protocol) receiveRegion(source Source, digest *rockwindpb.LoadDigest, now time.Duration) {
	sender := digest.GetSender()
	usable := sender != "" && sender != p.name && len(digest.GetZones()) > 0
	if !usable || !p.layout.Regional() || digest.GetRegion() == p.layout.region {
		return
	}
	if slices.Contains(digest.GetZones(), balance.ZoneHash(p.layout.group)) {
		// The settings of the sender differ from those of this process, whose own group would count twice.
		return
	}
	compacted := proto.CloneOf(digest)
	if !expand(digest) || !p.regions.see(digest, now) {
		return
	}
	p.regions.delegates[digest.GetRegion()] = delegate{name: sender, at: now, region: digest.GetRegion()}
	if !p.isDelegate(source, now) {
		return
	}
	p.regions.forwards = append(p.regions.forwards, compacted)
	p.regions.keep(compacted)
	source.Take(digest)
}

// see records a digest and reports whether it is newer than the last one of its sender. Copies arrive if two
// delegates forward it.
func (r *regionExchange) see(digest *rockwindpb.LoadDigest, now time.Duration) bool {
	last, found := r.seen[digest.GetSender()]
	next := seenDigest{started: digest.GetStartedUnixMs(), sequence: digest.GetSequence(), at: now}
	if found && (next.started < last.started || (next.started == last.started && next.sequence <= last.sequence)) {
		return false
	}
	maps.DeleteFunc(r.seen, func(_ string, old seenDigest) bool { return now-old.at > seenTimeout })
	r.seen[digest.GetSender()] = next
	return true
}

// keep stores a digest that was just recorded, for newcomers.
func (r *regionExchange) keep(digest *rockwindpb.LoadDigest) {
	seen := r.seen[digest.GetSender()]
	seen.digest = digest
	r.seen[digest.GetSender()] = seen
}

// lists returns the lists of a digest that have an element for each of its servers.
func lists(digest *rockwindpb.LoadDigest) []*[]uint32 {
	return []*[]uint32{
		&digest.Inflight, &digest.Unread, &digest.Batch, &digest.Suspects,
		&digest.ToldPaces, &digest.ToldVoices, &digest.SeenPaces, &digest.SeenVoices, &digest.Far,
	}
}

// compact orders the entries of the digest of a region so that those with paces or suspects come first, and removes
// the zeros at the ends of the lists.
func compact(digest *rockwindpb.LoadDigest) {
	first := func(i int) bool { return hasPace(digest, i) || digest.GetSuspects()[i] > 0 }
	var order, rest []int
	for i := range digest.GetServers() {
		if first(i) {
			order = append(order, i)
		} else {
			rest = append(rest, i)
		}
	}
	order = append(order, rest...)
	digest.Servers = reorder(digest.GetServers(), order)
	for _, list := range lists(digest) {
		if len(*list) == 0 {
			continue
		}
		ordered := reorder(*list, order)
		for len(ordered) > 0 && ordered[len(ordered)-1] == 0 {
			ordered = ordered[:len(ordered)-1]
		}
		*list = ordered
	}
}

func reorder(list []uint32, order []int) []uint32 {
	ordered := make([]uint32, 0, len(list))
	for _, index := range order {
		ordered = append(ordered, list[index])
	}
	return ordered
}

// expand appends the zeros that compact removed to the lists of the digest of a region. It returns false if a list is
// longer than that of the servers.
func expand(digest *rockwindpb.LoadDigest) bool {
	servers := len(digest.GetServers())
	for _, list := range lists(digest) {
		if len(*list) > servers {
			return false
		}
		*list = append(*list, make([]uint32, servers-len(*list))...)
	}
	return true
}

// regionDatagrams puts digests of regions into one datagram if they fit, otherwise into one datagram each.
func regionDatagrams(receivers []netip.AddrPort, digests ...*rockwindpb.LoadDigest) []Datagram {
	all := &rockwindpb.LoadBundle{Regions: digests}
	if proto.Size(all) <= maxDatagramBytes {
		return []Datagram{{Receivers: receivers, Bundle: all, CrossZone: true}}
	}
	var sent []Datagram
	for _, digest := range digests {
		sent = append(sent, Datagram{Receivers: receivers, Bundle: &rockwindpb.LoadBundle{Regions: []*rockwindpb.LoadDigest{digest}}, CrossZone: true})
	}
	return sent
}

// dropInsignificant removes entries that other regions do not need from the sum of a region: the usual paces of
// servers, servers with no other value, and tenants with little work.
func dropInsignificant(source Source, sum *rockwindpb.LoadDigest) {
	sum.Stamps, sum.Far = nil, nil
	if noneTold, noneSeen := dropUsualPaces(sum.ToldPaces, sum.ToldVoices), dropUsualPaces(sum.SeenPaces, sum.SeenVoices); noneTold && noneSeen {
		sum.ToldPaces, sum.ToldVoices, sum.SeenPaces, sum.SeenVoices = nil, nil, nil, nil
	}
	tenants, work := make(map[uint32]bool), 0
	for i, hash := range sum.GetServers() {
		if source.DropPriority(hash) == DropSecond {
			tenants[hash] = true
			work += int(sum.GetUnread()[i])
		}
	}
	index := 0
	removeEntries(sum, func(hash uint32) bool {
		i := index
		index++
		if sum.Inflight[i] > 0 || sum.Suspects[i] > 0 || hasPace(sum, i) {
			return false
		}
		return !tenants[hash] && sum.Unread[i] == 0 && sum.Batch[i] == 0 || tenants[hash] && int(sum.Unread[i])*minTenantFraction < work
	})
}

// dropUsualPaces clears the paces within paceTolerance of the usual one and reports whether none remain.
func dropUsualPaces(sums, counts []uint32) bool {
	none := true
	for i := range counts {
		usual, tolerated := int(counts[i])*usualPace, int(counts[i])*paceTolerance
		if distance := int(sums[i]) - usual; distance <= tolerated && -distance <= tolerated {
			sums[i], counts[i] = 0, 0
			continue
		}
		none = false
	}
	return none
}

// hasPace reports whether the entry at an index has a pace.
func hasPace(digest *rockwindpb.LoadDigest, index int) bool {
	return len(digest.GetToldVoices()) > 0 && (digest.GetToldVoices()[index] > 0 || digest.GetSeenVoices()[index] > 0)
}
