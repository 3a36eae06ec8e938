package balance

// Its figures that the tests use.
const (
	HeardWindow = heardWindow
	SenderTTL   = senderTTL
)
