package catalog

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// A fixed seed makes the property tests reproducible. The flag -rapid.seed overrides
// it; 0 chooses a random seed.
var _ = flag.Set("rapid.seed", "20261202")
