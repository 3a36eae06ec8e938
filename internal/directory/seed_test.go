package directory_test

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// The property tests have a fixed seed to be reproducible. The flag -rapid.seed overrides it;
// 0 selects a random seed.
var _ = flag.Set("rapid.seed", "20261202")
