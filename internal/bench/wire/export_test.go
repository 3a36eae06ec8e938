package wire

// Its figures that the tests use.
const (
	PacketHeader = packetHeader
	SegmentBytes = segmentBytes
)
