package loadshare

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// historySize is the number of its own digests that a process keeps: several seconds' worth,
// longer than receivers keep a digest.
const historySize = 64

// stamp returns a short hash that identifies a digest of a single process.
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

// history holds the latest digests that this process sent.
type history struct {
	sent []stamped
}

type stamped struct {
	stamp  uint32
	digest *rockwindpb.LoadDigest
}

// add appends a digest that was sent.
func (h *history) add(digest *rockwindpb.LoadDigest) {
	named := stamp(digest.GetSender(), digest.GetStartedUnixMs(), digest.GetSequence())
	h.sent = append(h.sent, stamped{stamp: named, digest: digest})
	if len(h.sent) > historySize {
		h.sent = slices.Delete(h.sent, 0, len(h.sent)-historySize)
	}
}

// subtractOwn subtracts this process's own load from a sum of its group. A sum that covers none
// of the digests in the history is left unchanged.
func (h *history) subtractOwn(sum *rockwindpb.LoadDigest) {
	for _, each := range h.sent {
		if slices.Contains(sum.GetStamps(), each.stamp) {
			subtract(sum, each.digest)
			return
		}
	}
}

// subtract subtracts the loads of a part from a sum.
func subtract(sum, part *rockwindpb.LoadDigest) {
	indexes := make(map[uint32]int, len(sum.GetServers()))
	for index, server := range sum.GetServers() {
		indexes[server] = index
	}
	for i, server := range part.GetServers() {
		index, found := indexes[server]
		if !found {
			continue
		}
		decrease(sum.Inflight, index, part.Inflight[i])
		decrease(sum.Unread, index, part.Unread[i])
		decrease(sum.Batch, index, part.Batch[i])
		decrease(sum.Suspects, index, part.Suspects[i])
		if len(sum.GetToldPaces()) > 0 && len(part.GetToldPaces()) > 0 {
			subtractPace(sum, index, part, i)
		}
	}
}

// subtractPace subtracts the pace of one server in a part from the sum.
func subtractPace(sum *rockwindpb.LoadDigest, index int, part *rockwindpb.LoadDigest, partIndex int) {
	decrease(sum.ToldPaces, index, part.ToldPaces[partIndex])
	decrease(sum.ToldVoices, index, part.ToldVoices[partIndex])
	decrease(sum.SeenPaces, index, part.SeenPaces[partIndex])
	decrease(sum.SeenVoices, index, part.SeenVoices[partIndex])
}

// decrease lowers a count, but not below zero.
func decrease(counts []uint32, index int, by uint32) {
	counts[index] -= min(counts[index], by)
}
