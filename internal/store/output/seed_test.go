package output_test

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flags
)

// A fixed seed makes the property tests reproducible. The flag -rapid.seed changes it; 0
// selects a random seed. The number of checks is high because the harmful sequences of late
// records are rare.
var (
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.checks", "3000")
	_ = flag.Set("rapid.steps", "60")
	_ = flag.Set("rapid.nofailfile", "true")
)
