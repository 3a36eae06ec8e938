package sharing

// Its figures that the tests use.
const (
	ShortAnswer  = shortAnswer
	StaleItems   = staleItems
	TailEvery    = tailEvery
	TailMinimum  = tailMinimum
	TailQuantile = tailQuantile
	TailSamples  = tailSamples
)
