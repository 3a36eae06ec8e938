package balance

// Its figures that the tests use.
const (
	HeardFor  = heardFor
	SenderFor = senderFor
)
