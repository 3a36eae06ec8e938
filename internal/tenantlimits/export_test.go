package tenantlimits

// Exported for the tests.
const (
	AllowanceLifetime = allowanceLifetime
	MinimumRetryAfter = minimumRetryAfter
)

// Exported for the tests.
var Unlimited = unlimited
