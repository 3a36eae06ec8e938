package loadshare

import (
	"maps"
	"slices"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// NewDigest builds a digest of loads. Entries are sorted by hash, so equal loads give equal
// digests.
func NewDigest(loads map[uint32]balance.SharedLoad) *rockwindpb.LoadDigest {
	digest := &rockwindpb.LoadDigest{Servers: slices.Sorted(maps.Keys(loads))}
	for _, server := range digest.GetServers() {
		load := loads[server]
		digest.Inflight = append(digest.Inflight, uint32(load.Inflight))
		digest.Unread = append(digest.Unread, uint32(load.Unread))
		digest.Batch = append(digest.Batch, uint32(load.Batch))
		digest.Suspects = append(digest.Suspects, uint32(load.Suspects))
	}
	if includesPaces(loads) {
		appendPaces(digest, loads)
	}
	if slices.ContainsFunc(digest.GetServers(), func(server uint32) bool { return loads[server].Far > 0 }) {
		for _, server := range digest.GetServers() {
			digest.Far = append(digest.Far, uint32(loads[server].Far))
		}
	}
	return digest
}

// maxPacedServers is the largest number of servers for which a digest carries paces: two sums
// of that size fit in a datagram. Without paces, receivers treat servers as equally fast.
const maxPacedServers = 400

// includesPaces reports whether a digest carries the paces of servers: some are known and all
// fit. Queues, classes and tenants have no pace and are not counted.
func includesPaces(loads map[uint32]balance.SharedLoad) bool {
	pacedCount := 0
	for _, load := range loads {
		if load.Pace != (balance.SharedPace{}) {
			pacedCount++
		}
	}
	return pacedCount > 0 && pacedCount <= maxPacedServers
}

func appendPaces(digest *rockwindpb.LoadDigest, loads map[uint32]balance.SharedLoad) {
	for _, server := range digest.GetServers() {
		pace := loads[server].Pace
		digest.ToldPaces = append(digest.ToldPaces, uint32(pace.ReportedSum))
		digest.ToldVoices = append(digest.ToldVoices, uint32(pace.ReportedCount))
		digest.SeenPaces = append(digest.SeenPaces, uint32(pace.ObservedSum))
		digest.SeenVoices = append(digest.SeenVoices, uint32(pace.ObservedCount))
	}
}

// Loads returns the loads of a digest by hash. The digest's lists must have equal lengths.
func Loads(digest *rockwindpb.LoadDigest) map[uint32]balance.SharedLoad {
	loads := make(map[uint32]balance.SharedLoad, len(digest.GetServers()))
	AddLoads(digest, loads)
	return loads
}

// AddLoads adds the loads of a digest to an empty map by hash. The digest's lists must have equal lengths.
func AddLoads(digest *rockwindpb.LoadDigest, loads map[uint32]balance.SharedLoad) {
	for i, server := range digest.GetServers() {
		loads[server] = balance.SharedLoad{
			Inflight: int(digest.GetInflight()[i]), Unread: int(digest.GetUnread()[i]),
			Batch: int(digest.GetBatch()[i]), Suspects: int(digest.GetSuspects()[i]),
			Pace: paceAt(digest, i),
		}
		if far := digest.GetFar(); len(far) > 0 {
			load := loads[server]
			load.Far = int(far[i])
			loads[server] = load
		}
	}
}

// paceAt returns the pace of the entry at an index of a digest.
func paceAt(digest *rockwindpb.LoadDigest, index int) balance.SharedPace {
	if len(digest.GetToldPaces()) == 0 {
		return balance.SharedPace{}
	}
	return balance.SharedPace{
		ReportedSum: int(digest.GetToldPaces()[index]), ReportedCount: int(digest.GetToldVoices()[index]),
		ObservedSum: int(digest.GetSeenPaces()[index]), ObservedCount: int(digest.GetSeenVoices()[index]),
	}
}

// SumDigest returns the sum of the loads that the named processes reported and this process's
// own, with the stamps of the digests that it covers.
func SumDigest(shares *balance.SharedLoads, names []string, own map[uint32]balance.SharedLoad) *rockwindpb.LoadDigest {
	loads := shares.SumOf(names)
	for server, load := range own {
		loads[server] = loads[server].Plus(load)
	}
	digest := NewDigest(loads)
	shares.Sequences(names, func(name string, started int64, sequence uint64) {
		digest.Stamps = append(digest.Stamps, stamp(name, started, sequence))
	})
	return digest
}

// RegionDigest returns the sum of the loads that the named processes and groups reported and this
// process's own.
func RegionDigest(shares *balance.SharedLoads, names, groups []string, own map[uint32]balance.SharedLoad) *rockwindpb.LoadDigest {
	loads := shares.SumOf(names)
	for _, part := range []map[uint32]balance.SharedLoad{shares.SumOfGroups(groups), own} {
		for server, load := range part {
			loads[server] = loads[server].Plus(load)
		}
	}
	digest := NewDigest(loads)
	digest.Members = uint32(shares.ProcessesOf(names, groups) + 1)
	return digest
}

// OtherGroupsDigest returns the sum of the loads of all groups but one.
func OtherGroupsDigest(shares *balance.SharedLoads, group string) *rockwindpb.LoadDigest {
	digest := NewDigest(shares.SumOtherGroups(group))
	digest.Members = uint32(shares.ProcessesElsewhere(group))
	return digest
}

// ApplyDigest adds the loads of a received digest to shares. The digest covers a process, a
// group, all groups but one, or a region.
func ApplyDigest(shares *balance.SharedLoads, digest *rockwindpb.LoadDigest, loads map[uint32]balance.SharedLoad, now time.Duration) {
	sender, started, sequence := digest.GetSender(), digest.GetStartedUnixMs(), digest.GetSequence()
	switch group := digest.GetGroup(); {
	case len(digest.GetZones()) > 0:
		shares.ApplyRegion(sender, digest.GetZones(), int(digest.GetMembers()), started, sequence, loads, now)
	case group == "":
		shares.Apply(sender, started, sequence, loads, now)
	case digest.GetElsewhere():
		shares.ApplyOtherGroups(sender, group, started, sequence, loads, now)
		shares.SetProcessesElsewhere(sender, int(digest.GetMembers()))
	default:
		members := int(digest.GetMembers())
		if stamps := len(digest.GetStamps()); stamps > 0 {
			// The sender counts its own load, which has no stamp.
			members = stamps + 1
		}
		shares.ApplyGroup(sender, group, members, started, sequence, loads, now)
	}
}
