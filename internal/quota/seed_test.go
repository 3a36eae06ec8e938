package quota_test

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flags
)

// The seed of the property tests is fixed so that results are reproducible. The flag -rapid.seed
// overrides it; 0 chooses a random seed. Runs must be long enough for a change of leaders between
// any two steps of a request.
var (
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.checks", "20000")
	_ = flag.Set("rapid.steps", "150")
)
