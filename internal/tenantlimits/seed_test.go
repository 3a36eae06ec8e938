package tenantlimits_test

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// The seed of the property tests is fixed, so that each run gives the same
// verdict. The flag -rapid.seed changes it; 0 draws a fresh one.
var _ = flag.Set("rapid.seed", "20261202")
