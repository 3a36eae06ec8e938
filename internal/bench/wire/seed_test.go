package wire_test

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// The seed of the property tests is fixed to make runs reproducible. The flag
// -rapid.seed overrides it; 0 selects a random seed.
var _ = flag.Set("rapid.seed", "20261202")
