package limits

// Its figures that the tests use.
const (
	AllowanceLife     = allowanceLife
	MinimumRetryAfter = minimumRetryAfter
)

// Its function that the tests use.
var Unlimited = unlimited
