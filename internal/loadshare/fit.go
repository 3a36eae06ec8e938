package loadshare

import (
	"net/netip"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// maximumBytes bounds a datagram; longer ones are passed over.
const maximumBytes = 16 << 10

// DropPriority tells when an entry is left out of a digest that is too long.
type DropPriority int

// The entries of a digest.
const (
	// NeverDrop are the loads of servers and queues.
	NeverDrop DropPriority = iota
	// DropFirst is what was left behind at servers, which does not count then. It is told
	// for some seconds after a loss at most.
	DropFirst
	// DropSecond are tenants, whose requests go by arrival then.
	DropSecond
)

// fit leaves out of a digest what is missed least until it fits in a datagram: first what was
// left behind at servers, next the entries of tenants, then the paces, without which servers
// count as alike. What does not fit then is not sent.
func fit(source Source, digest *rockwindpb.LoadDigest) {
	for _, left := range []DropPriority{DropFirst, DropSecond} {
		if fits(digest) {
			return
		}
		leaveOut(digest, func(hash uint32) bool { return source.DropPriority(hash) == left })
	}
	if fits(digest) {
		return
	}
	digest.ToldPaces, digest.ToldVoices, digest.SeenPaces, digest.SeenVoices = nil, nil, nil, nil
}

func fits(digests ...*rockwindpb.LoadDigest) bool {
	return proto.Size(bundle(digests...)) <= maximumBytes
}

// leaveOut takes the entries that are spared out of all lists.
func leaveOut(digest *rockwindpb.LoadDigest, spare func(hash uint32) bool) {
	var keep []bool
	for _, hash := range digest.GetServers() {
		keep = append(keep, !spare(hash))
	}
	digest.Servers = kept(digest.GetServers(), keep)
	for _, list := range []*[]uint32{
		&digest.Inflight, &digest.Unread, &digest.Batch, &digest.Suspects,
		&digest.ToldPaces, &digest.ToldVoices, &digest.SeenPaces, &digest.SeenVoices,
	} {
		*list = kept(*list, keep)
	}
}

// kept returns a new list of those to keep of one that runs beside them; an empty one stays
// empty.
func kept(list []uint32, keep []bool) []uint32 {
	var left []uint32
	for i, each := range list {
		if keep[i] {
			left = append(left, each)
		}
	}
	return left
}

// datagrams sends digests together where they fit in a datagram, else each by itself.
func datagrams(receivers []netip.AddrPort, outside bool, digests ...*rockwindpb.LoadDigest) []Datagram {
	if fits(digests...) {
		return []Datagram{{Receivers: receivers, Bundle: bundle(digests...), CrossZone: outside}}
	}
	var sent []Datagram
	for _, digest := range digests {
		sent = append(sent, Datagram{Receivers: receivers, Bundle: bundle(digest), CrossZone: outside})
	}
	return sent
}
