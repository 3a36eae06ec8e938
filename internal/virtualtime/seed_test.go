package virtualtime_test

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// Fixed seed for reproducible property tests; override it with -rapid.seed (0
// for a random one).
var _ = flag.Set("rapid.seed", "20261202")
