package quarantine_test

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flags
)

// The fixed seed makes the property tests reproducible. -rapid.seed overrides it; 0
// draws a random seed.
var _ = flag.Set("rapid.seed", "20261202")
