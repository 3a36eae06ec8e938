package directory

const (
	FoundingTimeout     = foundingTimeout
	FoundingQuietPeriod = foundingQuietPeriod
)
