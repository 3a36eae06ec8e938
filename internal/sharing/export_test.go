package sharing

const (
	MinimumTokens      = minimumTokens
	StaleItems         = staleItems
	TailUpdateInterval = tailUpdateInterval
	TailMinimumSamples = tailMinimumSamples
	TailQuantile       = tailQuantile
	TailSamples        = tailSamples
)
