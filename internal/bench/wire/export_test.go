package wire

// Exported for tests.
const (
	PacketHeader = packetHeader
	SegmentBytes = segmentBytes
)
