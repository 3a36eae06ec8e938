package hollow_test

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// The fixed seed makes the property tests reproducible. The flag -rapid.seed changes it;
// 0 selects a random one.
var _ = flag.Set("rapid.seed", "20261202")
