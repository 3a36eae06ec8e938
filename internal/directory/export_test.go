package directory

// Its figures that the tests use.
const (
	FoundingTimeout     = foundingPatience
	FoundingQuietPeriod = foundingSettle
)
