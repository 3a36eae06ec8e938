package decision

// Constants for tests.
const (
	Burst          = burst
	StreamCapacity = streamCapacity
)
