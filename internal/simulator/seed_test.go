package simulator

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// Fixes the seed of the property tests, so that their results are reproducible.
// The flag -rapid.seed overrides it; 0 selects a random seed.
var _ = flag.Set("rapid.seed", "20261202")
