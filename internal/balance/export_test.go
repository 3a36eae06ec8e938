package balance

const (
	HeardWindow = heardWindow
	SenderTTL   = senderTTL
)
