package balance

const (
	SeenWindow = seenWindow
	SenderTTL  = senderTTL
	MaxSpares  = maxSpares

	CoverageWindow = coverageWindow
)

// KeptSpares returns the number of maps that are kept for the next digests.
func (s *SharedLoads) KeptSpares() int { return len(s.spares) }
