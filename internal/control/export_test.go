package control

// Its functions that the tests use.
var (
	MountCompressed = mountCompressed
	RetainSegments  = retainAt
)
