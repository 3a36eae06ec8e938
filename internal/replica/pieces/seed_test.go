package pieces_test

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flags
)

// Fixed seed for reproducible property tests; override it with -rapid.seed (0 for a random one).
var (
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.checks", "1000")
	_ = flag.Set("rapid.nofailfile", "true")
)
