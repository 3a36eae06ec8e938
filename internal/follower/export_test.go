package follower

// MaxAvoidDuration is exported for tests.
const MaxAvoidDuration = maxAvoidDuration
