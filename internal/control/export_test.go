package control

var (
	MountCompressed = mountCompressed
	RetainSegments  = retainSegments
)
