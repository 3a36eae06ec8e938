package loadshare

import (
	"net/netip"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// maxDatagramBytes is the largest datagram that is sent or accepted.
const maxDatagramBytes = 16 << 10

// DropPriority is the order in which entries are removed from an oversized digest.
type DropPriority int

// Drop priorities of digest entries.
const (
	// NeverDrop marks loads of servers and queues.
	NeverDrop DropPriority = iota
	// DropFirst marks orphaned requests: those that servers run for processes that are gone. They are
	// only reported for some seconds after a loss.
	DropFirst
	// DropSecond marks tenants. Without their entries, requests are served in order of arrival.
	DropSecond
)

// trimToFit removes the least important parts of a digest until it fits in a datagram: first
// orphaned requests at servers, then tenants, then paces. A digest that still does not fit
// is not sent.
func trimToFit(source Source, digest *rockwindpb.LoadDigest) {
	for _, priority := range []DropPriority{DropFirst, DropSecond} {
		if fits(digest) {
			return
		}
		removeEntries(digest, func(hash uint32) bool { return source.DropPriority(hash) == priority })
	}
	if fits(digest) {
		return
	}
	digest.ToldPaces, digest.ToldVoices, digest.SeenPaces, digest.SeenVoices = nil, nil, nil, nil
}

func fits(digests ...*rockwindpb.LoadDigest) bool {
	return proto.Size(bundle(digests...)) <= maxDatagramBytes
}

// removeEntries removes the entries whose hashes match from all lists.
func removeEntries(digest *rockwindpb.LoadDigest, remove func(hash uint32) bool) {
	var keep []bool
	for _, hash := range digest.GetServers() {
		keep = append(keep, !remove(hash))
	}
	digest.Servers = filter(digest.GetServers(), keep)
	for _, list := range lists(digest) {
		*list = filter(*list, keep)
	}
}

// filter returns a new list of the elements whose flag in keep is set. An empty list stays
// empty.
func filter(list []uint32, keep []bool) []uint32 {
	var left []uint32
	for i, each := range list {
		if keep[i] {
			left = append(left, each)
		}
	}
	return left
}

// datagrams packs digests into one datagram if they fit, else into one datagram each.
func datagrams(receivers []netip.AddrPort, crossZone bool, digests ...*rockwindpb.LoadDigest) []Datagram {
	if fits(digests...) {
		return []Datagram{{Receivers: receivers, Bundle: bundle(digests...), CrossZone: crossZone}}
	}
	var sent []Datagram
	for _, digest := range digests {
		sent = append(sent, Datagram{Receivers: receivers, Bundle: bundle(digest), CrossZone: crossZone})
	}
	return sent
}
