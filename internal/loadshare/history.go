package loadshare

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// historySize is how many of its latest digests a process remembers: several seconds of
// them, longer than a digest counts.
const historySize = 64

// stamp is a short name of a digest of a single process.
func stamp(sender string, started int64, sequence uint64) uint32 {
	digest := xxhash.New()
	_, _ = digest.WriteString(sender)
	var numbers [16]byte
	for i := range 8 {
		numbers[i], numbers[8+i] = byte(started>>(8*i)), byte(sequence>>(8*i))
	}
	_, _ = digest.Write(numbers[:])
	return uint32(digest.Sum64())
}

// history holds the latest digests of the process itself.
type history struct {
	sent []stamped
}

type stamped struct {
	stamp  uint32
	digest *rockwindpb.LoadDigest
}

// add remembers a digest that was sent.
func (h *history) add(digest *rockwindpb.LoadDigest) {
	named := stamp(digest.GetSender(), digest.GetStartedUnixMs(), digest.GetSequence())
	h.sent = append(h.sent, stamped{stamp: named, digest: digest})
	if len(h.sent) > historySize {
		h.sent = slices.Delete(h.sent, 0, len(h.sent)-historySize)
	}
}

// takeOut takes this process's own part out of a sum of its group. A sum that covers
// none of its digests is left as it is.
func (h *history) takeOut(sum *rockwindpb.LoadDigest) {
	for _, each := range h.sent {
		if slices.Contains(sum.GetStamps(), each.stamp) {
			subtract(sum, each.digest)
			return
		}
	}
}

// subtract takes the loads of a part out of a sum.
func subtract(sum, part *rockwindpb.LoadDigest) {
	places := make(map[uint32]int, len(sum.GetServers()))
	for place, server := range sum.GetServers() {
		places[server] = place
	}
	for i, server := range part.GetServers() {
		place, found := places[server]
		if !found {
			continue
		}
		less(sum.Inflight, place, part.Inflight[i])
		less(sum.Unread, place, part.Unread[i])
		less(sum.Batch, place, part.Batch[i])
		less(sum.Suspects, place, part.Suspects[i])
		if len(sum.GetToldPaces()) > 0 && len(part.GetToldPaces()) > 0 {
			subtractPace(sum, place, part, i)
		}
	}
}

// subtractPace takes the pace of a server at a place of a part out of that in a sum.
func subtractPace(sum *rockwindpb.LoadDigest, place int, part *rockwindpb.LoadDigest, at int) {
	less(sum.ToldPaces, place, part.ToldPaces[at])
	less(sum.ToldVoices, place, part.ToldVoices[at])
	less(sum.SeenPaces, place, part.SeenPaces[at])
	less(sum.SeenVoices, place, part.SeenVoices[at])
}

// less lowers a count, not below zero.
func less(counts []uint32, place int, by uint32) {
	counts[place] -= min(counts[place], by)
}
