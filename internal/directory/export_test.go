package directory

// Its figures that the tests use.
const (
	FoundingPatience = foundingPatience
	FoundingSettle   = foundingSettle
)
