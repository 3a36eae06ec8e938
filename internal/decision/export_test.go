package decision

// Its figures that the tests use.
const (
	Burst       = burst
	StreamLines = streamLines
)
