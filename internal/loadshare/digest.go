package loadshare

import (
	"maps"
	"slices"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// NewDigest lists loads in the order of the servers' hashes, so that equal loads give
// equal digests.
func NewDigest(loads map[uint32]balance.SharedLoad) *rockwindpb.LoadDigest {
	digest := &rockwindpb.LoadDigest{Servers: slices.Sorted(maps.Keys(loads))}
	for _, server := range digest.GetServers() {
		load := loads[server]
		digest.Inflight = append(digest.Inflight, uint32(load.Inflight))
		digest.Unread = append(digest.Unread, uint32(load.Unread))
		digest.Batch = append(digest.Batch, uint32(load.Batch))
		digest.Suspects = append(digest.Suspects, uint32(load.Suspects))
	}
	if tellsPace(loads) {
		addPaces(digest, loads)
	}
	return digest
}

// mostPaced is of how many servers a digest tells the paces at most: two sums of so many
// servers fit in a datagram. Without paces servers count as alike.
const mostPaced = 400

// tellsPace tells whether the paces of the servers go into a digest: some are known, and
// there is room for all. Queues, classes and tenants have none and do not count.
func tellsPace(loads map[uint32]balance.SharedLoad) bool {
	paced := 0
	for _, load := range loads {
		if load.Pace != (balance.SharedPace{}) {
			paced++
		}
	}
	return paced > 0 && paced <= mostPaced
}

func addPaces(digest *rockwindpb.LoadDigest, loads map[uint32]balance.SharedLoad) {
	for _, server := range digest.GetServers() {
		pace := loads[server].Pace
		digest.ToldPaces = append(digest.ToldPaces, uint32(pace.ReportedSum))
		digest.ToldVoices = append(digest.ToldVoices, uint32(pace.ReportedCount))
		digest.SeenPaces = append(digest.SeenPaces, uint32(pace.ObservedSum))
		digest.SeenVoices = append(digest.SeenVoices, uint32(pace.ObservedCount))
	}
}

// Loads reads the loads of a digest whose lists run beside each other.
func Loads(digest *rockwindpb.LoadDigest) map[uint32]balance.SharedLoad {
	loads := make(map[uint32]balance.SharedLoad, len(digest.GetServers()))
	for i, server := range digest.GetServers() {
		loads[server] = balance.SharedLoad{
			Inflight: int(digest.GetInflight()[i]), Unread: int(digest.GetUnread()[i]),
			Batch: int(digest.GetBatch()[i]), Suspects: int(digest.GetSuspects()[i]),
			Pace: paceIn(digest, i),
		}
	}
	return loads
}

// paceIn reads the pace of the server at a place of a digest.
func paceIn(digest *rockwindpb.LoadDigest, place int) balance.SharedPace {
	if len(digest.GetToldPaces()) == 0 {
		return balance.SharedPace{}
	}
	return balance.SharedPace{
		ReportedSum: int(digest.GetToldPaces()[place]), ReportedCount: int(digest.GetToldVoices()[place]),
		ObservedSum: int(digest.GetSeenPaces()[place]), ObservedCount: int(digest.GetSeenVoices()[place]),
	}
}

// SumDigest lists what the named processes told and what this one has, with the stamps of
// the digests that it covers.
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

// ApplyDigest has the shares take the loads of the digest of a process, of a group, or of all
// groups but one.
func ApplyDigest(shares *balance.SharedLoads, digest *rockwindpb.LoadDigest, loads map[uint32]balance.SharedLoad, now time.Duration) {
	sender, started, sequence := digest.GetSender(), digest.GetStartedUnixMs(), digest.GetSequence()
	switch group := digest.GetGroup(); {
	case group == "":
		shares.Apply(sender, started, sequence, loads, now)
	case digest.GetElsewhere():
		shares.ApplyOtherGroups(sender, group, started, sequence, loads, now)
	default:
		shares.ApplyGroup(sender, group, int(digest.GetMembers()), started, sequence, loads, now)
	}
}
